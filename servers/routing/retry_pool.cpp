#include "spindleweir/servers/routing/retry_pool.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

/// A restart loses this part of the share for a window; with less of it grants
/// wait for the disk more often.
constexpr double kHeadroomShare = 0.25;

}  // namespace

RetryPool::RetryPool(RetryLimits aLimits, int aInherited, Millis aStartedAt)
    : mLimits(aLimits), mRecorded(aInherited), mWriting(aInherited) {
  if (aInherited > 0) {
    mGrants.push_back({.mAt = aStartedAt, .mRetries = aInherited});
    mGranted = aInherited;
  }
}

int RetryPool::Granted(Millis aNow) {
  while (!mGrants.empty() &&
         aNow - mGrants.front().mAt > RetryGrantRetention(mLimits)) {
    mGranted -= mGrants.front().mRetries;
    mGrants.pop_front();
  }
  return mGranted;
}

double RetryPool::Part(double aShare) const {
  return mLimits.mSlack * mLimits.mUsableShare * aShare;
}

double RetryPool::Available(double aShare, Millis aNow) {
  return Part(aShare) - Granted(aNow);
}

int RetryPool::Grant(int aWanted, double aShare, Millis aNow) {
  const int available =
      std::min(static_cast<int>(std::floor(Available(aShare, aNow))),
               mRecorded - Granted(aNow));
  const int granted = std::clamp(available, 0, std::max(0, aWanted));
  if (granted == 0) {
    return 0;
  }
  if (mGrants.empty() || mGrants.back().mAt != aNow) {
    mGrants.push_back({.mAt = aNow});
  }
  mGrants.back().mRetries += granted;
  mGranted += granted;
  return granted;
}

int RetryPool::Headroom(double aShare) const {
  return std::max(1, static_cast<int>(Part(aShare) * kHeadroomShare));
}

int RetryPool::RecordTarget(double aShare, Millis aNow) {
  const int granted = Granted(aNow);
  const int part = static_cast<int>(std::floor(Part(aShare)));
  return std::max(granted, std::min(part, granted + Headroom(aShare)));
}

bool RetryPool::NeedsRecord(double aShare, Millis aNow) {
  const int target = RecordTarget(aShare, aNow);
  const int headroom = Headroom(aShare);
  const bool isShort = 2 * (mRecorded - Granted(aNow)) < headroom;
  return (isShort && target > mRecorded) || target + headroom < mRecorded;
}

int RetryPool::BeginRecord(double aShare, Millis aNow) {
  mWriting = NeedsRecord(aShare, aNow) ? RecordTarget(aShare, aNow) : mRecorded;
  mRecorded = std::min(mRecorded, mWriting);
  return mWriting;
}

void RetryPool::EndRecord(bool aIsDurable) {
  if (aIsDurable) {
    mRecorded = mWriting;
  }
}

}  // namespace spindleweir
