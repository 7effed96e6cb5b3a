/// A log in control's data folder that can be used again once its disk can.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "daemons/control/control_context.h"
#include "spindleweir/drivers/disk_log.h"

namespace spindleweir {

/// Parameters of a log.
struct RecoveringLogOptions {
  std::string mFile;  ///< Name in the data folder.
  /// Called at the start with each stored record, oldest first.
  std::function<void(std::string_view)> mRestore;
  /// Adds the records that are to be kept to an empty log.
  std::function<void(DiskLog&)> mFill;
};

/// A DiskLog that is written anew after a failure, from the state that its
/// owner has in memory, until the disk accepts that. Until then all writes
/// fail, and the log counts as failed in StorageState.
class RecoveringLog {
 public:
  /// Throws kDataCorrupt, kDataUnwritable or kStorageFailed.
  RecoveringLog(ControlContext& aContext, RecoveringLogOptions aOptions);

  /// Returns once the records are durable; throws kStorageFailed if they may
  /// not be, and the owner must not add them to its state.
  void Write(std::span<const std::string> aRecords);
  /// Removes all records but those that are to be kept.
  void Compact();
  std::size_t Bytes() const { return mLog.Bytes(); }

 private:
  void OnFailed(const std::string& aWhy);

  ControlContext& mContext;
  RecoveringLogOptions mOptions;
  DiskLog mLog;
  std::unique_ptr<Timer> mTimer;  ///< Set while the log has failed.
};

}  // namespace spindleweir
