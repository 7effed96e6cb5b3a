/// The last confirmation by the leader of control. Other controls forward it,
/// so that routers need not reach the leader.
#pragma once

#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// States that at some time no version newer than Version() was accepted. The
/// time is of this process's steady clock and is never later than the actual
/// one.
class NewestConfirmation {
 public:
  /// Stores a confirmation from the answer to a poll sent at aPolledAt; aAge is
  /// its age in milliseconds in that answer, negative if there is none. One
  /// that is older than the stored one is ignored.
  void Update(std::int64_t aVersion, Millis aPolledAt, Millis aAge) {
    if (aAge >= 0 && aPolledAt - aAge > mConfirmedAt) {
      mVersion = aVersion;
      mConfirmedAt = aPolledAt - aAge;
    }
  }
  std::int64_t Version() const { return mVersion; }
  /// Milliseconds since that time; -1 if nothing was confirmed yet.
  Millis Age(Millis aNow) const {
    return mConfirmedAt < 0 ? -1 : aNow - mConfirmedAt;
  }

 private:
  std::int64_t mVersion = 0;
  Millis mConfirmedAt = -1;
};

}  // namespace spindleweir
