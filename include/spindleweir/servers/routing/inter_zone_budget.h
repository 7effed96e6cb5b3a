/// Limits how much of the bandwidth between zones a router uses for paths with
/// stages in more than one zone.
#pragma once

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// How the bandwidth between zones is shared.
struct InterZoneBudgetOptions {
  /// Share of the bandwidth that all routers together may use. Near the limit,
  /// each token of each request waits for the prompts of other requests.
  double mShare = 0.7;
  /// Unused bandwidth of this duration may be used at once.
  Millis mBurst = 1000;
  /// Of this process; -1: long ago. A process that starts has saved nothing,
  /// since the process before may just have used it.
  Millis mStartedAt = -1;
};

/// Token bucket of bits. A request that needs more than the balance is admitted
/// while the balance is positive; the balance may become negative, and further
/// requests wait until it has recovered.
class InterZoneBudget {
 public:
  explicit InterZoneBudget(InterZoneBudgetOptions aOptions)
      : mOptions(aOptions) {}

  /// Whether a path may cross zones now. aRouters: number of routers that share
  /// the bandwidth.
  bool Allows(const EngineProfile& aProfile, int aRouters, Millis aNow);
  /// Subtracts the bits of a path that crosses zones aCrossings times with
  /// aTokens tokens in total.
  void Spend(const EngineProfile& aProfile, double aTokens, int aCrossings);

 private:
  InterZoneBudgetOptions mOptions;
  double mBits = 0;
  Millis mRefilledAt = -1;  ///< -1: not since the start.
};

}  // namespace spindleweir
