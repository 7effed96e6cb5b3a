/// Attributes crashes of upstreams to requests, as one router observes them:
/// which attempts were running at an upstream whose connection broke, whether
/// the upstream had crashed, and which requests completed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/servers/limits/crash_ledger.h"
#include "spindleweir/servers/limits/part_watch.h"
#include "spindleweir/servers/limits/recent_times.h"

namespace spindleweir {

/// An attempt whose connection was lost before its answer was complete.
struct LostAttempt {
  std::string mInstance;
  std::int64_t mStart = 0;     ///< Of the upstream's incarnation.
  std::string mRequestDigest;  ///< See RequestDigest.
  Millis mStartedAt = 0;
  bool mDeliveredEvents = false;  ///< Part of its answer had arrived.
  /// Parts of its prompt that may have crashed the upstream: see PartSubjects.
  std::vector<std::string> mParts;
};

/// The subjects that may have caused a crash.
struct CrashSuspects {
  std::vector<std::string> mRequests;  ///< Digests.
  std::vector<std::string> mParts;
};

/// One per router. A lost connection alone is not counted as a crash: the
/// attempt is stored until a probe has shown whether the upstream still accepts
/// connections.
class CrashWatch {
 public:
  /// aObserver: the name of this router in crash records.
  explicit CrashWatch(std::string aObserver = "",
                      CrashLedgerOptions aOptions = {});
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  void OnAttemptLost(LostAttempt aAttempt, Millis aNow);
  /// Instances with lost attempts that have yet to be probed.
  std::set<std::string> InstancesToProbe(Millis aNow);
  /// The upstream accepts connections, so its attempts were lost for another
  /// reason than a crash.
  void OnUpstreamAlive(const std::string& aInstance);
  /// The upstream accepts no connections, or has restarted. Returns what may
  /// have caused the crash; empty if no attempt was lost with it.
  CrashSuspects OnUpstreamCrashed(const std::string& aInstance, Millis aNow);
  void OnRequestCompleted(const std::string& aDigest, Millis aNow);
  /// Merges a record of another process.
  void ApplyPeerRecord(const CrashRecord& aRecord, Millis aNow);
  /// Whether a request must not be run, by its digest. aParts: of its prompt.
  bool IsBarred(const std::string& aDigest,
                std::span<const std::string> aParts) const;
  PartWatch& Parts() { return mParts; }
  const PartWatch& Parts() const { return mParts; }
  /// Removes records whose retention has passed.
  void RemoveExpired(Millis aNow);
  const CrashLedger& Ledger() const { return mLedger; }

 private:
  struct PendingProbe {
    std::vector<LostAttempt> mAttempts;
    std::set<std::string> mParts;  ///< Of all these attempts.
    Millis mSince = 0;             ///< When the first of them was lost.
  };

  /// Whether an attempt with the part was lost a moment ago, at an upstream
  /// that is being probed.
  bool IsPending(const std::string& aPart, Millis aNow) const;
  /// The parts of these attempts, those first that were never answered.
  std::vector<std::string> SuspectedParts(
      std::span<const LostAttempt> aAttempts) const;
  /// Counts the crash against a part. aStartedAt: of the attempt with the part
  /// that began last.
  void RecordPartCrash(const std::string& aPart,
                       const std::string& aIncarnation, Millis aStartedAt,
                       Millis aCrashedAt, Millis aNow);

  CrashLedger mLedger;
  PartWatch mParts;
  std::map<std::string, PendingProbe> mPendingProbes;  ///< By instance.
  RecentTimes mCompletedAt;                            ///< By digest.
};

}  // namespace spindleweir
