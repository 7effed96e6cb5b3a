/// Heartbeats that a router collects in place of control, and the part of them
/// that a control has not acknowledged.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// A report of collected heartbeats.
struct CollectedHeartbeats {
  /// Full records of upstreams that are new or changed.
  std::vector<UpstreamRecord> mChanged;
  /// Of the others, those that sent another heartbeat.
  std::vector<UpstreamHeartbeat> mHeartbeats;
  std::int64_t mNumber = 0;  ///< To be passed to Acknowledge.
};

/// Collects the heartbeats that one router receives, to take load off control:
/// 3,000 upstreams send 2,500 heartbeats a second, and each costs a control 0.1
/// to 0.2 ms of its 0.15 cores. The caller passes the time in.
class HeartbeatCollector {
 public:
  /// Applies a heartbeat. Returns whether it is the first to say that the
  /// upstream leaves: control must know that before it is acknowledged.
  bool ApplyHeartbeat(const UpstreamRecord& aRecord, Millis aNow);
  /// Marks an upstream as gone and returns its record; nullptr if it is not
  /// known here, or in doubt (see UpstreamRegistry::ApplyLeave).
  const UpstreamRecord* ApplyLeave(const std::string& aInstance, Millis aNow,
                                   std::int64_t aStart = 0);

  /// What a control process has not acknowledged; all if this incarnation of it
  /// has acknowledged nothing. aIncarnation: its name, new at each start.
  CollectedHeartbeats Unreported(const std::string& aIncarnation, Millis aNow);
  /// The report that Unreported returned with this number has arrived.
  void Acknowledge(const std::string& aIncarnation, std::int64_t aNumber);

  std::size_t Size() const { return mItems.size(); }

 private:
  struct Item {
    UpstreamRecord mRecord;
    Millis mLastSeenAt = 0;
    /// When it replaced an earlier incarnation of its name; -1: none known.
    Millis mSucceededAt = -1;
    std::int64_t mHeartbeatNumber = 0;  ///< Of the newest heartbeat.
    std::int64_t mChangeNumber = 0;     ///< Of the newest one with a change.
  };

  void RemoveExpired(Millis aNow);

  std::map<std::string, Item> mItems;  ///< By instance.
  std::int64_t mNumber = 0;            ///< Of the newest heartbeat.
  /// The control process that acknowledged last, and the number.
  std::string mAcknowledgedBy;
  std::int64_t mAcknowledged = 0;
};

}  // namespace spindleweir
