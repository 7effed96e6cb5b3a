/// A router's lease on its accepted configuration. The leader of control renews
/// it; it expires on a router that is partitioned or was suspended, so that a
/// revoked key stops working on all routers within the lease's duration.
#pragma once

#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Times are of the router's steady clock, in milliseconds; the lease runs from
/// the time of the poll, not of its answer.
class ConfigurationLease {
 public:
  explicit ConfigurationLease(Millis aDuration) : mDuration(aDuration) {}

  /// Renews the lease after a poll sent at aPolledAt, whose answer says that
  /// aNewestVersion was the newest version aAge earlier. aLocalVersion is the
  /// router's version; if it is older, the lease is not renewed.
  void Confirm(std::int64_t aNewestVersion, std::int64_t aLocalVersion,
               Millis aPolledAt, Millis aAge);
  /// Whether the router may act on its configuration.
  bool IsValid(Millis aNow) const;
  /// Milliseconds since the newest confirmation; -1 if there was none.
  Millis Age(Millis aNow) const;
  void SetDuration(Millis aDuration) { mDuration = aDuration; }

 private:
  Millis mDuration;
  Millis mConfirmedAt = -1;
};

}  // namespace spindleweir
