#include "daemons/control/storage_state.h"

#include "spindleweir/core/log.h"
#include "spindleweir/core/result_code.h"

namespace spindleweir {

namespace {

/// Writes with their sync that take longer are logged. A disk that does nothing
/// else takes a few milliseconds.
constexpr Millis kSlowSync = 100;

}  // namespace

StorageState::StorageState(Counters& aCounters, std::string aFolder)
    : mCounters(aCounters), mFolder(std::move(aFolder)) {
  mCounters.Set("storage_failed", 0);
}

void StorageState::OnFailed(const std::string& aFile, const std::string& aWhy) {
  const bool isNew = mFailed.insert(aFile).second;
  mCounters.Set("storage_failed", 1);
  LogLine(isNew ? LogLevel::kError : LogLevel::kWarning,
          isNew ? "storage_failed" : "storage_still_failing")
      .Add("code", static_cast<int>(ResultCode::kStorageFailed))
      .Add("data", mFolder)
      .Add("file", aFile)
      .Add("why", aWhy);
}

void StorageState::OnSynced(const std::string& aFile, Millis aTook) {
  mCounters.Observe("sync_ms", aTook);
  if (aTook > kSlowSync) {
    LogLine(LogLevel::kInfo, "sync_slow")
        .Add("file", aFile)
        .Add("took_ms", static_cast<Json::Int64>(aTook));
  }
}

void StorageState::OnUsable(const std::string& aFile) {
  if (mFailed.erase(aFile) == 0) {
    return;
  }
  mCounters.Set("storage_failed", Failed() ? 1 : 0);
  LogLine(LogLevel::kInfo, "storage_regained").Add("file", aFile);
}

}  // namespace spindleweir
