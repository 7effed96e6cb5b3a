/// Which requests upstreams crash under, counted over all routers, tries and
/// time. A request that crashes whatever begins to run it is barred after a few
/// crashes, under whatever id and at whichever router it comes again.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/upstream_check.h"

namespace spindleweir {

/// A crash under which one request was lost.
struct ObservedCrash {
  std::string mIncarnation;  ///< Of the upstream: see IncarnationName.
  Millis mAgo = 0;           ///< Milliseconds since it was seen.
  /// The request completed later: it was not the cause. Never taken back.
  bool mExcused = false;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("incarnation", mIncarnation);
    aCodec.Sparse("ago_ms", mAgo);
    aCodec.Sparse("excused", mExcused);
  }
};

/// What is known of one request, as processes tell it to one another. It only
/// grows, so that word may come late, twice and in any order.
struct CrashRecord {
  std::string mRequestDigest;  ///< See RequestDigest.
  std::vector<ObservedCrash> mCrashes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("content", mRequestDigest);
    aCodec.Required("crashes", mCrashes);
  }
};

/// One start of an upstream, as a text.
std::string IncarnationName(const std::string& aInstance, std::int64_t aStart);

/// Throws kBadHeartbeat where a record cannot be used.
void RequireUsable(const CrashRecord& aRecord);

/// Records in a message; one that cannot be used is left out.
std::vector<CrashRecord> ReadCrashes(const std::vector<Json::Value>& aRows,
                                     const BadRowHook& aOnBad);

/// When a request is barred, and how long what is known is kept.
struct CrashLedgerOptions {
  /// What is lost with a crash is mostly innocent and is tried again. Both
  /// attempts of a usual try may be lost with crashes by others, where these
  /// come one after the other: two prove little, a third after them much.
  std::size_t mCrashesToBar = 3;
  /// A request that comes back does so within its caller's patience; one that
  /// a person sends again, within minutes.
  Millis mSuspectRetention = 10 * 60 * 1000;
  Millis mBarredRetention = 60 * 60 * 1000;
  std::size_t mMaxRequests = 4096;  ///< Requests; each takes some 0.5 KB.
};

/// The records of one process, its own and others'.
class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerOptions aOptions = {}) : mOptions(aOptions) {}

  /// Takes what another process, or a disk, knows. Returns whether it was new.
  bool Merge(const CrashRecord& aRecord, Millis aNow);
  /// A request was under way at an incarnation that crashed.
  void RecordCrash(const std::string& aDigest, const std::string& aIncarnation,
                   Millis aNow);
  /// A request completed: it caused none of the crashes seen before. Those of
  /// later count, whatever it did earlier: a new version may crash under it.
  void Excuse(const std::string& aDigest, Millis aCompletedAt, Millis aNow);
  bool IsBarred(const std::string& aDigest) const;
  bool HasBarredRequests() const { return mBarred > 0; }
  std::size_t BarredRequests() const { return mBarred; }
  /// Crashes of a request that it did not survive.
  std::size_t UnexcusedCrashes(const std::string& aDigest) const;

  /// Rises with each change.
  std::int64_t Revision() const { return mRevision; }
  /// Rises with each change of what bars, or barred, a request.
  std::int64_t BarredRevision() const { return mBarredRevision; }
  /// Records that changed after a revision, the oldest change first.
  struct Changes {
    std::vector<CrashRecord> mRecords;
    std::int64_t mUpToRevision = 0;  ///< The revision that is known with them.
  };
  /// aBarredOnly: without requests that were never barred.
  Changes ChangesSince(std::int64_t aRevision, bool aBarredOnly,
                       std::size_t aMaxRecords, Millis aNow) const;
  /// Drops what has grown old.
  void RemoveExpired(Millis aNow);

 private:
  struct Crash {
    Millis mAt = 0;
    bool mExcused = false;
  };

  struct Entry {
    std::map<std::string, Crash> mCrashes;  ///< By incarnation.
    Millis mLastAt = 0;
    std::int64_t mRevision = 0;
  };

  static std::size_t CountUnexcused(const Entry& aEntry);
  /// Takes one crash; false: nothing new.
  static bool MergeCrash(Entry& aEntry, const ObservedCrash& aCrash,
                         Millis aNow);
  bool Bars(const Entry& aEntry) const {
    return CountUnexcused(aEntry) >= mOptions.mCrashesToBar;
  }
  /// Whether it bars, or once did.
  bool WasEverBarred(const Entry& aEntry) const {
    return aEntry.mCrashes.size() >= mOptions.mCrashesToBar;
  }
  void MarkChanged(const std::string& aDigest, Entry& aEntry, Millis aNow);
  /// Makes room for one more; false: all that are kept bar a request.
  bool MakeRoom();
  void Erase(std::map<std::string, Entry>::iterator aIt);

  CrashLedgerOptions mOptions;
  std::map<std::string, Entry> mEntries;            ///< By digest.
  std::map<std::int64_t, std::string> mByRevision;  ///< Contents.
  std::int64_t mRevision = 0;
  std::int64_t mBarredRevision = 0;
  std::size_t mBarred = 0;
};

}  // namespace spindleweir
