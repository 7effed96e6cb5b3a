/// A log in control's data folder that can be used again once its disk can.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemons/control/control_context.h"
#include "spindleweir/drivers/log_writer.h"

namespace spindleweir {

/// Parameters of a log.
struct RecoveringLogOptions {
  std::string mFile;  ///< Name in the data folder.
  /// Called at the start with each stored record, oldest first.
  std::function<void(std::string_view)> mRestore;
  /// The records that are to be kept: those of all writes so far, but for
  /// writes that have failed, which may be among them.
  std::function<std::vector<std::string>()> mRecords;
};

/// Called once with what went wrong; empty: the writes are durable.
using WrittenHook = std::function<void(const std::optional<Error>& aError)>;

/// A log that is written on a thread of its own. After a failure it is written
/// anew, from the state that its owner has in memory, until the disk accepts
/// that. Until then all writes are refused, and the log counts as failed in
/// StorageState.
class RecoveringLog {
 public:
  /// Waits for the disk. Throws kDataCorrupt, kDataUnwritable or
  /// kStorageFailed.
  RecoveringLog(ControlContext& aContext, RecoveringLogOptions aOptions);

  /// Begins to write; see AfterWrites(). Throws kStorageFailed if the log has
  /// failed: the owner must not add the records to its state.
  void Write(std::vector<std::string> aRecords);
  /// Calls aDone once all that was written so far is durable, or some of it
  /// has failed: at once, if that is known.
  void AfterWrites(WrittenHook aDone);
  /// Begins to remove all records but those that are to be kept.
  void Compact();
  std::size_t Bytes() const { return mWriter.Bytes(); }

 private:
  /// A caller that waits for the write of this number and all earlier ones.
  struct Waiter {
    std::int64_t mWrite;
    WrittenHook mDone;
  };

  void OnProgress();
  void OnFailed(const Error& aWhy);

  ControlContext& mContext;
  RecoveringLogOptions mOptions;
  std::int64_t mNewest = 0;  ///< Number of the last write.
  /// Number of the last replacement, unless it has ended; else 0.
  std::int64_t mReplacement = 0;
  std::deque<Waiter> mWaiters;    ///< In the order of their writes.
  std::unique_ptr<Timer> mTimer;  ///< Set while the log has failed.
  LogWriter mWriter;              ///< Last: its thread ends first.
};

}  // namespace spindleweir
