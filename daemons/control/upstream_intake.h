/// The part of a control process that maintains the registry of upstreams: it
/// applies heartbeats and the reports of other processes, and answers each
/// poller with the changes that it lacks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemons/control/control_context.h"
#include "daemons/control/leave_store.h"
#include "daemons/control/upstream_store.h"
#include "spindleweir/daemons/heartbeat_answer.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/membership/collector_choice.h"
#include "spindleweir/servers/membership/leave_copies.h"
#include "spindleweir/servers/membership/reporter_feeds.h"

namespace spindleweir {

/// What the intake asks about the rest of the control.
struct UpstreamIntakeHooks {
  /// Whether the configuration in force has a service, or there is none yet.
  std::function<bool(const std::string& aService)> mKnowsService;
  /// Number of voters of the replicated log; 0: unknown.
  std::function<int()> mVoters;
};

/// Receives the state of upstreams from upstreams, routers and other controls.
class UpstreamIntake {
 public:
  /// aDirectory: the controls that are notified at once of upstreams that
  /// leave. aRestores: the list on disk is new enough to be used.
  UpstreamIntake(ControlContext& aContext, const ControlDirectory& aDirectory,
                 UpstreamIntakeHooks aHooks, bool aRestores);

  /// Applies a heartbeat. aDone is called once it may be acknowledged: for an
  /// upstream that leaves, once more than half of the voters have that on their
  /// disks; after kLeaveTimeout it is not acknowledged. Throws kUnknownService
  /// if the upstream is new here, is not leaving, and its service is unknown.
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
  void SaveReady();
  /// Stores the upstreams that leave on disk, if some are not there yet.
  void SaveLeaves();

  UpstreamRegistry& Registry() { return mRegistry; }
  const UpstreamRegistry& Registry() const { return mRegistry; }

 private:
  /// Loads the upstreams that are stored on disk; of those that are ready only
  /// if aWithReady.
  void Restore(bool aWithReady);
  void OnNotice(const UpstreamNotice& aNotice, const RpcReplyHook& aReply);
  /// Acknowledges a leave that was applied, once it is on enough disks.
  void AcknowledgeLeave(const std::string& aInstance,
                        const HeartbeatDone& aDone);
  /// Stores the record of an upstream that leaves here and at the other
  /// controls. aDone: whether it is on enough disks.
  void Replicate(const UpstreamRecord& aRecord, LeaveCopies::DoneHook aDone);
  /// Time without a heartbeat after which an upstream counts as silent.
  Millis SilenceTimeout() const;

  ControlContext& mContext;
  const ControlDirectory& mDirectory;
  UpstreamIntakeHooks mHooks;
  UpstreamRegistry mRegistry;
  UpstreamStore mStore;
  LeaveStore mLeaves;
  AcknowledgedLeaves mAcknowledged;
  std::int64_t mLastReplicated = 0;  ///< Number of the newest leave.
  /// Ends of the time that leaves have to be stored, by their numbers.
  std::map<std::int64_t, std::unique_ptr<Timer>> mTimers;
  CollectorChoice mCollectorChoice;
  UpstreamFeed mFeed{UpstreamFeedOptions{}};  ///< All changes.
  ReporterFeeds mReporterFeeds;               ///< For other controls.
};

}  // namespace spindleweir
