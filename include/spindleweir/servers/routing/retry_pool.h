/// The part of all routers' retries that is not divided among them. One
/// upstream that is lost takes a dozen streams of one router and none of
/// others: equal parts run out at the first while the others' lie idle.
#pragma once

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/retry_allowance.h"

namespace spindleweir {

/// The routers that a control process speaks for, of all.
struct RouterShare {
  int mLocal = 0;
  int mTotal = 1;
};

/// What one control process hands out for one service: its part of the pool, by
/// the routers that tell it their work, so that all controls together keep to
/// the bound without asking each other.
class RetryPool {
 public:
  /// aOptions: those of the routers. mStartedAt: of the control process.
  explicit RetryPool(const RetryAllowanceOptions& aOptions);

  /// How many of aWanted a router may send once more now.
  int Grant(int aWanted, RouterShare aRouters, Millis aNow);
  double Available(RouterShare aRouters, Millis aNow);

 private:
  RetryAllowance mAllowance;
};

}  // namespace spindleweir
