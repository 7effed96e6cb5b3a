#include "spindleweir/servers/routing/retry_allowance.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr int kSlices = 10;

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

double RetryAllowance::Left(int aRouters, Millis aNow) {
  Current(aNow);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : mSlices) {
    requests += slice.mRequests;
    retries += slice.mRetries;
  }
  const double part = mOptions.mSlack / std::max(1, aRouters);
  return mOptions.mRatio * requests * mOptions.mUsed + part * SlackUsed(aNow) -
         retries;
}

bool RetryAllowance::TrySpend(int aRouters, Millis aNow) {
  if (Left(aRouters, aNow) < 1) {
    return false;
  }
  Current(aNow).mRetries += 1;
  return true;
}

}  // namespace spindleweir
