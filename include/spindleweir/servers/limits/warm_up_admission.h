/// Admits the requests that have waited for a router's warm-up: at which rate,
/// and in which order. The class only decides; the time is passed to each call.
#pragma once

#include <map>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Prompt tokens per millisecond that the engines read through all layers. It
/// is the rate of the layer whose engines together are slowest; 0 if a layer
/// has no engine.
double ReadingCapacity(const EngineProfile& aProfile,
                       const std::vector<const UpstreamRecord*>& aEngines);

/// A waiting request.
struct WarmUpRequest {
  Millis mReceivedAt = 0;
  Millis mTarget = 0;     ///< From receipt to the first event; 0: any time.
  Millis mWaitLimit = 0;  ///< From receipt until its caller leaves without one.
  int mPriority = 0;      ///< 0 is the most urgent.
  double mPromptTokens = 0;  ///< To be read before the first event.
};

enum class WarmUpVerdict {
  kAdmit,
  kWait,
  kRefuse,  ///< The caller would leave before the request's turn.
};

/// The decision about a request.
struct WarmUpDecision {
  WarmUpVerdict mVerdict = WarmUpVerdict::kAdmit;
  /// Time until the request's turn, as far as it can be told from what is
  /// waiting and being read; for kWait, until it should try again.
  Millis mAfter = 0;
  double mTokensAhead = 0;  ///< Prompt tokens of requests that go before it.
  double mShare = 0;        ///< This router's share in tokens per millisecond.
  int mWaiting = 0;         ///< Waiting requests, including this one.
};

/// The queue of one router for one service. While routers don't know each
/// other's load, each takes an equal share of what the engines read, and
/// assumes that the prompts it admits are read one after the other at that
/// rate. Requests that can still meet their target go before late ones; then
/// the order is by priority, and by the least time left.
class WarmUpAdmission {
 public:
  /// Sets the rate at which this router may have prompts read, in tokens per
  /// millisecond; 0: not known, and every request is admitted.
  void SetShare(double aTokensPerMilli) { mShare = aTokensPerMilli; }
  /// Asks for admission. aRequest: identifies the request, the same each time.
  WarmUpDecision TryAdmit(const void* aRequest, const WarmUpRequest& aFacts,
                          Millis aNow);
  /// Removes a waiting request.
  void Withdraw(const void* aRequest) { mWaiting.erase(aRequest); }

 private:
  bool GoesBefore(const WarmUpRequest& aLeft, const WarmUpRequest& aRight,
                  Millis aNow) const;
  bool MeetsTarget(const WarmUpRequest& aRequest, Millis aNow) const;

  double mShare = 0;
  std::map<const void*, WarmUpRequest> mWaiting;
  double mReadUntil = 0;  ///< When the admitted prompts have been read.
};

}  // namespace spindleweir
