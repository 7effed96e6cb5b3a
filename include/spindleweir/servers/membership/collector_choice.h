/// Which router takes the heartbeats of an upstream in place of control.
#pragma once

#include <map>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// When a control hands heartbeats on.
struct CollectorChoiceOptions {
  /// Heartbeats a second that a control takes itself; with more it names a
  /// router for the later ones. At 0.15 ms of a core each, 50 are 0.0075 of
  /// one. 0: names one always; below 0: never.
  int mMaxLocalHeartbeats = 50;
  /// A router that did not ask for so long is not named: one that is lost
  /// would cost its upstreams a second until they call control again. Those
  /// that ask a control of another zone do so each 2 s at 300 routers.
  Millis mPollWindow = 2500;
};

/// The choice of one control. Time comes with each call.
class CollectorChoice {
 public:
  explicit CollectorChoice(CollectorChoiceOptions aOptions)
      : mOptions(aOptions) {}

  /// A router asked that takes heartbeats at an address; empty: it takes none.
  void OnPolled(const std::string& aProcess, const std::string& aZone,
                const std::string& aTakesAt, Millis aNow);
  /// This control took a heartbeat. Returns the address for the later ones of
  /// this upstream, "IP:PORT"; empty: here. The same upstream gets the same
  /// router as long as that asks, and the upstreams of a lost one spread over
  /// all others of the zone.
  std::string OnHeartbeat(const std::string& aInstance,
                          const std::string& aZone, Millis aNow);
  /// Whether routers take heartbeats at present, so that what is heard has come
  /// over one process more.
  bool Delegates(Millis aNow) const;

 private:
  struct Taker {
    std::string mZone;
    std::string mAddress;
    Millis mAskedAt = 0;
  };

  bool HasMany(Millis aNow);

  CollectorChoiceOptions mOptions;
  std::map<std::string, Taker> mTakers;  ///< By process.
  Millis mSecondBegan = 0;
  int mInSecond = 0;      ///< Heartbeats since then.
  int mInLastSecond = 0;  ///< In the second before.
  Millis mNamedAt = -1;   ///< When a router was named last.
};

}  // namespace spindleweir
