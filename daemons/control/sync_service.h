/// The part of a control process that finds the other controls by seeds, polls
/// them, and answers the polls of controls and routers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemons/control/answer_size_meter.h"
#include "daemons/control/crash_store.h"
#include "daemons/control/limit_store.h"
#include "daemons/control/replicated_configuration.h"
#include "daemons/control/start_stamp.h"
#include "daemons/control/upstream_intake.h"
#include "daemons/control/voter_manager.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/limits/router_count.h"
#include "spindleweir/servers/membership/control_list_schedule.h"
#include "spindleweir/servers/membership/peer_revisions.h"
#include "spindleweir/servers/routes/configuration_fetch.h"
#include "spindleweir/servers/routes/newest_confirmation.h"

namespace spindleweir {

/// Membership and the exchange of state on one control process.
class SyncService {
 public:
  SyncService(ControlContext& aContext, ReplicatedConfiguration& aLog);

  UpstreamIntake& Upstreams() { return mUpstreams; }
  /// Upstreams that at least kMinUnreachableReporters routers cannot reach.
  std::set<std::string> Unreachable();
  UpstreamRegistry& Registry() { return mUpstreams.Registry(); }
  const ControlDirectory& Directory() const { return mDirectory; }
  /// Id of the leader by the recent reports of other controls; empty: not
  /// known. For a control that is not a voter: a leader does not contact it.
  std::string ReportedLeader() const;
  /// The configuration in force here; version 0: none yet. Parses the newest
  /// committed document if that has not been done yet.
  const TrafficConfiguration& Traffic();
  void SetSeeds(std::vector<Endpoint> aSeeds);
  /// Tells the other controls that this one ends; see VoterManager::Stop().
  void Stop(std::function<void()> aEnd);
  /// Sets the gauges routers_here and routers_known.
  void RefreshGauges();

 private:
  /// The state of another control that is known here.
  struct PeerControl {
    std::string mIncarnation;
    std::int64_t mLoadsSequence = 0;  ///< Last received loads of its routers.
    std::int64_t mCrashRevision = 0;  ///< Last received of its crash ledger.
    bool mPolling = false;
    Millis mLastSeenAt = 0;
    Millis mAnsweredPollAt = 0;  ///< When the poll began that it answered last.
    std::string mId;             ///< Id of the control that answered last.
  };

  SyncAnswer Answer(const SyncRequest& aRequest);
  void RecordPoller(const SyncRequest& aRequest);
  void PollControls();
  /// Whether each control in contact has answered a poll that told it that this
  /// one was asked to end.
  bool HasToldOthers() const;
  /// Ids of the other controls that are in contact.
  std::vector<std::string> ReachableControls() const;
  /// aFetches: the answer should hold newer configurations.
  void Poll(const Endpoint& aAddress, bool aFetches = false);
  /// Notices which controls have ceased to answer. Returns the incarnations of
  /// the others and of this one; none while no other answers.
  std::vector<std::string> AnsweringIncarnations();
  /// Polls a new leader for its confirmation at once. Waiting for the next poll
  /// of all controls gives routers of other zones their lease up to 0.3 s
  /// later.
  void PollLeader();
  void ApplyAnswer(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                   Millis aPolledAt);
  /// Takes over configurations that were fetched from another control.
  void ApplyConfigurationUpdates(const SyncAnswer& aAnswer);
  /// Applies the confirmation of this control itself, if it leads.
  void UpdateLocalConfirmation(Millis aNow);
  void SaveState();
  /// Remembers the limits of upstreams that the process before stored.
  void RestoreLimits();
  /// Whether this process has no contact with a majority of the controls: then
  /// it is cut off itself, and silent upstreams may well be running.
  bool IsCutOff() const;
  /// Adds the list of controls, if the poller is due for it, and for a control
  /// the leader.
  void AddControls(const SyncRequest& aRequest, SyncAnswer& aAnswer);
  /// Number of all routers, as far as is known; at least 1.
  int KnownRouters();
  /// The clock by which reports of routers expire: the time in which this
  /// process runs. While it stands still, newer reports wait unread in its
  /// sockets.
  Millis ReportTime() const;
  /// Adds the routers that report here, if a control does not know the list.
  void AddRouterList(const SyncRequest& aRequest, SyncAnswer& aAnswer);
  void AddLoads(const SyncRequest& aRequest, SyncAnswer& aAnswer);
  /// Merges crash records, and stores the barred requests if they have changed.
  void MergeCrashes(const std::vector<Json::Value>& aRows,
                    const std::string& aBy);
  void AddCrashes(const SyncRequest& aRequest, SyncAnswer& aAnswer);
  ControlInfo Self() const;

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  std::string mIncarnation;
  ControlListSchedule mListSchedule{ControlListOptions{}};
  ControlDirectory mDirectory;
  TrafficHistory mTraffic;
  ConfigurationFetch mFetch{ConfigurationFetchOptions{}};
  /// The newest committed document, until Traffic() parses it. A start commits
  /// the whole log at once: parsing each of 118 versions of 600 routes takes a
  /// new leader with 0.15 cores 2.7 s, and only the newest is needed.
  std::optional<PublishedDocument> mUnparsed;
  std::map<std::string, Millis> mPolledAt;  ///< By router.
  NewestConfirmation mConfirmation;
  StartStamp mStamp;
  PreviousRun mPreviousRun;  ///< Used until the routers have polled.
  /// The number of routers that is stored for the next start.
  RouterCount mRecentRouters{RouterCountOptions{}};
  Millis mStartedAt;
  UpstreamIntake mUpstreams;
  AnswerSizeMeter mAnswerSizes;
  ForwarderOffer mForwarders;
  LoadAggregator mLoads{LoadAggregatorOptions{}};
  CrashLedger mCrashes;
  CrashStore mCrashStore;
  LimitStore mLimitStore;
  std::map<std::string, PeerControl> mPeerControls;  ///< By address.
  PeerRevisions mRevisions{PeerRevisionsOptions{}};
  std::string mReportedLeader;  ///< Leader of the newest reported term.
  std::int64_t mReportedTerm = 0;
  Millis mLeaderReportedAt = 0;
  VoterManager mVoters;
  std::unique_ptr<Timer> mPollTimer;
  std::unique_ptr<Timer> mSaveTimer;
};

}  // namespace spindleweir
