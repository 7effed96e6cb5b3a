/// Counts the crashes of upstreams per subject, over all routers, attempts and
/// time. A subject is a whole request, by its digest, or a part of prompts. One
/// that crashes every upstream that runs it is barred after a few crashes,
/// whatever request id it has and whichever router receives it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/limits/crash_record.h"

namespace spindleweir {

/// Which records a receiver needs.
enum class CrashAudience {
  kControl,  ///< All.
  /// What this process has seen itself. If routers sent back what control told
  /// them, a burst of crashes would take controls more time than they have.
  kControlOfRouter,
  /// Requests that are or were barred, and parts as long as they were never
  /// answered or their verdict changes.
  kRouter,
  kDisk,  ///< Subjects that are or were barred.
};

/// When a subject is barred, and for how long records are stored.
struct CrashLedgerOptions {
  /// Most requests lost with a crash did not cause it and are retried. Both
  /// attempts of an ordinary request may be lost with crashes that other
  /// requests cause shortly after each other, so two crashes prove little; a
  /// third one after them is strong evidence.
  std::size_t mCrashesToBar = 3;
  /// A part is in many requests, of which several are lost with most crashes:
  /// only crashes that followed each other count.
  std::size_t mRoundsToBarPart = 3;
  /// A retried request returns within its caller's wait limit; one that a
  /// person sends again returns within minutes.
  Millis mSuspectRetention = 10 * 60 * 1000;
  Millis mBarredRetention = 60 * 60 * 1000;
  std::size_t mMaxSubjects = 4096;  ///< Each takes about 0.5 KB.
};

/// The records of one process: those that it observed itself and those that it
/// received from other processes.
class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerOptions aOptions = {}) : mOptions(aOptions) {}

  /// Merges a record from another process or from disk. Returns whether
  /// anything in it was new.
  bool Merge(const CrashRecord& aRecord, Millis aNow);
  /// Merges what this process has seen itself.
  bool Record(const CrashRecord& aRecord, Millis aNow);
  /// Counts a crash of an incarnation that was running the request.
  void RecordCrash(const std::string& aDigest, const std::string& aIncarnation,
                   Millis aNow);
  /// The subject was answered, so it caused none of the crashes observed before
  /// aAnsweredAt. Later crashes count all the same: a new version of the
  /// upstream may crash on a request that an earlier one answered.
  void Excuse(const std::string& aSubject, Millis aAnsweredAt, Millis aNow);
  bool IsBarred(const std::string& aSubject) const;
  bool HasBarredRequests() const { return BarredRequests() > 0; }
  std::size_t BarredRequests() const { return mBarred.size() - mBarredParts; }
  std::size_t BarredParts() const { return mBarredParts; }
  /// Parts with a crash that is not excused.
  std::size_t SuspectedParts() const { return mSuspectedParts; }
  /// Number of crashes of a subject that are not excused.
  std::size_t UnexcusedCrashes(const std::string& aSubject) const;
  /// These crashes, the earliest first.
  std::vector<OpenCrash> OpenCrashes(const std::string& aSubject) const;
  /// Records that the subject was answered, be it before the crashes known of
  /// it; without any crash nothing is recorded.
  void MarkProven(const std::string& aSubject, Millis aNow);
  /// Whether any process has seen the subject answered.
  bool IsProven(const std::string& aSubject) const;
  /// Whether each crash of a barred subject is also one of a barred subject
  /// that aPresent does not list, which may then be the only cause.
  bool IsExplainedByOthers(const std::string& aSubject,
                           std::span<const std::string> aPresent) const;

  /// Rises with each change.
  std::int64_t Revision() const { return mRevision; }
  /// The revision of the last change to a subject that is or was barred.
  std::int64_t BarredRevision() const { return mBarredRevision; }
  /// Records that changed after a given revision, the oldest change first.
  struct Changes {
    std::vector<CrashRecord> mRecords;
    /// The revision up to which the receiver is current after applying them.
    std::int64_t mUpToRevision = 0;
  };
  /// aMinAge: leaves out what changed within this time; it follows later.
  Changes ChangesSince(std::int64_t aRevision, CrashAudience aAudience,
                       std::size_t aMaxRecords, Millis aNow,
                       Millis aMinAge = 0) const;
  /// Removes records whose retention has passed.
  void RemoveExpired(Millis aNow);

 private:
  struct Crash {
    Millis mAt = 0;
    bool mExcused = false;
    Millis mStartedAt = 0;  ///< Of the attempt that began last.
    std::string mObserver;
  };

  struct Entry {
    std::map<std::string, Crash> mCrashes;  ///< By incarnation.
    Millis mLastAt = 0;                     ///< Time of the last change.
    std::int64_t mRevision = 0;             ///< Of the last change.
    /// Of the last change by what this process has seen itself.
    std::int64_t mOwnRevision = 0;
    /// Of the last change that routers need.
    std::int64_t mRouterRevision = 0;
    bool mWasBarred = false;
    bool mProven = false;
    bool mIsSuspectedPart = false;
    /// As of the last change: whether it was proven, and barred.
    bool mWasProven = false;
    bool mBarredBefore = false;
  };

  static std::size_t CountUnexcused(const Entry& aEntry);
  static std::vector<OpenCrash> OpenCrashesOf(const Entry& aEntry);
  /// Merges one crash. Returns whether it changed the entry.
  static bool MergeCrash(Entry& aEntry, const ObservedCrash& aCrash,
                         bool aIsPart, Millis aNow);
  /// Adds a crash to a full entry of a part if it is one more round, in place
  /// of one that is none.
  static bool AddRound(Entry& aEntry, const std::string& aIncarnation,
                       const Crash& aCrash);
  bool Bars(const std::string& aSubject, const Entry& aEntry) const;
  bool IsFor(CrashAudience aAudience, const std::string& aSubject,
             const Entry& aEntry, std::int64_t aSince) const;
  void MarkChanged(const std::string& aSubject, Entry& aEntry, Millis aNow);
  /// The same, by what this process has seen itself.
  void MarkOwnChange(const std::string& aSubject, Entry& aEntry, Millis aNow);
  /// Updates whether the subject is barred or suspected.
  void UpdateVerdict(const std::string& aSubject, Entry& aEntry);
  /// Makes room for one more entry by removing the one that has been unchanged
  /// longest among those that bar nothing. Returns false if there is none.
  bool MakeRoom();
  void Erase(std::map<std::string, Entry>::iterator aIt);

  CrashLedgerOptions mOptions;
  std::map<std::string, Entry> mEntries;            ///< By subject.
  std::map<std::int64_t, std::string> mByRevision;  ///< Subjects.
  std::int64_t mRevision = 0;
  std::int64_t mBarredRevision = 0;
  std::set<std::string> mBarred;  ///< Subjects.
  std::size_t mBarredParts = 0;
  std::size_t mSuspectedParts = 0;
};

}  // namespace spindleweir
