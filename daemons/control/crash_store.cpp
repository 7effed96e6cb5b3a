#include "daemons/control/crash_store.h"

#include <limits>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr Millis kTryAgain = 2000;
constexpr char kAfterDigest = ' ';

/// What the file holds.
struct KeptCrashes {
  std::vector<Json::Value> mRows;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("rows", mRows);
  }
};

std::string DigestOf(std::string_view aText) {
  return std::to_string(FastHash(aText));
}

void Warn(const char* aEvent, const Error& aError) {
  LogLine(LogLevel::kWarning, aEvent)
      .Add("code", static_cast<int>(aError.Code()))
      .Add("why", aError.what());
}

}  // namespace

void CrashStore::Load(CrashLedger& aLedger, Millis aNow,
                      const InvalidRowHook& aOnBad) {
  const std::string kept = ReadFile(mPath).value_or("");
  const std::size_t n = kept.find(kAfterDigest);
  if (n == std::string::npos ||
      kept.substr(0, n) != DigestOf(std::string_view(kept).substr(n + 1))) {
    return;
  }
  try {
    const auto rows =
        FromJson<KeptCrashes>(ParseJson(std::string_view(kept).substr(n + 1)));
    for (const CrashRecord& record : ReadCrashes(rows.mRows, aOnBad)) {
      aLedger.Merge(record, aNow);
    }
  } catch (const Error& error) {
    // Of another build.
    Warn("barred_unreadable", error);
  }
  mSaved = aLedger.BarredRevision();
  LogLine(LogLevel::kInfo, "barred_read")
      .Add("requests", static_cast<Json::UInt64>(aLedger.BarredRequests()));
}

void CrashStore::Save(const CrashLedger& aLedger, Millis aNow) {
  const bool refused = mRefusedAt >= 0 && aNow - mRefusedAt < kTryAgain;
  if (aLedger.BarredRevision() == mSaved || refused) {
    return;
  }
  KeptCrashes kept;
  const CrashLedger::Changes all = aLedger.ChangesSince(
      0, true, std::numeric_limits<std::size_t>::max(), aNow);
  for (const CrashRecord& record : all.mRecords) {
    kept.mRows.push_back(ToJson(record));
  }
  const std::string text = DumpJson(ToJson(kept));
  try {
    ReplaceFile(mPath, DigestOf(text) + kAfterDigest + text);
    mSaved = aLedger.BarredRevision();
    mRefusedAt = -1;
  } catch (const Error& error) {
    mRefusedAt = aNow;
    Warn("barred_not_kept", error);
  }
}

}  // namespace spindleweir
