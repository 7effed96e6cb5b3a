/// Accepts heartbeats of upstreams in place of control. They are reported to
/// control with this router's polls, and at once if an upstream leaves.
#pragma once

#include <string>

#include "daemons/relay/relay_context.h"
#include "daemons/relay/sync_link.h"
#include "spindleweir/daemons/heartbeat_answer.h"
#include "spindleweir/servers/membership/leave_copies.h"

namespace spindleweir {

class HeartbeatRelay {
 public:
  HeartbeatRelay(RelayContext& aContext, SyncLink& aLink)
      : mContext(aContext), mLink(aLink) {}

  /// Throws kUnknownService under the same conditions as UpstreamIntake.
  void ApplyHeartbeat(const UpstreamRecord& aRecord,
                      const HeartbeatDone& aDone);
  void ApplyLeave(const std::string& aInstance, const HeartbeatDone& aDone,
                  std::int64_t aStart);

 private:
  /// Acknowledges a leave once controls have it on enough disks: a router has
  /// none itself.
  void AcknowledgeLeave(const UpstreamRecord& aRecord,
                        const HeartbeatDone& aDone);
  /// aDone: whether it is on enough disks.
  void NotifyControls(const UpstreamRecord& aRecord,
                      LeaveCopies::DoneHook aDone);

  RelayContext& mContext;
  SyncLink& mLink;
  AcknowledgedLeaves mAcknowledged;
};

}  // namespace spindleweir
