#include "spindleweir/servers/consensus/pending_writes.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Durations that are remembered: a disk that was slow may be quick again.
constexpr std::size_t kMaxDurations = 4;
constexpr Millis kDurationMemory = 10000;

}  // namespace

void PendingWrites::Begin(std::int64_t aLastIndex, Millis aNow) {
  mNewest++;
  mWrites.push_back(
      {.mNumber = mNewest, .mLastIndex = aLastIndex, .mSince = aNow});
}

void PendingWrites::Truncate(std::int64_t aLastIndex) {
  mDurableIndex = std::min(mDurableIndex, aLastIndex);
  for (Write& write : mWrites) {
    write.mLastIndex = std::min(write.mLastIndex, aLastIndex);
  }
}

bool PendingWrites::Finish(std::int64_t aWrite, Millis aNow) {
  const std::size_t before = mWrites.size();
  while (!mWrites.empty() && mWrites.front().mNumber <= aWrite) {
    const Write& write = mWrites.front();
    mDurable = write.mNumber;
    mDurableIndex = write.mLastIndex;
    mDurations.push_back({.mTook = aNow - write.mSince, .mEndedAt = aNow});
    mWrites.pop_front();
  }
  while (mDurations.size() > kMaxDurations) {
    mDurations.pop_front();
  }
  return mWrites.size() != before;
}

Millis PendingWrites::OldestAge(Millis aNow) const {
  return mWrites.empty() ? 0 : aNow - mWrites.front().mSince;
}

Millis PendingWrites::RecentDuration(Millis aNow) const {
  Millis longest = 0;
  for (const Duration& duration : mDurations) {
    if (aNow - duration.mEndedAt < kDurationMemory) {
      longest = std::max(longest, duration.mTook);
    }
  }
  return longest;
}

}  // namespace spindleweir
