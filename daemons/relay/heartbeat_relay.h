/// Takes heartbeats of upstreams in place of control. Control is told of them
/// with this router's questions, and at once where an upstream leaves.
#pragma once

#include <string>

#include "daemons/relay/relay_context.h"
#include "daemons/relay/sync_link.h"
#include "spindleweir/daemons/beat_answer.h"

namespace spindleweir {

class HeartbeatRelay {
 public:
  HeartbeatRelay(RelayContext& aContext, SyncLink& aLink)
      : mContext(aContext), mLink(aLink) {}

  /// Throws kUnknownService: see UpstreamIntake.
  void ApplyHeartbeat(const UpstreamRecord& aRecord, const BeatDone& aDone);
  void ApplyLeave(const std::string& aInstance, const BeatDone& aDone,
                  std::int64_t aStart);

 private:
  /// Acknowledges once two controls know, or one does and no other answered in
  /// time: the one that knows may be lost right after.
  void NotifyControls(const UpstreamRecord& aRecord, const BeatDone& aDone);

  RelayContext& mContext;
  SyncLink& mLink;
};

}  // namespace spindleweir
