#include "daemons/control/recovering_log.h"

#include "spindleweir/core/error.h"

namespace spindleweir {

RecoveringLog::RecoveringLog(ControlContext& aContext,
                             RecoveringLogOptions aOptions)
    : mContext(aContext),
      mOptions(std::move(aOptions)),
      mLog(aContext.mOptions.mData + "/" + mOptions.mFile, mOptions.mRestore) {}

void RecoveringLog::Write(std::span<const std::string> aRecords) {
  try {
    for (const std::string& record : aRecords) {
      mLog.Append(record);
    }
    mLog.Sync();
  } catch (const Error& error) {
    if (mTimer == nullptr) {
      OnFailed(error.what());
    }
    throw;
  }
}

void RecoveringLog::Compact() {
  try {
    mLog.Rewrite(mOptions.mFill);
  } catch (const Error& error) {
    OnFailed(error.what());
    return;
  }
  mTimer.reset();
  mContext.mStorage.OnUsable(mOptions.mFile);
}

void RecoveringLog::OnFailed(const std::string& aWhy) {
  mContext.mStorage.OnFailed(mOptions.mFile, aWhy);
  if (mTimer == nullptr) {
    mTimer = mContext.mLoop.Every(kStorageRetryInterval, [this] { Compact(); });
  }
}

}  // namespace spindleweir
