#include "daemons/control/crash_store.h"

#include <limits>

#include "daemons/control/checked_file.h"
#include "daemons/control/file_warning.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// A burst of crashes changes verdicts with each message, and all are written.
constexpr Millis kSaveInterval = 1000;
constexpr Millis kRetryInterval = 2000;

/// Content of the file, after the digest.
struct StoredCrashes {
  std::vector<Json::Value> mRows;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("rows", mRows);
  }
};

}  // namespace

void CrashStore::Load(CrashLedger& aLedger, Millis aNow,
                      const InvalidRowHook& aOnInvalidRow) {
  const std::optional<std::string> stored = ReadCheckedFile(mPath);
  if (!stored.has_value()) {
    return;
  }
  try {
    const auto rows = FromJson<StoredCrashes>(ParseJson(*stored));
    for (const CrashRecord& record : ReadCrashes(rows.mRows, aOnInvalidRow)) {
      aLedger.Merge(record, aNow);
    }
  } catch (const Error& error) {
    // Written by a build with another format.
    LogFileWarning("barred_unreadable", error);
  }
  mSavedRevision = aLedger.BarredRevision();
  LogLine(LogLevel::kInfo, "barred_read")
      .Add("requests", static_cast<Json::UInt64>(aLedger.BarredRequests()))
      .Add("parts", static_cast<Json::UInt64>(aLedger.BarredParts()));
}

void CrashStore::Save(const CrashLedger& aLedger, Millis aNow) {
  const bool delayed = (mFailedAt >= 0 && aNow - mFailedAt < kRetryInterval) ||
                       (mSavedAt >= 0 && aNow - mSavedAt < kSaveInterval);
  const std::int64_t revision = aLedger.BarredRevision();
  if (revision == mSavedRevision || delayed || mIsSaving) {
    return;
  }
  StoredCrashes stored;
  const CrashLedger::Changes all = aLedger.ChangesSince(
      0, CrashAudience::kDisk, std::numeric_limits<std::size_t>::max(), aNow);
  for (const CrashRecord& record : all.mRecords) {
    stored.mRows.push_back(ToJson(record));
  }
  mIsSaving = true;
  mReplace(mPath, WithDigest(DumpJson(ToJson(stored))),
           [this, revision, aNow](const std::optional<Error>& aError) {
             OnSaved(revision, aNow, aError);
           });
}

void CrashStore::OnSaved(std::int64_t aRevision, Millis aBegan,
                         const std::optional<Error>& aError) {
  mIsSaving = false;
  if (aError.has_value()) {
    mFailedAt = aBegan;
    LogFileWarning("barred_not_kept", *aError);
    return;
  }
  mSavedRevision = aRevision;
  mSavedAt = aBegan;
  mFailedAt = -1;
}

}  // namespace spindleweir
