#include "daemons/control/crash_store.h"

#include <limits>

#include "daemons/control/file_warning.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

/// A burst of crashes changes verdicts with each message, and all are written.
constexpr Millis kSaveInterval = 1000;
constexpr Millis kRetryInterval = 2000;
constexpr char kDigestSeparator = ' ';

/// Content of the file, after the digest.
struct StoredCrashes {
  std::vector<Json::Value> mRows;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("rows", mRows);
  }
};

std::string DigestOf(std::string_view aText) {
  return std::to_string(FastHash(aText));
}

}  // namespace

void CrashStore::Load(CrashLedger& aLedger, Millis aNow,
                      const InvalidRowHook& aOnInvalidRow) {
  const std::string stored = ReadFile(mPath).value_or("");
  const std::size_t n = stored.find(kDigestSeparator);
  if (n == std::string::npos ||
      stored.substr(0, n) != DigestOf(std::string_view(stored).substr(n + 1))) {
    return;
  }
  try {
    const auto rows = FromJson<StoredCrashes>(
        ParseJson(std::string_view(stored).substr(n + 1)));
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
  const std::string text = DumpJson(ToJson(stored));
  mIsSaving = true;
  mReplace(mPath, DigestOf(text) + kDigestSeparator + text,
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
