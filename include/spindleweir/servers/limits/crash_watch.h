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
  std::int64_t mStart = 0;  ///< Of the incarnation.
  std::string mContent;     ///< See RequestContent.
  Millis mBegunAt = 0;
  bool mHadEvents = false;  ///< It had brought a part of its answer.
};

/// One per router. A lost connection is no crash: the attempt waits until
/// somebody has looked whether the upstream still takes connections.
class CrashWatch {
 public:
  explicit CrashWatch(CrashLedgerOptions aOptions = {}) : mLedger(aOptions) {}

  void Lost(LostAttempt aAttempt, Millis aNow);
  /// Instances that have to be looked at.
  std::set<std::string> Unsettled(Millis aNow);
  /// It takes connections: what was lost there was lost by another cause.
  void StillThere(const std::string& aInstance);
  /// It takes none, or started again. Returns the requests that may have
  /// caused it.
  std::vector<std::string> Ended(const std::string& aInstance, Millis aNow);
  /// A request came to its end.
  void Completed(const std::string& aContent, Millis aNow);
  /// Takes what others know.
  void Take(const CrashRecord& aRecord, Millis aNow);
  bool IsBarred(const std::string& aContent) const {
    return mLedger.IsBarred(aContent);
  }
  /// Drops what has grown old.
  void Forget(Millis aNow);
  const CrashLedger& Ledger() const { return mLedger; }

 private:
  struct Unclear {
    std::vector<LostAttempt> mAttempts;
    Millis mSince = 0;
  };

  CrashLedger mLedger;
  std::map<std::string, Unclear> mUnclear;  ///< By instance.
  std::unordered_map<std::string, Millis> mCompletedAt;
  std::deque<std::string> mCompletedOrder;  ///< The oldest first.
};

}  // namespace spindleweir
