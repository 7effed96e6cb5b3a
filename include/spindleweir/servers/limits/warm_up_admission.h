/// Lets in the requests that have waited for a router's start: how fast, and
/// which of them first. Decisions only: the time comes with each call.
#pragma once

#include <map>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Prompt tokens a millisecond that engines read through all layers: what the
/// layer reads that has the least engines, by their speed; 0 where one is
/// missing.
double ReadingCapacity(const EngineProfile& aProfile,
                       const std::vector<const UpstreamRecord*>& aEngines);

/// A request that waits.
struct WarmUpRequest {
  Millis mReceivedAt = 0;
  Millis mTarget = 0;        ///< From then to the first event; 0: any time.
  Millis mWaitLimit = 0;     ///< From then until its caller leaves without one.
  int mPriority = 0;         ///< 0 is the most urgent.
  double mPromptTokens = 0;  ///< To be read before the first event.
};

enum class WarmUpVerdict {
  kAdmit,
  kWait,
  kRefuse,  ///< Its caller would leave before its turn.
};

/// What becomes of a request that asked.
struct WarmUpDecision {
  WarmUpVerdict mVerdict = WarmUpVerdict::kAdmit;
  Millis mAfter = 0;        ///< Until its turn, by what waits and reads now.
  double mTokensAhead = 0;  ///< Tokens that go before it.
  double mShare = 0;        ///< Tokens a millisecond that are this router's.
  int mWaiting = 0;         ///< Requests that wait, with it.
};

/// The queue of one router for one service. While no router knows what the
/// others do, each takes an equal share of what the engines read; what it has
/// let in is read one after the other at that pace. A request whose target can
/// still be met goes before one that is late already, the least time left
/// first.
class WarmUpAdmission {
 public:
  /// What this router may have read, in tokens a millisecond; 0: not known,
  /// then nothing is held back.
  void SetShare(double aTokensPerMilli) { mShare = aTokensPerMilli; }
  /// aRequest: the same name each time it asks.
  WarmUpDecision TryAdmit(const void* aRequest, const WarmUpRequest& aFacts,
                          Millis aNow);
  /// It asks no more.
  void Withdraw(const void* aRequest) { mWaiting.erase(aRequest); }

 private:
  bool GoesBefore(const WarmUpRequest& aLeft, const WarmUpRequest& aRight,
                  Millis aNow) const;
  bool MeetsTarget(const WarmUpRequest& aRequest, Millis aNow) const;

  double mShare = 0;
  std::map<const void*, WarmUpRequest> mWaiting;
  double mReadUntil = 0;  ///< When what was let in is read.
};

}  // namespace spindleweir
