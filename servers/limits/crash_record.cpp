#include "spindleweir/servers/limits/crash_record.h"

#include <algorithm>
#include <limits>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxObserverLength = 100;
constexpr std::size_t kMaxSubjectLength = 64;
constexpr std::size_t kMaxIncarnationLength = 300;

bool IsValidName(const std::string& aName, std::size_t aMaxLength) {
  return !aName.empty() && aName.size() <= aMaxLength;
}

}  // namespace

std::string IncarnationName(const std::string& aInstance, std::int64_t aStart) {
  return aInstance + "@" + std::to_string(aStart);
}

void RequireUsable(const CrashRecord& aRecord) {
  const std::size_t n = aRecord.mCrashes.size();
  bool usable = IsValidName(aRecord.mSubject, kMaxSubjectLength) && n > 0 &&
                n <= kMaxCrashesPerRecord;
  for (const ObservedCrash& crash : aRecord.mCrashes) {
    usable = usable && IsValidName(crash.mIncarnation, kMaxIncarnationLength) &&
             crash.mObserver.size() <= kMaxObserverLength;
    RequireAge(crash.mAgo);
    RequireAge(crash.mRan);
  }
  if (!usable) {
    throw Error(
        ResultCode::kBadHeartbeat,
        "crash record needs a subject of 1 to 64 bytes and 1 to 16 crashes, "
        "each with an incarnation of 1 to 300 bytes and an observer of up to "
        "100 bytes");
  }
}

std::vector<CrashRecord> ReadCrashes(const std::vector<Json::Value>& aRows,
                                     const InvalidRowHook& aOnBad) {
  std::vector<CrashRecord> records;
  for (const Json::Value& row : aRows) {
    try {
      CrashRecord record = FromJson<CrashRecord>(row);
      RequireUsable(record);
      records.push_back(std::move(record));
    } catch (const Error& error) {
      aOnBad("", error);
    }
  }
  return records;
}

std::size_t CrashRounds(std::span<const OpenCrash> aCrashes) {
  std::vector<OpenCrash> crashes(aCrashes.begin(), aCrashes.end());
  std::sort(crashes.begin(), crashes.end(),
            [](const OpenCrash& aLeft, const OpenCrash& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  std::size_t rounds = 0;
  Millis last = std::numeric_limits<Millis>::min();
  for (const OpenCrash& crash : crashes) {
    if (crash.mStartedAt >= last) {
      rounds++;
      last = crash.mAt;
    }
  }
  return rounds;
}

}  // namespace spindleweir
