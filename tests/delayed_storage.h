/// Storage of a voter in memory whose writes become durable later, in order.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <vector>

#include "spindleweir/servers/consensus/raft_storage.h"

namespace spindleweir {

/// What a disk tells wrongly, so that a test can see whether it would notice.
enum class StorageDefect {
  kNone,
  /// Votes and terms are told as durable at once.
  kTellsStatesEarly,
  /// Entries and snapshots are told as durable at once.
  kTellsEntriesEarly,
  /// Each second sync is told, but leaves its writes in the disk's cache.
  kSkipsSyncs,
};

/// The test decides when writes become durable, and which of the others remain
/// after a crash. The object stays the same over the lives of a voter.
class DelayedStorage : public RaftStorage {
 public:
  DurableState Load() override { return mDisk; }
  void SaveHardState(const HardState& aState) override;
  void Append(std::span<const LogEntry> aEntries) override;
  void SaveSnapshot(const Snapshot& aSnapshot,
                    std::span<const LogEntry> aRemaining,
                    const HardState& aState) override;
  std::int64_t DurableWrites() override;

  /// Writes that are not told as durable.
  std::size_t Pending() const { return mPending.size() - mCached; }
  /// Makes the oldest aCount of these durable.
  void Sync(std::size_t aCount);
  /// The voter's process ends, or its machine loses power. Of the writes that
  /// are not durable the oldest aKept remain, or all if there are fewer.
  void Crash(std::size_t aKept);
  /// What a crash would leave at least.
  const DurableState& Disk() const { return mDisk; }
  /// Whether the disk holds this entry, or a snapshot that includes it.
  bool Holds(const LogEntry& aEntry) const;

  StorageDefect mDefect = StorageDefect::kNone;

 private:
  struct Write {
    bool mIsState;
    std::function<void(DurableState&)> mApply;
  };

  void ApplyOldest(std::size_t aCount);

  DurableState mDisk;
  std::deque<Write> mPending;  ///< Oldest first.
  std::size_t mCached = 0;     ///< Of these told, but not on the disk.
  std::int64_t mDurable = 0;   ///< Writes of this life that were told.
  int mSyncs = 0;
};

}  // namespace spindleweir
