/// Attributes crashes of upstreams to requests, as one router observes them:
/// which attempts were running at an upstream whose connection broke, whether
/// the upstream had crashed, and which requests completed.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "spindleweir/servers/limits/crash_ledger.h"

namespace spindleweir {

/// An attempt whose connection was lost before its answer was complete.
struct LostAttempt {
  std::string mInstance;
  std::int64_t mStart = 0;     ///< Of the upstream's incarnation.
  std::string mRequestDigest;  ///< See RequestDigest.
  Millis mStartedAt = 0;
  bool mDeliveredEvents = false;  ///< Part of its answer had arrived.
};

/// One per router. A lost connection alone is not counted as a crash: the
/// attempt is stored until a probe has shown whether the upstream still accepts
/// connections.
class CrashWatch {
 public:
  explicit CrashWatch(CrashLedgerOptions aOptions = {}) : mLedger(aOptions) {}

  void OnAttemptLost(LostAttempt aAttempt, Millis aNow);
  /// Instances with lost attempts that have yet to be probed.
  std::set<std::string> InstancesToProbe(Millis aNow);
  /// The upstream accepts connections, so its attempts were lost for another
  /// reason than a crash.
  void OnUpstreamAlive(const std::string& aInstance);
  /// The upstream accepts no connections, or has restarted. Returns the digests
  /// of the requests that may have caused the crash.
  std::vector<std::string> OnUpstreamCrashed(const std::string& aInstance,
                                             Millis aNow);
  void OnRequestCompleted(const std::string& aDigest, Millis aNow);
  /// Merges a record of another process.
  void ApplyPeerRecord(const CrashRecord& aRecord, Millis aNow);
  bool IsBarred(const std::string& aDigest) const {
    return mLedger.IsBarred(aDigest);
  }
  /// Removes records whose retention has passed.
  void RemoveExpired(Millis aNow);
  const CrashLedger& Ledger() const { return mLedger; }

 private:
  struct PendingProbe {
    std::vector<LostAttempt> mAttempts;
    Millis mSince = 0;  ///< When the first of them was lost.
  };

  CrashLedger mLedger;
  std::map<std::string, PendingProbe> mPendingProbes;  ///< By instance.
  std::unordered_map<std::string, Millis> mCompletedAt;
  std::deque<std::string> mCompletedOrder;  ///< The oldest first.
};

}  // namespace spindleweir
