/// The part of a control process that maintains the registry of upstreams: it
/// applies heartbeats and the reports of other processes, and answers each
/// poller with the changes that it lacks.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemons/control/control_context.h"
#include "daemons/control/upstream_store.h"
#include "spindleweir/daemons/heartbeat_answer.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/membership/collector_choice.h"
#include "spindleweir/servers/membership/reporter_feeds.h"

namespace spindleweir {

/// Receives the state of upstreams from upstreams, routers and other controls.
class UpstreamIntake {
 public:
  /// Whether the configuration in force has a service, or there is none yet.
  using ServiceHook = std::function<bool(const std::string& aService)>;

  /// aDirectory: the controls that are notified at once of upstreams that
  /// leave. aRestores: the list on disk is new enough to be used.
  UpstreamIntake(ControlContext& aContext, const ControlDirectory& aDirectory,
                 ServiceHook aKnowsService, bool aRestores);

  /// Applies a heartbeat. aDone is called once it may be acknowledged: for an
  /// upstream that starts to leave, after another control has confirmed the
  /// notice or kNotifyTimeout has passed, so that the leave is not lost with
  /// this process. Throws kUnknownService if the upstream is new here, is not
  /// leaving, and its service is unknown.
  void OnHeartbeat(const UpstreamRecord& aRecord, const HeartbeatDone& aDone);
  /// Marks an upstream as gone, and calls aDone as OnHeartbeat() does; a leave
  /// in doubt is not acknowledged. aStart: start of the incarnation that
  /// leaves; 0: not stated.
  void ApplyLeave(const std::string& aInstance, const HeartbeatDone& aDone,
                  std::int64_t aStart = 0);

  /// A router polled: applies the heartbeats that it collected, and records
  /// where it collects them, if it does.
  void OnPolled(const SyncRequest& aRequest);
  /// Applies the upstreams and heartbeats of another control's answer.
  void ApplyAnswer(const SyncAnswer& aAnswer);
  /// Adds the changes of the registry that the poller lacks. aIncarnation: the
  /// incarnation of this process.
  void Answer(const SyncRequest& aRequest, const std::string& aIncarnation,
              SyncAnswer& aAnswer);
  /// Marks upstreams as silent that were not seen for SilenceTimeout().
  void Expire();
  /// Stores the upstreams that are ready on disk.
  void Save();

  UpstreamRegistry& Registry() { return mRegistry; }
  const UpstreamRegistry& Registry() const { return mRegistry; }

 private:
  /// Loads the upstreams that are stored on disk.
  void Restore();
  void OnNotice(const UpstreamNotice& aNotice);
  /// Sends the record of an upstream that leaves to the other controls. Calls
  /// aDone on the first confirmation, at once if there is no other control, or
  /// after kNotifyTimeout.
  void NotifyControls(const std::string& aInstance, const HeartbeatDone& aDone);
  /// Time without a heartbeat after which an upstream counts as silent.
  Millis SilenceTimeout() const;

  ControlContext& mContext;
  const ControlDirectory& mDirectory;
  ServiceHook mKnowsService;
  UpstreamRegistry mRegistry;
  UpstreamStore mStore;
  CollectorChoice mCollectorChoice;
  UpstreamFeed mFeed{UpstreamFeedOptions{}};  ///< All changes.
  ReporterFeeds mReporterFeeds;               ///< For other controls.
};

}  // namespace spindleweir
