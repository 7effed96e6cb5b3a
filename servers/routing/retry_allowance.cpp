#include "spindleweir/servers/routing/retry_allowance.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr int kSlicesPerWindow = 50;
/// The ratio is split between what requests earn for the window in which they
/// start and what may be saved up for the next one. The parts add up to one: a
/// window may have the savings of the window before in addition to its own.
constexpr double kEarnedShare = 0.6;
constexpr double kSavedShare = 1 - kEarnedShare;

}  // namespace

double RetryAllowance::MaxSaved() const {
  return mLimits.mRatio * mLimits.mUsableShare * kSavedShare * mRequests;
}

void RetryAllowance::Expire(Millis aNow) {
  // A slice leaves as a whole when its first request does.
  while (!mSlices.empty() && aNow - mSlices.front().mFrom >= mLimits.mWindow) {
    mRequests -= mSlices.front().mRequests;
    mSlices.pop_front();
  }
  mSaved = std::min(mSaved, MaxSaved());
  std::erase_if(mCredits, [aNow](const Credits& aCredits) {
    return aNow > aCredits.mExpiresAt;
  });
}

void RetryAllowance::RequestStarted(Millis aNow) {
  Expire(aNow);
  const Millis length = std::max<Millis>(1, mLimits.mWindow / kSlicesPerWindow);
  if (mSlices.empty() || aNow - mSlices.back().mFrom >= length) {
    mSlices.push_back({.mFrom = aNow});
  }
  mSlices.back().mRequests += 1;
  mRequests += 1;
  mSaved =
      std::min(mSaved + mLimits.mRatio * mLimits.mUsableShare * kEarnedShare,
               MaxSaved());
}

void RetryAllowance::AddCredits(int aRetries, Millis aRequestedAt) {
  mCredits.push_back({.mRetries = aRetries,
                      .mExpiresAt = aRequestedAt + kRetryCreditLifetime});
}

bool RetryAllowance::HasCredit(Millis aNow) {
  Expire(aNow);
  return std::any_of(
      mCredits.begin(), mCredits.end(),
      [](const Credits& aCredits) { return aCredits.mRetries > 0; });
}

double RetryAllowance::Available(Millis aNow) {
  Expire(aNow);
  double available = mSaved;
  for (const Credits& credits : mCredits) {
    available += credits.mRetries;
  }
  return available;
}

bool RetryAllowance::TrySpend(Millis aNow) {
  Expire(aNow);
  // Credits first: they expire.
  const auto it = std::find_if(
      mCredits.begin(), mCredits.end(),
      [](const Credits& aCredits) { return aCredits.mRetries > 0; });
  if (it != mCredits.end()) {
    it->mRetries--;
    return true;
  }
  if (mSaved < 1) {
    return false;
  }
  mSaved -= 1;
  return true;
}

}  // namespace spindleweir
