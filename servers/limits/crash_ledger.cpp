#include "spindleweir/servers/limits/crash_ledger.h"

#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

/// Crashes per record. More than the number that bars a request add no
/// information, and the limit keeps a request that completes again and again
/// from being barred by further crashes.
constexpr std::size_t kMaxCrashes = 16;
constexpr std::size_t kMaxDigestLength = 64;
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
  bool usable = IsValidName(aRecord.mRequestDigest, kMaxDigestLength) &&
                n > 0 && n <= kMaxCrashes;
  for (const ObservedCrash& crash : aRecord.mCrashes) {
    usable = usable && IsValidName(crash.mIncarnation, kMaxIncarnationLength);
    RequireAge(crash.mAgo);
  }
  if (!usable) {
    throw Error(
        ResultCode::kBadHeartbeat,
        "crash record needs a digest of 1 to 64 bytes and 1 to 16 crashes, "
        "each with an incarnation of 1 to 300 bytes");
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

std::size_t CrashLedger::CountUnexcused(const Entry& aEntry) {
  return static_cast<std::size_t>(
      std::count_if(aEntry.mCrashes.begin(), aEntry.mCrashes.end(),
                    [](const auto& aItem) { return !aItem.second.mExcused; }));
}

bool CrashLedger::MergeCrash(Entry& aEntry, const ObservedCrash& aCrash,
                             Millis aNow) {
  const auto it = aEntry.mCrashes.find(aCrash.mIncarnation);
  if (it == aEntry.mCrashes.end()) {
    if (aEntry.mCrashes.size() >= kMaxCrashes) {
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
  const bool known = mEntries.contains(aRecord.mRequestDigest);
  if (aRecord.mCrashes.empty() || (!known && !MakeRoom())) {
    return false;
  }
  Entry& entry = mEntries[aRecord.mRequestDigest];
  const bool wasBarred = Bars(entry);
  bool changed = false;
  for (const ObservedCrash& crash : aRecord.mCrashes) {
    changed = MergeCrash(entry, crash, aNow) || changed;
  }
  if (!changed) {
    return false;
  }
  mBarred += Bars(entry) ? 1 : 0;
  mBarred -= wasBarred ? 1 : 0;
  MarkChanged(aRecord.mRequestDigest, entry, aNow);
  return true;
}

void CrashLedger::MarkChanged(const std::string& aDigest, Entry& aEntry,
                              Millis aNow) {
  mByRevision.erase(aEntry.mRevision);
  aEntry.mRevision = ++mRevision;
  aEntry.mLastAt = aNow;
  mByRevision[mRevision] = aDigest;
  if (WasEverBarred(aEntry)) {
    mBarredRevision = mRevision;
  }
}

void CrashLedger::RecordCrash(const std::string& aDigest,
                              const std::string& aIncarnation, Millis aNow) {
  Merge(
      {.mRequestDigest = aDigest, .mCrashes = {{.mIncarnation = aIncarnation}}},
      aNow);
}

void CrashLedger::Excuse(const std::string& aDigest, Millis aCompletedAt,
                         Millis aNow) {
  const auto it = mEntries.find(aDigest);
  if (it == mEntries.end()) {
    return;
  }
  CrashRecord excused{.mRequestDigest = aDigest};
  for (const auto& [incarnation, crash] : it->second.mCrashes) {
    if (!crash.mExcused && crash.mAt < aCompletedAt) {
      excused.mCrashes.push_back(
          {.mIncarnation = incarnation, .mExcused = true});
    }
  }
  Merge(excused, aNow);
}

bool CrashLedger::IsBarred(const std::string& aDigest) const {
  const auto it = mEntries.find(aDigest);
  return it != mEntries.end() && Bars(it->second);
}

std::size_t CrashLedger::UnexcusedCrashes(const std::string& aDigest) const {
  const auto it = mEntries.find(aDigest);
  return it == mEntries.end() ? 0 : CountUnexcused(it->second);
}

CrashLedger::Changes CrashLedger::ChangesSince(std::int64_t aRevision,
                                               bool aBarredOnly,
                                               std::size_t aMaxRecords,
                                               Millis aNow) const {
  Changes changes{.mUpToRevision = mRevision};
  for (auto it = mByRevision.upper_bound(aRevision); it != mByRevision.end();
       it++) {
    const Entry& entry = mEntries.at(it->second);
    if (aBarredOnly && !WasEverBarred(entry)) {
      continue;
    }
    if (changes.mRecords.size() == aMaxRecords) {
      changes.mUpToRevision = it->first - 1;
      break;
    }
    CrashRecord record{.mRequestDigest = it->second};
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
  if (mEntries.size() < mOptions.mMaxRequests) {
    return true;
  }
  for (const auto& [revision, digest] : mByRevision) {
    const auto it = mEntries.find(digest);
    if (!Bars(it->second)) {
      Erase(it);
      return true;
    }
  }
  return false;
}

void CrashLedger::RemoveExpired(Millis aNow) {
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto next = std::next(it);
    const Millis retention = Bars(it->second) ? mOptions.mBarredRetention
                                              : mOptions.mSuspectRetention;
    if (aNow - it->second.mLastAt >= retention) {
      Erase(it);
    }
    it = next;
  }
}

}  // namespace spindleweir
