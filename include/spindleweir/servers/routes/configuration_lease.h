/// The right to act on an accepted configuration: renewed by the leader of
/// control, it runs out on a router that is cut off or was frozen, so that a
/// key that was taken away is soon of no use anywhere.
#pragma once

#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Counted on the router's steady clock from when it asked.
class ConfigurationLease {
 public:
  explicit ConfigurationLease(Millis aDuration) : mDuration(aDuration) {}

  /// The leader said that aNewestVersion was the newest version aAge before it
  /// answered a question asked at aPolledAt; aLocalVersion is the version held
  /// here. A router that lacks the newest goes on with the lease it had.
  void Confirm(std::int64_t aNewestVersion, std::int64_t aLocalVersion,
               Millis aPolledAt, Millis aAge);
  /// Whether acting on the version held is allowed.
  bool IsValid(Millis aNow) const;
  /// Milliseconds since the newest confirmation; -1: there was none.
  Millis Age(Millis aNow) const;
  void SetDuration(Millis aDuration) { mDuration = aDuration; }

 private:
  Millis mDuration;
  Millis mConfirmedAt = -1;
};

}  // namespace spindleweir
