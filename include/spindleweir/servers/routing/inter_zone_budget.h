/// How much of the pipe between zones a router may use for paths that go over
/// from one zone to another midway.
#pragma once

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// How the pipe is shared.
struct InterZoneBudgetOptions {
  /// The part of the pipe that all routers together may fill: near its limit
  /// each token of each request waits for the prompts of others.
  double mShare = 0.7;
  Millis mBurst = 1000;  ///< What was left unused so long may be used at once.
};

/// Bits that come in with time and go out with requests. A request larger than
/// what is there is let through while anything is, and the debt is waited out.
class InterZoneBudget {
 public:
  explicit InterZoneBudget(InterZoneBudgetOptions aOptions)
      : mOptions(aOptions) {}

  /// Whether a path may go over now; aRouters share the pipe.
  bool Allows(const EngineProfile& aProfile, int aRouters, Millis aNow);
  /// A path goes over aCrossings times with so many tokens in all.
  void Spend(const EngineProfile& aProfile, double aTokens, int aCrossings);

 private:
  InterZoneBudgetOptions mOptions;
  double mBits = 0;
  Millis mRefilledAt = -1;
};

}  // namespace spindleweir
