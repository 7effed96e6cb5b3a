/// Accepts heartbeats of upstreams in place of control. They are reported to
/// control with this router's polls, and at once if an upstream leaves.
#pragma once

#include <string>

#include "daemons/relay/relay_context.h"
#include "daemons/relay/sync_link.h"
#include "spindleweir/daemons/heartbeat_answer.h"

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
  /// Acknowledges once two controls know, or if one knows and no other answered
  /// in time. Two, because one may be lost right after its answer.
  void NotifyControls(const UpstreamRecord& aRecord,
                      const HeartbeatDone& aDone);

  RelayContext& mContext;
  SyncLink& mLink;
};

}  // namespace spindleweir
