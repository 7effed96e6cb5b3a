#include "spindleweir/servers/routing/retry_pool.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A single router has the whole slack, so that there is no pool.
bool HasPool(RouterShare aRouters) {
  return aRouters.mLocal > 0 && aRouters.mTotal > 1;
}

/// Divides the pool by this number to get the part of this control.
double ShareDivisor(RouterShare aRouters) {
  return std::max(1.0, static_cast<double>(aRouters.mTotal) / aRouters.mLocal);
}

}  // namespace

RetryPool::RetryPool(const RetryAllowanceOptions& aOptions)
    : mAllowance({.mRatio = 0,
                  .mWindow = aOptions.mWindow,
                  .mSlack = aOptions.mSlack * aOptions.mPooledShare,
                  .mUsableShare = aOptions.mUsableShare,
                  .mStartedAt = aOptions.mStartedAt}) {}

int RetryPool::Grant(int aWanted, RouterShare aRouters, Millis aNow) {
  int granted = 0;
  while (HasPool(aRouters) && granted < aWanted &&
         mAllowance.TrySpend(ShareDivisor(aRouters), aNow)) {
    granted++;
  }
  return granted;
}

double RetryPool::Available(RouterShare aRouters, Millis aNow) {
  return HasPool(aRouters) ? mAllowance.Available(ShareDivisor(aRouters), aNow)
                           : 0;
}

}  // namespace spindleweir
