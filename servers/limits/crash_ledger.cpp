#include "spindleweir/servers/limits/crash_ledger.h"

#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

/// Beyond the number that bars, more crashes tell nothing; a request that
/// completes again and again is kept from being barred by them.
constexpr std::size_t kMostCrashes = 16;
constexpr std::size_t kLongestContent = 64;
constexpr std::size_t kLongestIncarnation = 300;

bool Usable(const std::string& aName, std::size_t aLongest) {
  return !aName.empty() && aName.size() <= aLongest;
}

}  // namespace

std::string IncarnationName(const std::string& aInstance, std::int64_t aStart) {
  return aInstance + "@" + std::to_string(aStart);
}

void RequireUsable(const CrashRecord& aRecord) {
  const std::size_t n = aRecord.mCrashes.size();
  bool usable =
      Usable(aRecord.mContent, kLongestContent) && n > 0 && n <= kMostCrashes;
  for (const CrashSeen& crash : aRecord.mCrashes) {
    usable = usable && Usable(crash.mIncarnation, kLongestIncarnation);
    RequireAge(crash.mAgo);
  }
  if (!usable) {
    throw Error(ResultCode::kBadHeartbeat,
                "a record of crashes names too much, or nothing");
  }
}

std::vector<CrashRecord> ReadCrashes(const std::vector<Json::Value>& aRows,
                                     const BadRowHook& aOnBad) {
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

std::size_t CrashLedger::Unexcused(const Entry& aEntry) {
  return static_cast<std::size_t>(
      std::count_if(aEntry.mCrashes.begin(), aEntry.mCrashes.end(),
                    [](const auto& aItem) { return !aItem.second.mExcused; }));
}

bool CrashLedger::MergeCrash(Entry& aEntry, const CrashSeen& aCrash,
                             Millis aNow) {
  const auto it = aEntry.mCrashes.find(aCrash.mIncarnation);
  if (it == aEntry.mCrashes.end()) {
    if (aEntry.mCrashes.size() >= kMostCrashes) {
      return false;
    }
    aEntry.mCrashes[aCrash.mIncarnation] = {.mAt = aNow - aCrash.mAgo,
                                            .mExcused = aCrash.mExcused};
    return true;
  }
  if (it->second.mExcused || !aCrash.mExcused) {
    return false;
  }
  it->second.mExcused = true;
  return true;
}

bool CrashLedger::Merge(const CrashRecord& aRecord, Millis aNow) {
  const bool known = mEntries.contains(aRecord.mContent);
  if (aRecord.mCrashes.empty() || (!known && !MakeRoom())) {
    return false;
  }
  Entry& entry = mEntries[aRecord.mContent];
  const bool wasBarred = Bars(entry);
  bool changed = false;
  for (const CrashSeen& crash : aRecord.mCrashes) {
    changed = MergeCrash(entry, crash, aNow) || changed;
  }
  if (!changed) {
    return false;
  }
  mBarred += Bars(entry) ? 1 : 0;
  mBarred -= wasBarred ? 1 : 0;
  Note(aRecord.mContent, entry, aNow);
  return true;
}

void CrashLedger::Note(const std::string& aContent, Entry& aEntry,
                       Millis aNow) {
  mByRevision.erase(aEntry.mRevision);
  aEntry.mRevision = ++mRevision;
  aEntry.mLastAt = aNow;
  mByRevision[mRevision] = aContent;
  if (IsVerdict(aEntry)) {
    mVerdictRevision = mRevision;
  }
}

void CrashLedger::Crashed(const std::string& aContent,
                          const std::string& aIncarnation, Millis aNow) {
  Merge({.mContent = aContent, .mCrashes = {{.mIncarnation = aIncarnation}}},
        aNow);
}

void CrashLedger::Excuse(const std::string& aContent, Millis aCompletedAt,
                         Millis aNow) {
  const auto it = mEntries.find(aContent);
  if (it == mEntries.end()) {
    return;
  }
  CrashRecord excused{.mContent = aContent};
  for (const auto& [incarnation, crash] : it->second.mCrashes) {
    if (!crash.mExcused && crash.mAt < aCompletedAt) {
      excused.mCrashes.push_back(
          {.mIncarnation = incarnation, .mExcused = true});
    }
  }
  Merge(excused, aNow);
}

bool CrashLedger::IsBarred(const std::string& aContent) const {
  const auto it = mEntries.find(aContent);
  return it != mEntries.end() && Bars(it->second);
}

std::size_t CrashLedger::CrashesOf(const std::string& aContent) const {
  const auto it = mEntries.find(aContent);
  return it == mEntries.end() ? 0 : Unexcused(it->second);
}

CrashLedger::Changes CrashLedger::Since(std::int64_t aRevision,
                                        bool aVerdictsOnly, std::size_t aMost,
                                        Millis aNow) const {
  Changes changes{.mUpTo = mRevision};
  for (auto it = mByRevision.upper_bound(aRevision); it != mByRevision.end();
       it++) {
    const Entry& entry = mEntries.at(it->second);
    if (aVerdictsOnly && !IsVerdict(entry)) {
      continue;
    }
    if (changes.mRecords.size() == aMost) {
      changes.mUpTo = it->first - 1;
      break;
    }
    CrashRecord record{.mContent = it->second};
    for (const auto& [incarnation, crash] : entry.mCrashes) {
      record.mCrashes.push_back({.mIncarnation = incarnation,
                                 .mAgo = std::max<Millis>(0, aNow - crash.mAt),
                                 .mExcused = crash.mExcused});
    }
    changes.mRecords.push_back(std::move(record));
  }
  return changes;
}

void CrashLedger::Erase(std::map<std::string, Entry>::iterator aIt) {
  mBarred -= Bars(aIt->second) ? 1 : 0;
  mByRevision.erase(aIt->second.mRevision);
  mEntries.erase(aIt);
}

bool CrashLedger::MakeRoom() {
  if (mEntries.size() < mOptions.mMost) {
    return true;
  }
  for (const auto& [revision, content] : mByRevision) {
    const auto it = mEntries.find(content);
    if (!Bars(it->second)) {
      Erase(it);
      return true;
    }
  }
  return false;
}

void CrashLedger::Forget(Millis aNow) {
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto next = std::next(it);
    const Millis keep =
        Bars(it->second) ? mOptions.mBarFor : mOptions.mSuspectFor;
    if (aNow - it->second.mLastAt >= keep) {
      Erase(it);
    }
    it = next;
  }
}

}  // namespace spindleweir
