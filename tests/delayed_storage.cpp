#include "tests/delayed_storage.h"

#include <algorithm>
#include <cstdlib>

namespace spindleweir {

void DelayedStorage::SaveHardState(const HardState& aState) {
  mPending.push_back(
      {.mIsState = true,
       .mApply = [aState](DurableState& aDisk) { aDisk.mHardState = aState; }});
}

void DelayedStorage::Append(std::span<const LogEntry> aEntries) {
  const std::vector<LogEntry> entries(aEntries.begin(), aEntries.end());
  mPending.push_back(
      {.mIsState = false, .mApply = [entries](DurableState& aDisk) {
         const std::int64_t keep =
             entries.front().mIndex - aDisk.mSnapshot.mIndex - 1;
         if (keep < 0 ||
             keep > static_cast<std::int64_t>(aDisk.mEntries.size())) {
           std::abort();  // A gap: no disk log could be read again.
         }
         aDisk.mEntries.resize(static_cast<std::size_t>(keep));
         aDisk.mEntries.insert(aDisk.mEntries.end(), entries.begin(),
                               entries.end());
       }});
}

void DelayedStorage::SaveSnapshot(const Snapshot& aSnapshot,
                                  std::span<const LogEntry> aRemaining,
                                  const HardState& aState) {
  DurableState state{
      .mHardState = aState,
      .mSnapshot = aSnapshot,
      .mEntries = std::vector<LogEntry>(aRemaining.begin(), aRemaining.end())};
  mPending.push_back(
      {.mIsState = false,
       .mApply = [state](DurableState& aDisk) { aDisk = state; }});
}

std::int64_t DelayedStorage::DurableWrites() {
  std::int64_t told = mDurable;
  const bool early = mDefect == StorageDefect::kTellsStatesEarly ||
                     mDefect == StorageDefect::kTellsEntriesEarly;
  for (std::size_t i = mCached; early && i < mPending.size(); i++) {
    const bool tells =
        mPending[i].mIsState == (mDefect == StorageDefect::kTellsStatesEarly);
    if (!tells) {
      break;
    }
    told++;
  }
  return told;
}

void DelayedStorage::Sync(std::size_t aCount) {
  const std::size_t count = std::min(aCount, Pending());
  mDurable += static_cast<std::int64_t>(count);
  mSyncs++;
  if (mDefect == StorageDefect::kSkipsSyncs && mSyncs % 2 == 0) {
    mCached += count;
    return;
  }
  ApplyOldest(mCached + count);
  mCached = 0;
}

void DelayedStorage::Crash(std::size_t aKept) {
  ApplyOldest(std::min(aKept, mPending.size()));
  mPending.clear();
  mCached = 0;
  mDurable = 0;
}

void DelayedStorage::ApplyOldest(std::size_t aCount) {
  for (std::size_t i = 0; i < aCount; i++) {
    mPending.front().mApply(mDisk);
    mPending.pop_front();
  }
}

bool DelayedStorage::Holds(const LogEntry& aEntry) const {
  if (aEntry.mIndex <= mDisk.mSnapshot.mIndex) {
    return true;
  }
  const auto at =
      static_cast<std::size_t>(aEntry.mIndex - mDisk.mSnapshot.mIndex - 1);
  return at < mDisk.mEntries.size() && mDisk.mEntries[at] == aEntry;
}

}  // namespace spindleweir
