/// A voter's durable state, stored in one log file of the data folder.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/drivers/log_writer.h"
#include "spindleweir/servers/consensus/raft_storage.h"

namespace spindleweir {

/// Stores "state", "entry" and "snapshot" records; a snapshot rewrites the
/// file. Writes on a thread of its own.
class RaftDiskStorage : public RaftStorage {
 public:
  /// Reads the file, and writes it anew before it returns. Throws kDataCorrupt,
  /// kDataUnwritable or kStorageFailed. aHooks: called once writes have become
  /// durable or have failed.
  RaftDiskStorage(EventLoop& aLoop, const std::string& aPath,
                  LogWriterHooks aHooks);

  DurableState Load() override { return mState; }
  void SaveHardState(const HardState& aState) override;
  void Append(std::span<const LogEntry> aEntries) override;
  void SaveSnapshot(const Snapshot& aSnapshot,
                    std::span<const LogEntry> aNewerEntries,
                    const HardState& aState) override;
  std::int64_t DurableWrites() override;

  /// Whether the log had no records: the voter never ran before.
  bool Empty() const { return mEmpty; }
  std::size_t Bytes() const { return mWriter->Bytes(); }

 private:
  void Replay(std::string_view aRecord);

  DurableState mState;  ///< As read at the start; not updated afterwards.
  bool mEmpty = true;
  std::unique_ptr<LogWriter> mWriter;
};

}  // namespace spindleweir
