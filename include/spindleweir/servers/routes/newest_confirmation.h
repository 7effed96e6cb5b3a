/// What the leader of control confirmed last, as another control knows it and
/// passes it on: routers need not reach the leader themselves.
#pragma once

#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// "At a moment no version was accepted that is newer than this one." The
/// moment is on the steady clock of who holds it, and never later than true.
class NewestConfirmation {
 public:
  /// Takes a confirmation that aAge had passed since when a question that was
  /// asked at aAskedAt was answered. An older one than is held changes nothing.
  void Take(std::int64_t aVersion, Millis aAskedAt, Millis aAge) {
    if (aAge >= 0 && aAskedAt - aAge > mAsOf) {
      mVersion = aVersion;
      mAsOf = aAskedAt - aAge;
    }
  }
  std::int64_t Version() const { return mVersion; }
  /// Milliseconds since that moment; -1: nothing was confirmed yet.
  Millis Age(Millis aNow) const { return mAsOf < 0 ? -1 : aNow - mAsOf; }

 private:
  std::int64_t mVersion = 0;
  Millis mAsOf = -1;
};

}  // namespace spindleweir
