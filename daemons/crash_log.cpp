#include "daemons/crash_log.h"

#include "spindleweir/core/log.h"
#include "spindleweir/servers/limits/prompt_part.h"

namespace spindleweir {

namespace {

const char* EventOf(bool aIsPart, bool aIsBarred) {
  if (aIsPart) {
    return aIsBarred ? "part_barred" : "part_not_barred";
  }
  return aIsBarred ? "request_barred" : "request_not_barred";
}

}  // namespace

void LogVerdict(const CrashLedger& aLedger, const CrashRecord& aRecord,
                bool aWasBarred, const std::string& aBy) {
  const bool isBarred = aLedger.IsBarred(aRecord.mSubject);
  if (isBarred == aWasBarred) {
    return;
  }
  Json::Value crashes(Json::arrayValue);
  for (const OpenCrash& crash : aLedger.OpenCrashes(aRecord.mSubject)) {
    crashes.append(crash.mIncarnation);
  }
  LogLine(LogLevel::kWarning,
          EventOf(IsPartSubject(aRecord.mSubject), isBarred))
      .Add("content", aRecord.mSubject)
      .Add("by", aBy)
      .Add("crashes", static_cast<int>(aRecord.mCrashes.size()))
      .Add("unexcused", crashes);
}

}  // namespace spindleweir
