#include "spindleweir/drivers/log_writer.h"

#include <iterator>
#include <utility>

#include "spindleweir/core/error.h"

namespace spindleweir {

LogWriter::LogWriter(EventLoop& aLoop, std::unique_ptr<DiskLog> aLog,
                     LogWriterHooks aHooks)
    : mLoop(aLoop),
      mHooks(std::move(aHooks)),
      mLog(std::move(aLog)),
      mBytes(mLog->Bytes()),
      mThread(aLoop) {}

std::int64_t LogWriter::Append(std::vector<std::string> aRecords) {
  if (mFailure.has_value()) {
    throw Error(ResultCode::kStorageFailed, mFailure->what());
  }
  mNext.mRecords.insert(mNext.mRecords.end(),
                        std::make_move_iterator(aRecords.begin()),
                        std::make_move_iterator(aRecords.end()));
  mNext.mNewest = ++mNumber;
  WriteSoon();
  return mNumber;
}

std::int64_t LogWriter::Replace(std::vector<std::string> aRecords) {
  // Records that were to be appended before are not needed any more.
  mNext = {.mReplaces = true, .mRecords = std::move(aRecords)};
  mNext.mNewest = ++mNumber;
  WriteSoon();
  return mNumber;
}

void LogWriter::WriteSoon() {
  if (!mIsWriting && mWriteTimer == nullptr) {
    mWriteTimer = mLoop.After(0, [this] { WriteBatch(); });
  }
}

void LogWriter::WriteBatch() {
  mWriteTimer.reset();
  mIsWriting = true;
  const auto batch = std::make_shared<Batch>(std::exchange(mNext, {}));
  mThread.Run(
      [this, batch] {
        const auto fill = [&batch](DiskLog& aLog) {
          for (const std::string& record : batch->mRecords) {
            aLog.Append(record);
          }
        };
        if (batch->mReplaces) {
          mLog->Rewrite(fill);
          return;
        }
        fill(*mLog);
        mLog->Sync();
      },
      [this, batch](const DiskResult& aResult) {
        OnWritten(batch->mNewest, batch->mReplaces, aResult);
      });
}

void LogWriter::OnWritten(std::int64_t aNewest, bool aReplaced,
                          const DiskResult& aResult) {
  mIsWriting = false;
  if (mHooks.mOnSynced) {
    mHooks.mOnSynced(aResult.mTook);
  }
  if (aResult.mError.has_value()) {
    mFailure = aResult.mError;
    mNext = {};
  } else {
    mDurable = aNewest;
    mBytes = mLog->Bytes();
    if (aReplaced) {
      mFailure.reset();
    }
  }
  if (mNext.mNewest > 0) {
    WriteSoon();
  }
  mHooks.mOnProgress();
}

}  // namespace spindleweir
