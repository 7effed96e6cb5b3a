/// Which router collects the heartbeats of an upstream in place of control.
#pragma once

#include <map>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// When a control delegates heartbeats to routers.
struct CollectorChoiceOptions {
  /// Heartbeats a second that a control collects itself; above this rate it
  /// assigns a router to each upstream that sends one. At 0.15 ms of a core
  /// each, 50 take 0.0075 of a core. 0: always assigns; below 0: never.
  int mMaxLocalHeartbeats = 50;
  /// A router that has not polled within this time is not assigned: with a lost
  /// router an upstream would wait a second before it calls control again. At
  /// 300 routers, each polls a control of another zone every 2 s.
  Millis mPollWindow = 2500;
};

/// The choice of one control. The caller passes the time in.
class CollectorChoice {
 public:
  explicit CollectorChoice(CollectorChoiceOptions aOptions)
      : mOptions(aOptions) {}

  /// A router polled. aCollectorAddress: where it collects heartbeats; empty:
  /// it collects none.
  void OnPolled(const std::string& aProcess, const std::string& aZone,
                const std::string& aCollectorAddress, Millis aNow);
  /// This control received a heartbeat. Returns the address for the next ones
  /// of the upstream, "IP:PORT"; empty: this control. An upstream keeps its
  /// router as long as that polls; the upstreams of a lost router spread over
  /// all others of the zone.
  std::string OnHeartbeat(const std::string& aInstance,
                          const std::string& aZone, Millis aNow);
  /// Whether routers collect heartbeats at present, so that heartbeats arrive
  /// by way of one more process.
  bool Delegates(Millis aNow) const;

 private:
  struct Collector {
    std::string mZone;
    std::string mAddress;
    Millis mPolledAt = 0;
  };

  /// Counts a heartbeat. Returns whether the rate is above the limit.
  bool ExceedsLocalRate(Millis aNow);

  CollectorChoiceOptions mOptions;
  std::map<std::string, Collector> mCollectors;  ///< By process.
  Millis mSecondStartedAt = 0;
  int mInSecond = 0;        ///< Heartbeats since mSecondStartedAt.
  int mInLastSecond = 0;    ///< Heartbeats in the second before.
  Millis mAssignedAt = -1;  ///< When a router was last assigned; -1: never.
};

}  // namespace spindleweir
