#include "spindleweir/servers/routing/retry_pool.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A single router has the whole slack: nothing is left to hand out.
bool HasPool(RoutersHere aRouters) {
  return aRouters.mHere > 0 && aRouters.mAll > 1;
}

double SharersOf(RoutersHere aRouters) {
  return std::max(1.0, static_cast<double>(aRouters.mAll) / aRouters.mHere);
}

}  // namespace

RetryPool::RetryPool(const RetryAllowanceOptions& aOptions)
    : mSpent({.mRatio = 0,
              .mWindow = aOptions.mWindow,
              .mSlack = aOptions.mSlack * aOptions.mPooled,
              .mUsed = aOptions.mUsed,
              .mStartedAt = aOptions.mStartedAt}) {}

int RetryPool::Grant(int aWanted, RoutersHere aRouters, Millis aNow) {
  int granted = 0;
  while (HasPool(aRouters) && granted < aWanted &&
         mSpent.TrySpend(SharersOf(aRouters), aNow)) {
    granted++;
  }
  return granted;
}

double RetryPool::Left(RoutersHere aRouters, Millis aNow) {
  return HasPool(aRouters) ? mSpent.Left(SharersOf(aRouters), aNow) : 0;
}

}  // namespace spindleweir
