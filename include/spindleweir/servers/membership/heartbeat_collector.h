/// Heartbeats that a router takes in place of control, and what of them a
/// control has not been told.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// What is told of heartbeats.
struct CollectedHeartbeats {
  std::vector<UpstreamRecord> mChanged;        ///< Whole: new or changed.
  std::vector<UpstreamHeartbeat> mHeartbeats;  ///< Of others: heard again.
  std::int64_t mNumber = 0;                    ///< For Acknowledge.
};

/// The heartbeats of one router. The load that it answers: 3,000 upstreams send
/// 2,500 heartbeats a second, and taking one costs a control 0.1 to 0.2 ms of
/// its 0.15 cores. Time comes with each call.
class HeartbeatCollector {
 public:
  /// Takes a heartbeat. Returns whether it says for the first time that the
  /// upstream leaves: control must know that before it is acknowledged.
  bool ApplyHeartbeat(const UpstreamRecord& aRecord, Millis aNow);
  /// The record of an upstream that leaves for good; nullptr: not known here,
  /// or in doubt: see UpstreamRegistry::ApplyLeave.
  const UpstreamRecord* ApplyLeave(const std::string& aInstance, Millis aNow,
                                   std::int64_t aStart = 0);

  /// What a control has not been told. aLife: its name, new at each start; one
  /// that was never told anything is told all.
  CollectedHeartbeats Unreported(const std::string& aLife, Millis aNow);
  /// What Unreported gave under a number has arrived there.
  void Acknowledge(const std::string& aLife, std::int64_t aNumber);

  std::size_t Size() const { return mItems.size(); }

 private:
  struct Item {
    UpstreamRecord mRecord;
    Millis mHeardAt = 0;
    Millis mFollowsAt = -1;     ///< It followed another then; -1: none known.
    std::int64_t mHeard = 0;    ///< Number of the newest heartbeat.
    std::int64_t mChanged = 0;  ///< Number of the newest with news.
  };

  void Forget(Millis aNow);

  std::map<std::string, Item> mItems;  ///< By instance.
  std::int64_t mNumber = 0;            ///< Of the newest heartbeat.
  std::string mToldLife;
  std::int64_t mTold = 0;
};

}  // namespace spindleweir
