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
  explicit ConfigurationLease(Millis aLength) : mLength(aLength) {}

  /// The leader said that aNewest was the newest version aAge before it
  /// answered a question asked at aAskedAt; aHeld is the version held here. A
  /// router that lacks the newest goes on with the lease it had.
  void Confirm(std::int64_t aNewest, std::int64_t aHeld, Millis aAskedAt,
               Millis aAge);
  /// Whether acting on the version held is allowed.
  bool Holds(Millis aNow) const;
  /// Milliseconds since the newest confirmation; -1: there was none.
  Millis Age(Millis aNow) const;
  void SetLength(Millis aLength) { mLength = aLength; }

 private:
  Millis mLength;
  Millis mAsOf = -1;
};

}  // namespace spindleweir
