#include "daemons/control/storage_start.h"

#include "spindleweir/core/error.h"
#include "spindleweir/drivers/disk_log.h"

namespace spindleweir {

namespace {

/// Name of the start among the files of StorageState.
constexpr const char* kStart = "start";

}  // namespace

StorageStart::StorageStart(EventLoop& aLoop, StorageState& aState,
                           StorageStartOptions aOptions)
    : mState(aState), mOptions(std::move(aOptions)) {
  if (Try()) {
    return;
  }
  CheckLogs();
  mTimer = aLoop.Every(kStorageRetryInterval, [this] {
    if (Try()) {
      mTimer.reset();
    }
  });
}

bool StorageStart::Try() {
  try {
    mOptions.mStart();
  } catch (const Error& error) {
    if (error.Code() != ResultCode::kStorageFailed) {
      throw;
    }
    mState.OnFailed(kStart, error.what());
    return false;
  }
  mState.OnUsable(kStart);
  return true;
}

void StorageStart::CheckLogs() const {
  for (const std::string& path : mOptions.mLogs) {
    DiskLog::Check(path);
  }
}

}  // namespace spindleweir
