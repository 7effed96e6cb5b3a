#include "spindleweir/servers/limits/crash_ledger.h"

#include <algorithm>
#include <tuple>

#include "spindleweir/servers/limits/prompt_part.h"

namespace spindleweir {

namespace {

/// The times of two accounts of a crash may differ by as much because of the
/// way that their messages took.
constexpr Millis kMessageDelay = 200;

}  // namespace

std::size_t CrashLedger::CountUnexcused(const Entry& aEntry) {
  return static_cast<std::size_t>(
      std::count_if(aEntry.mCrashes.begin(), aEntry.mCrashes.end(),
                    [](const auto& aItem) { return !aItem.second.mExcused; }));
}

std::vector<OpenCrash> CrashLedger::OpenCrashesOf(const Entry& aEntry) {
  std::vector<OpenCrash> crashes;
  for (const auto& [incarnation, crash] : aEntry.mCrashes) {
    if (!crash.mExcused) {
      crashes.push_back({.mIncarnation = incarnation,
                         .mAt = crash.mAt,
                         .mStartedAt = crash.mStartedAt,
                         .mObserver = crash.mObserver});
    }
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const OpenCrash& aLeft, const OpenCrash& aRight) {
              return std::tie(aLeft.mAt, aLeft.mObserver) <
                     std::tie(aRight.mAt, aRight.mObserver);
            });
  return crashes;
}

bool CrashLedger::AddRound(Entry& aEntry, const std::string& aIncarnation,
                           const Crash& aCrash) {
  const std::size_t before = CrashRounds(OpenCrashesOf(aEntry));
  Entry with = aEntry;
  with.mCrashes[aIncarnation] = aCrash;
  const std::size_t after = CrashRounds(OpenCrashesOf(with));
  if (after <= before) {
    return false;
  }
  for (const auto& [incarnation, crash] : aEntry.mCrashes) {
    Entry without = with;
    without.mCrashes.erase(incarnation);
    if (CrashRounds(OpenCrashesOf(without)) == after) {
      aEntry = std::move(without);
      return true;
    }
  }
  return false;
}

bool CrashLedger::MergeCrash(Entry& aEntry, const ObservedCrash& aCrash,
                             bool aIsPart, Millis aNow) {
  const Millis at = aNow - aCrash.mAgo;
  const Millis startedAt = at - aCrash.mRan;
  const auto it = aEntry.mCrashes.find(aCrash.mIncarnation);
  if (it == aEntry.mCrashes.end()) {
    const Crash crash{.mAt = at,
                      .mExcused = aCrash.mExcused,
                      .mStartedAt = startedAt,
                      .mObserver = aCrash.mObserver};
    if (aEntry.mCrashes.size() >= kMaxCrashesPerRecord) {
      return aIsPart && AddRound(aEntry, aCrash.mIncarnation, crash);
    }
    aEntry.mCrashes[aCrash.mIncarnation] = crash;
    return true;
  }
  Crash& known = it->second;
  const Crash before = known;
  known.mExcused = known.mExcused || aCrash.mExcused;
  if (at + kMessageDelay < known.mAt) {
    known.mAt = at;
  }
  if (startedAt > known.mStartedAt + kMessageDelay) {
    known.mStartedAt = std::min(startedAt, known.mAt);
  }
  known.mObserver = std::max(known.mObserver, aCrash.mObserver);
  return std::tie(before.mExcused, before.mAt, before.mStartedAt,
                  before.mObserver) !=
         std::tie(known.mExcused, known.mAt, known.mStartedAt, known.mObserver);
}

bool CrashLedger::Bars(const std::string& aSubject, const Entry& aEntry) const {
  if (IsPartSubject(aSubject)) {
    return CrashRounds(OpenCrashesOf(aEntry)) >= mOptions.mRoundsToBarPart;
  }
  return CountUnexcused(aEntry) >= mOptions.mCrashesToBar;
}

bool CrashLedger::Merge(const CrashRecord& aRecord, Millis aNow) {
  const bool known = mEntries.contains(aRecord.mSubject);
  if (aRecord.mCrashes.empty() || (!known && !MakeRoom())) {
    return false;
  }
  Entry& entry = mEntries[aRecord.mSubject];
  const bool isPart = IsPartSubject(aRecord.mSubject);
  bool changed = aRecord.mProven && !entry.mProven;
  entry.mProven = entry.mProven || aRecord.mProven;
  for (const ObservedCrash& crash : aRecord.mCrashes) {
    changed = MergeCrash(entry, crash, isPart, aNow) || changed;
  }
  if (!changed) {
    return false;
  }
  UpdateVerdict(aRecord.mSubject, entry);
  MarkChanged(aRecord.mSubject, entry, aNow);
  return true;
}

void CrashLedger::UpdateVerdict(const std::string& aSubject, Entry& aEntry) {
  const bool bars = Bars(aSubject, aEntry);
  const bool isPart = IsPartSubject(aSubject);
  // A request also counts as barred before if crashes were excused before this
  // process knew enough of them.
  aEntry.mWasBarred =
      aEntry.mWasBarred || bars ||
      (!isPart && aEntry.mCrashes.size() >= mOptions.mCrashesToBar);
  const bool changed =
      bars ? mBarred.insert(aSubject).second : mBarred.erase(aSubject) > 0;
  if (isPart && changed) {
    mBarredParts += bars ? 1 : 0;
    mBarredParts -= bars ? 0 : 1;
  }
  mSuspectedParts -= aEntry.mIsSuspectedPart ? 1 : 0;
  aEntry.mIsSuspectedPart = isPart && CountUnexcused(aEntry) > 0;
  mSuspectedParts += aEntry.mIsSuspectedPart ? 1 : 0;
}

void CrashLedger::MarkChanged(const std::string& aSubject, Entry& aEntry,
                              Millis aNow) {
  mByRevision.erase(aEntry.mRevision);
  aEntry.mRevision = ++mRevision;
  aEntry.mLastAt = aNow;
  mByRevision[mRevision] = aSubject;
  if (aEntry.mWasBarred) {
    mBarredRevision = mRevision;
  }
  const bool isBarred = mBarred.contains(aSubject);
  const bool decides =
      !aEntry.mProven || !aEntry.mWasProven || isBarred != aEntry.mBarredBefore;
  if (decides || !IsPartSubject(aSubject)) {
    aEntry.mRouterRevision = mRevision;
  }
  aEntry.mWasProven = aEntry.mProven;
  aEntry.mBarredBefore = isBarred;
}

void CrashLedger::MarkOwnChange(const std::string& aSubject, Entry& aEntry,
                                Millis aNow) {
  MarkChanged(aSubject, aEntry, aNow);
  aEntry.mOwnRevision = aEntry.mRevision;
}

bool CrashLedger::Record(const CrashRecord& aRecord, Millis aNow) {
  if (!Merge(aRecord, aNow)) {
    return false;
  }
  Entry& entry = mEntries.at(aRecord.mSubject);
  entry.mOwnRevision = entry.mRevision;
  return true;
}

void CrashLedger::RecordCrash(const std::string& aDigest,
                              const std::string& aIncarnation, Millis aNow) {
  Record({.mSubject = aDigest, .mCrashes = {{.mIncarnation = aIncarnation}}},
         aNow);
}

void CrashLedger::Excuse(const std::string& aSubject, Millis aAnsweredAt,
                         Millis aNow) {
  const auto it = mEntries.find(aSubject);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  bool changed = false;
  for (auto& [incarnation, crash] : entry.mCrashes) {
    if (!crash.mExcused && crash.mAt < aAnsweredAt) {
      crash.mExcused = true;
      changed = true;
    }
  }
  if (!changed) {
    return;
  }
  entry.mProven = true;
  UpdateVerdict(aSubject, entry);
  MarkOwnChange(aSubject, entry, aNow);
}

bool CrashLedger::IsBarred(const std::string& aSubject) const {
  return mBarred.contains(aSubject);
}

std::size_t CrashLedger::UnexcusedCrashes(const std::string& aSubject) const {
  const auto it = mEntries.find(aSubject);
  return it == mEntries.end() ? 0 : CountUnexcused(it->second);
}

std::vector<OpenCrash> CrashLedger::OpenCrashes(
    const std::string& aSubject) const {
  const auto it = mEntries.find(aSubject);
  return it == mEntries.end() ? std::vector<OpenCrash>()
                              : OpenCrashesOf(it->second);
}

void CrashLedger::MarkProven(const std::string& aSubject, Millis aNow) {
  const auto it = mEntries.find(aSubject);
  if (it == mEntries.end() || it->second.mProven) {
    return;
  }
  it->second.mProven = true;
  MarkOwnChange(aSubject, it->second, aNow);
}

bool CrashLedger::IsProven(const std::string& aSubject) const {
  const auto it = mEntries.find(aSubject);
  return it != mEntries.end() && it->second.mProven;
}

bool CrashLedger::IsExplainedByOthers(
    const std::string& aSubject, std::span<const std::string> aPresent) const {
  const std::vector<OpenCrash> crashes = OpenCrashes(aSubject);
  return std::any_of(
      mBarred.begin(), mBarred.end(), [&](const std::string& aOther) {
        // Whole requests are no cause of the crashes of others.
        if (!IsPartSubject(aOther) || aOther == aSubject) {
          return false;
        }
        if (std::find(aPresent.begin(), aPresent.end(), aOther) !=
            aPresent.end()) {
          return false;
        }
        const std::map<std::string, Crash>& others =
            mEntries.at(aOther).mCrashes;
        return std::all_of(crashes.begin(), crashes.end(),
                           [&others](const OpenCrash& aCrash) {
                             const auto it = others.find(aCrash.mIncarnation);
                             return it != others.end() && !it->second.mExcused;
                           });
      });
}

bool CrashLedger::IsFor(CrashAudience aAudience, const std::string& aSubject,
                        const Entry& aEntry, std::int64_t aSince) const {
  switch (aAudience) {
    case CrashAudience::kControl:
      return true;
    case CrashAudience::kControlOfRouter:
      return aEntry.mOwnRevision > aSince;
    case CrashAudience::kRouter:
      return aEntry.mRouterRevision > aSince &&
             (aEntry.mWasBarred || IsPartSubject(aSubject));
    case CrashAudience::kDisk:
      return aEntry.mWasBarred;
  }
  return true;
}

CrashLedger::Changes CrashLedger::ChangesSince(std::int64_t aRevision,
                                               CrashAudience aAudience,
                                               std::size_t aMaxRecords,
                                               Millis aNow,
                                               Millis aMinAge) const {
  Changes changes{.mUpToRevision = mRevision};
  for (auto it = mByRevision.upper_bound(aRevision); it != mByRevision.end();
       it++) {
    const Entry& entry = mEntries.at(it->second);
    if (aMinAge > 0 && aNow - entry.mLastAt < aMinAge) {
      changes.mUpToRevision = it->first - 1;
      break;
    }
    if (!IsFor(aAudience, it->second, entry, aRevision)) {
      continue;
    }
    if (changes.mRecords.size() == aMaxRecords) {
      changes.mUpToRevision = it->first - 1;
      break;
    }
    CrashRecord record{.mSubject = it->second, .mProven = entry.mProven};
    for (const auto& [incarnation, crash] : entry.mCrashes) {
      record.mCrashes.push_back(
          {.mIncarnation = incarnation,
           .mAgo = std::max<Millis>(0, aNow - crash.mAt),
           .mExcused = crash.mExcused,
           .mRan = std::max<Millis>(0, crash.mAt - crash.mStartedAt),
           .mObserver = crash.mObserver});
    }
    changes.mRecords.push_back(std::move(record));
  }
  return changes;
}

void CrashLedger::Erase(std::map<std::string, Entry>::iterator aIt) {
  if (mBarred.erase(aIt->first) > 0 && IsPartSubject(aIt->first)) {
    mBarredParts--;
  }
  mSuspectedParts -= aIt->second.mIsSuspectedPart ? 1 : 0;
  mByRevision.erase(aIt->second.mRevision);
  mEntries.erase(aIt);
}

bool CrashLedger::MakeRoom() {
  if (mEntries.size() < mOptions.mMaxSubjects) {
    return true;
  }
  for (const auto& [revision, subject] : mByRevision) {
    if (!mBarred.contains(subject)) {
      Erase(mEntries.find(subject));
      return true;
    }
  }
  return false;
}

void CrashLedger::RemoveExpired(Millis aNow) {
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto next = std::next(it);
    const Millis retention = mBarred.contains(it->first)
                                 ? mOptions.mBarredRetention
                                 : mOptions.mSuspectRetention;
    if (aNow - it->second.mLastAt >= retention) {
      Erase(it);
    }
    it = next;
  }
}

}  // namespace spindleweir
