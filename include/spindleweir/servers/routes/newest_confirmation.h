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
  /// asked at aPolledAt was answered. An older one than is held changes
  /// nothing.
  void Update(std::int64_t aVersion, Millis aPolledAt, Millis aAge) {
    if (aAge >= 0 && aPolledAt - aAge > mConfirmedAt) {
      mVersion = aVersion;
      mConfirmedAt = aPolledAt - aAge;
    }
  }
  std::int64_t Version() const { return mVersion; }
  /// Milliseconds since that moment; -1: nothing was confirmed yet.
  Millis Age(Millis aNow) const {
    return mConfirmedAt < 0 ? -1 : aNow - mConfirmedAt;
  }

 private:
  std::int64_t mVersion = 0;
  Millis mConfirmedAt = -1;
};

}  // namespace spindleweir
