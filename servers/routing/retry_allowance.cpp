#include "spindleweir/servers/routing/retry_allowance.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr int kSlicesPerWindow = 10;
/// Lifetime of granted retries. The window in which control counted them must
/// cover their use: this is a hundredth of a typical window, and longer than a
/// few wait steps of a request.
constexpr Millis kCreditLifetime = 100;

}  // namespace

RetryAllowance::Slice& RetryAllowance::CurrentSlice(Millis aNow) {
  const Millis length =
      std::max<Millis>(1, mOptions.mWindow / kSlicesPerWindow);
  if (mSlices.empty() || aNow - mSlices.back().mFrom >= length) {
    mSlices.push_back({.mFrom = aNow});
  }
  while (aNow - mSlices.front().mFrom > mOptions.mWindow) {
    mSlices.pop_front();
  }
  return mSlices.back();
}

void RetryAllowance::RequestStarted(Millis aNow) {
  CurrentSlice(aNow).mRequests += 1;
}

double RetryAllowance::UsableSlackShare(Millis aNow) const {
  // Without this, eight routers that all restarted would spend their slack
  // twice in one window: 272 retries where the slack is 200.
  const bool justStarted =
      mOptions.mStartedAt >= 0 && aNow - mOptions.mStartedAt < mOptions.mWindow;
  return justStarted ? 1 - mOptions.mUsableShare : mOptions.mUsableShare;
}

void RetryAllowance::AddCredits(int aRetries, Millis aNow) {
  mCredits = ValidCredits(aNow) + aRetries;
  mCreditedAt = aNow;
}

int RetryAllowance::ValidCredits(Millis aNow) const {
  return aNow - mCreditedAt <= kCreditLifetime ? mCredits : 0;
}

double RetryAllowance::Available(double aRouters, Millis aNow) {
  CurrentSlice(aNow);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : mSlices) {
    requests += slice.mRequests;
    retries += slice.mRetries;
  }
  const double dividedShare = aRouters > 1 ? 1 - mOptions.mPooledShare : 1;
  const double slack = mOptions.mSlack * dividedShare / std::max(1.0, aRouters);
  return mOptions.mRatio * requests * mOptions.mUsableShare +
         slack * UsableSlackShare(aNow) - retries + ValidCredits(aNow);
}

bool RetryAllowance::TrySpend(double aRouters, Millis aNow) {
  if (Available(aRouters, aNow) < 1) {
    return false;
  }
  if (ValidCredits(aNow) > 0) {
    mCredits--;
    return true;
  }
  CurrentSlice(aNow).mRetries += 1;
  return true;
}

}  // namespace spindleweir
