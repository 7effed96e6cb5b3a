#include "spindleweir/servers/routing/retry_allowance.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr int kSlices = 10;
/// A window that is counted at control must cover the moment of use: a
/// hundredth of the usual one, and more than a few steps of who waits.
constexpr Millis kCreditLasts = 100;

}  // namespace

RetryAllowance::Slice& RetryAllowance::Current(Millis aNow) {
  const Millis length = std::max<Millis>(1, mOptions.mWindow / kSlices);
  if (mSlices.empty() || aNow - mSlices.back().mFrom >= length) {
    mSlices.push_back({.mFrom = aNow});
  }
  while (aNow - mSlices.front().mFrom > mOptions.mWindow) {
    mSlices.pop_front();
  }
  return mSlices.back();
}

void RetryAllowance::RequestStarted(Millis aNow) {
  Current(aNow).mRequests += 1;
}

double RetryAllowance::SlackUsed(Millis aNow) const {
  // Eight routers that were all ended and started again spent their slack twice
  // in one window: 272 retries where 200 are allowed beside the ratio.
  const bool fresh =
      mOptions.mStartedAt >= 0 && aNow - mOptions.mStartedAt < mOptions.mWindow;
  return fresh ? 1 - mOptions.mUsed : mOptions.mUsed;
}

void RetryAllowance::Credit(int aRetries, Millis aNow) {
  mCredits = Credits(aNow) + aRetries;
  mCreditedAt = aNow;
}

int RetryAllowance::Credits(Millis aNow) const {
  return aNow - mCreditedAt <= kCreditLasts ? mCredits : 0;
}

double RetryAllowance::Left(double aSharers, Millis aNow) {
  Current(aNow);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : mSlices) {
    requests += slice.mRequests;
    retries += slice.mRetries;
  }
  const double divided = aSharers > 1 ? 1 - mOptions.mPooled : 1;
  const double part = mOptions.mSlack * divided / std::max(1.0, aSharers);
  return mOptions.mRatio * requests * mOptions.mUsed + part * SlackUsed(aNow) -
         retries + Credits(aNow);
}

bool RetryAllowance::TrySpend(double aSharers, Millis aNow) {
  if (Left(aSharers, aNow) < 1) {
    return false;
  }
  if (Credits(aNow) > 0) {
    mCredits--;
    return true;
  }
  Current(aNow).mRetries += 1;
  return true;
}

}  // namespace spindleweir
