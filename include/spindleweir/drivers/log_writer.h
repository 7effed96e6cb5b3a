/// Writes a log file on a thread of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/drivers/disk_thread.h"

namespace spindleweir {

/// Called in the loop with the time that a write with its sync took, whether it
/// succeeded or not.
using SyncHook = std::function<void(Millis aTook)>;

/// Hooks of a log writer.
struct LogWriterHooks {
  std::function<void()> mOnProgress;  ///< Durable() or Failure() has changed.
  SyncHook mOnSynced;                 ///< May be empty.
};

/// Writes that are begun while another one waits for the disk share the next
/// sync, as do those of one iteration of the loop.
class LogWriter {
 public:
  LogWriter(EventLoop& aLoop, std::unique_ptr<DiskLog> aLog,
            LogWriterHooks aHooks);

  /// Begins to write records, and returns the number of this write: from 1, one
  /// more each time. Throws kStorageFailed after a failure.
  std::int64_t Append(std::vector<std::string> aRecords);
  /// Begins to replace all records. Allowed after a failure, which it ends if
  /// it succeeds. Writes that wait when another one fails are never begun.
  std::int64_t Replace(std::vector<std::string> aRecords);

  /// The number of the last write that is durable, and with it all earlier
  /// ones.
  std::int64_t Durable() const { return mDurable; }
  /// Why a write failed; empty: none has since the last successful Replace().
  const std::optional<Error>& Failure() const { return mFailure; }
  /// Whether no write is under way or waits.
  bool IsIdle() const { return !mIsWriting && mNext.mNewest == 0; }
  /// Bytes of the file, as of the last write that is durable.
  std::size_t Bytes() const { return mBytes; }

 private:
  /// Records that share a sync.
  struct Batch {
    bool mReplaces = false;
    std::vector<std::string> mRecords;
    std::int64_t mNewest = 0;
  };

  void WriteSoon();
  void WriteBatch();
  void OnWritten(std::int64_t aNewest, bool aReplaced,
                 const DiskResult& aResult);

  EventLoop& mLoop;
  LogWriterHooks mHooks;
  std::unique_ptr<DiskLog> mLog;  ///< Used by the thread while it writes.
  Batch mNext;                    ///< Not begun yet; mNewest 0: empty.
  bool mIsWriting = false;
  std::int64_t mNumber = 0;
  std::int64_t mDurable = 0;
  std::size_t mBytes = 0;
  std::optional<Error> mFailure;
  std::unique_ptr<Timer> mWriteTimer;
  DiskThread mThread;  ///< Last: ends before what it uses.
};

}  // namespace spindleweir
