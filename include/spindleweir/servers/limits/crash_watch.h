/// What one router sees of requests that upstreams crash under: who was under
/// way at an upstream whose connection broke, whether it had crashed, and which
/// requests completed.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "spindleweir/servers/limits/crash_ledger.h"

namespace spindleweir {

/// An attempt that was lost without an answer.
struct LostAttempt {
  std::string mInstance;
  std::int64_t mStart = 0;     ///< Of the incarnation.
  std::string mRequestDigest;  ///< See RequestDigest.
  Millis mStartedAt = 0;
  bool mDeliveredEvents = false;  ///< It had brought a part of its answer.
};

/// One per router. A lost connection is no crash: the attempt waits until
/// somebody has looked whether the upstream still takes connections.
class CrashWatch {
 public:
  explicit CrashWatch(CrashLedgerOptions aOptions = {}) : mLedger(aOptions) {}

  void OnAttemptLost(LostAttempt aAttempt, Millis aNow);
  /// Instances that have to be looked at.
  std::set<std::string> InstancesToProbe(Millis aNow);
  /// It takes connections: what was lost there was lost by another cause.
  void OnUpstreamAlive(const std::string& aInstance);
  /// It takes none, or started again. Returns the requests that may have
  /// caused it.
  std::vector<std::string> OnUpstreamCrashed(const std::string& aInstance,
                                             Millis aNow);
  /// A request came to its end.
  void OnRequestCompleted(const std::string& aDigest, Millis aNow);
  /// Takes what others know.
  void ApplyPeerRecord(const CrashRecord& aRecord, Millis aNow);
  bool IsBarred(const std::string& aDigest) const {
    return mLedger.IsBarred(aDigest);
  }
  /// Drops what has grown old.
  void RemoveExpired(Millis aNow);
  const CrashLedger& Ledger() const { return mLedger; }

 private:
  struct PendingProbe {
    std::vector<LostAttempt> mAttempts;
    Millis mSince = 0;
  };

  CrashLedger mLedger;
  std::map<std::string, PendingProbe> mPendingProbes;  ///< By instance.
  std::unordered_map<std::string, Millis> mCompletedAt;
  std::deque<std::string> mCompletedOrder;  ///< The oldest first.
};

}  // namespace spindleweir
