/// A voter's durable state, stored in one log file of the data folder.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/drivers/log_writer.h"
#include "spindleweir/servers/consensus/raft_storage.h"

namespace spindleweir {

/// A voter's log file that has been read, and written anew.
struct OpenRaftLog {
  /// Waits for the disk; may run on any thread. Throws kDataCorrupt,
  /// kDataUnwritable or kStorageFailed.
  /// aInitialVoters: stored as the voters if the file has no records.
  explicit OpenRaftLog(const std::string& aPath,
                       const std::vector<std::string>& aInitialVoters = {});

  DurableState mState;
  bool mEmpty = true;  ///< It had no records: the voter never ran before.
  std::unique_ptr<DiskLog> mLog;

 private:
  void Replay(std::string_view aRecord);
};

/// Stores "state", "entry" and "snapshot" records; a snapshot rewrites the
/// file. Writes on a thread of its own.
class RaftDiskStorage : public RaftStorage {
 public:
  /// aHooks: called once writes have become durable or have failed.
  RaftDiskStorage(EventLoop& aLoop, OpenRaftLog aLog, LogWriterHooks aHooks);

  /// The state as of the start.
  DurableState Load() override { return mState; }
  void SaveHardState(const HardState& aState) override;
  void Append(std::span<const LogEntry> aEntries) override;
  void SaveSnapshot(const Snapshot& aSnapshot,
                    std::span<const LogEntry> aNewerEntries,
                    const HardState& aState) override;
  std::int64_t DurableWrites() override;

  /// Whether the log had no records at the start.
  bool Empty() const { return mEmpty; }
  /// Whether nothing waits to be written.
  bool IsIdle() const { return mWriter.IsIdle(); }
  std::size_t Bytes() const { return mWriter.Bytes(); }

 private:
  DurableState mState;  ///< As read at the start; not updated afterwards.
  bool mEmpty;
  LogWriter mWriter;
};

}  // namespace spindleweir
