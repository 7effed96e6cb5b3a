#include "daemons/control/recovering_log.h"

#include <utility>

#include "spindleweir/core/error.h"

namespace spindleweir {

RecoveringLog::RecoveringLog(ControlContext& aContext,
                             RecoveringLogOptions aOptions)
    : mContext(aContext),
      mOptions(std::move(aOptions)),
      mWriter(aContext.mLoop,
              std::make_unique<DiskLog>(
                  aContext.mOptions.mData + "/" + mOptions.mFile,
                  mOptions.mRestore),
              {.mOnProgress = [this] { OnProgress(); },
               .mOnSynced =
                   [this](Millis aTook) {
                     mContext.mStorage.OnSynced(mOptions.mFile, aTook);
                   }}) {}

void RecoveringLog::Write(std::vector<std::string> aRecords) {
  mNewest = mWriter.Append(std::move(aRecords));
}

void RecoveringLog::AfterWrites(WrittenHook aDone) {
  if (mWriter.Failure().has_value()) {
    aDone(Error(ResultCode::kStorageFailed, mWriter.Failure()->what()));
    return;
  }
  if (mNewest <= mWriter.Durable()) {
    aDone(std::nullopt);
    return;
  }
  mWaiters.push_back({.mWrite = mNewest, .mDone = std::move(aDone)});
}

void RecoveringLog::Compact() {
  // On a slow disk, the next attempt is due before the last one has ended.
  if (mReplacement == 0) {
    mReplacement = mNewest = mWriter.Replace(mOptions.mRecords());
  }
}

void RecoveringLog::OnProgress() {
  if (mWriter.Failure().has_value()) {
    OnFailed({ResultCode::kStorageFailed, mWriter.Failure()->what()});
    return;
  }
  if (mReplacement <= mWriter.Durable()) {
    mReplacement = 0;
  }
  if (mTimer != nullptr) {
    mTimer.reset();
    mContext.mStorage.OnUsable(mOptions.mFile);
  }
  while (!mWaiters.empty() && mWaiters.front().mWrite <= mWriter.Durable()) {
    const WrittenHook done = std::move(mWaiters.front().mDone);
    mWaiters.pop_front();
    done(std::nullopt);
  }
}

void RecoveringLog::OnFailed(const Error& aWhy) {
  mReplacement = 0;
  mContext.mStorage.OnFailed(mOptions.mFile, aWhy.what());
  if (mTimer == nullptr) {
    mTimer = mContext.mLoop.Every(kStorageRetryInterval, [this] { Compact(); });
  }
  for (const Waiter& waiter : std::exchange(mWaiters, {})) {
    waiter.mDone(aWhy);
  }
}

}  // namespace spindleweir
