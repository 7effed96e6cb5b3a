/// Counts the crashes of upstreams per request, over all routers, attempts and
/// time. A request that crashes every upstream that runs it is barred after a
/// few crashes, whatever request id it has and whichever router receives it.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/upstream_check.h"

namespace spindleweir {

/// A crash of an upstream with which a given request was lost.
struct ObservedCrash {
  std::string mIncarnation;  ///< Of the upstream: see IncarnationName.
  Millis mAgo = 0;           ///< Milliseconds since the crash was observed.
  /// The request completed later, so it did not cause the crash. Once set, the
  /// flag is never cleared.
  bool mExcused = false;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("incarnation", mIncarnation);
    aCodec.Sparse("ago_ms", mAgo);
    aCodec.Sparse("excused", mExcused);
  }
};

/// What is known of one request, as processes exchange it. Records only grow,
/// so they may arrive late, twice and in any order.
struct CrashRecord {
  std::string mRequestDigest;  ///< See RequestDigest.
  std::vector<ObservedCrash> mCrashes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("content", mRequestDigest);
    aCodec.Required("crashes", mCrashes);
  }
};

/// Identifies one start of an upstream: instance and start number.
std::string IncarnationName(const std::string& aInstance, std::int64_t aStart);

/// Throws kBadHeartbeat if the digest, an incarnation, an age or the number of
/// crashes is out of range.
void RequireUsable(const CrashRecord& aRecord);

/// Parses the records of a message. Invalid ones are left out and passed to
/// aOnBad.
std::vector<CrashRecord> ReadCrashes(const std::vector<Json::Value>& aRows,
                                     const InvalidRowHook& aOnBad);

/// When a request is barred, and for how long records are stored.
struct CrashLedgerOptions {
  /// Most requests lost with a crash did not cause it and are retried. Both
  /// attempts of an ordinary request may be lost with crashes that other
  /// requests cause shortly after each other, so two crashes prove little; a
  /// third one after them is strong evidence.
  std::size_t mCrashesToBar = 3;
  /// A retried request returns within its caller's wait limit; one that a
  /// person sends again returns within minutes.
  Millis mSuspectRetention = 10 * 60 * 1000;
  Millis mBarredRetention = 60 * 60 * 1000;
  std::size_t mMaxRequests = 4096;  ///< Each takes about 0.5 KB.
};

/// The records of one process: those that it observed itself and those that it
/// received from other processes.
class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerOptions aOptions = {}) : mOptions(aOptions) {}

  /// Merges a record from another process or from disk. Returns whether
  /// anything in it was new.
  bool Merge(const CrashRecord& aRecord, Millis aNow);
  /// Counts a crash of an incarnation that was running the request.
  void RecordCrash(const std::string& aDigest, const std::string& aIncarnation,
                   Millis aNow);
  /// The request completed, so it caused none of the crashes observed before
  /// aCompletedAt. Later crashes count all the same: a new version of the
  /// upstream may crash on a request that an earlier one completed.
  void Excuse(const std::string& aDigest, Millis aCompletedAt, Millis aNow);
  bool IsBarred(const std::string& aDigest) const;
  bool HasBarredRequests() const { return mBarred > 0; }
  std::size_t BarredRequests() const { return mBarred; }
  /// Number of crashes of a request that are not excused.
  std::size_t UnexcusedCrashes(const std::string& aDigest) const;

  /// Rises with each change.
  std::int64_t Revision() const { return mRevision; }
  /// The revision of the last change to a request that is or was barred.
  std::int64_t BarredRevision() const { return mBarredRevision; }
  /// Records that changed after a given revision, the oldest change first.
  struct Changes {
    std::vector<CrashRecord> mRecords;
    /// The revision up to which the receiver is current after applying them.
    std::int64_t mUpToRevision = 0;
  };
  /// aBarredOnly: leaves out requests that were never barred.
  Changes ChangesSince(std::int64_t aRevision, bool aBarredOnly,
                       std::size_t aMaxRecords, Millis aNow) const;
  /// Removes records whose retention has passed.
  void RemoveExpired(Millis aNow);

 private:
  struct Crash {
    Millis mAt = 0;
    bool mExcused = false;
  };

  struct Entry {
    std::map<std::string, Crash> mCrashes;  ///< By incarnation.
    Millis mLastAt = 0;                     ///< Time of the last change.
    std::int64_t mRevision = 0;             ///< Of the last change.
  };

  static std::size_t CountUnexcused(const Entry& aEntry);
  /// Merges one crash. Returns whether it changed the entry.
  static bool MergeCrash(Entry& aEntry, const ObservedCrash& aCrash,
                         Millis aNow);
  bool Bars(const Entry& aEntry) const {
    return CountUnexcused(aEntry) >= mOptions.mCrashesToBar;
  }
  /// Whether the entry bars its request now or did so before crashes were
  /// excused.
  bool WasEverBarred(const Entry& aEntry) const {
    return aEntry.mCrashes.size() >= mOptions.mCrashesToBar;
  }
  void MarkChanged(const std::string& aDigest, Entry& aEntry, Millis aNow);
  /// Makes room for one more entry by removing the one that has been unchanged
  /// longest among those that bar no request. Returns false if there is none.
  bool MakeRoom();
  void Erase(std::map<std::string, Entry>::iterator aIt);

  CrashLedgerOptions mOptions;
  std::map<std::string, Entry> mEntries;            ///< By request digest.
  std::map<std::int64_t, std::string> mByRevision;  ///< Request digests.
  std::int64_t mRevision = 0;
  std::int64_t mBarredRevision = 0;
  std::size_t mBarred = 0;
};

}  // namespace spindleweir
