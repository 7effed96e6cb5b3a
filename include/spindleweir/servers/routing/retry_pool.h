/// The share of the retry slack that is not divided among the routers. The loss
/// of one upstream breaks a dozen streams of one router and none of others: the
/// first one would exhaust its equal part while the parts of others stay
/// unused.
#pragma once

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/retry_allowance.h"

namespace spindleweir {

/// Number of routers that report to one control process, and of all routers.
struct RouterShare {
  int mLocal = 0;
  int mTotal = 1;
};

/// Grants retries of one service from one control process's part of the pool.
/// The part is proportional to the routers that report to it, so that all
/// controls together keep to the limit without coordination.
class RetryPool {
 public:
  /// aOptions: those of the routers, with mStartedAt of the control process.
  explicit RetryPool(const RetryAllowanceOptions& aOptions);

  /// Grants up to aWanted retries to a router; returns how many.
  int Grant(int aWanted, RouterShare aRouters, Millis aNow);
  /// Retries that could be granted now.
  double Available(RouterShare aRouters, Millis aNow);

 private:
  RetryAllowance mAllowance;
};

}  // namespace spindleweir
