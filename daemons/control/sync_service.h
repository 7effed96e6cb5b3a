/// The part of a control process that finds the others by seeds and answers
/// what they and routers ask.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemons/control/answer_parts.h"
#include "daemons/control/crash_store.h"
#include "daemons/control/replicated_configuration.h"
#include "daemons/control/start_stamp.h"
#include "daemons/control/upstream_intake.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/routes/newest_confirmation.h"
#include "spindleweir/servers/routing/retry_pool.h"

namespace spindleweir {

/// Membership and spreading on one control process.
class SyncService {
 public:
  SyncService(ControlContext& aContext, ReplicatedConfiguration& aLog);

  UpstreamIntake& Upstreams() { return mUpstreams; }
  /// Upstreams that several routers cannot connect to.
  std::set<std::string> Unreachable();
  UpstreamRegistry& Registry() { return mUpstreams.Registry(); }
  const ControlDirectory& Directory() const { return mDirectory; }
  /// Who leads, by what the other controls said lately; empty: not known. For
  /// one that is no voter, which no leader speaks to.
  std::string ReportedLeader() const;
  /// The configuration in force here; version 0: none yet.
  const TrafficConfiguration& Traffic();
  /// Sets the seeds anew.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  /// The routers that tell this control their work, and all that there are.
  RouterShare Routers();
  /// Sets the gauges of the routers that are counted.
  void RefreshGauges();

 private:
  /// How much of another control's registry is known.
  struct PeerControl {
    std::string mIncarnation;
    std::int64_t mRevision = 0;
    std::int64_t mLoadsSequence = 0;  ///< Of its routers' loads, heard last.
    std::int64_t mCrashRevision = 0;  ///< Of its crash ledger, known so far.
    bool mPolling = false;
    Millis mLastSeenAt = 0;
    std::string mId;  ///< Of the control that answered last.
  };

  SyncAnswer Answer(const SyncQuestion& aRequest);
  void RecordPoller(const SyncQuestion& aRequest);
  void PollControls();
  /// The ids of controls that answered lately.
  std::vector<std::string> ReachableControls() const;
  void Poll(const Endpoint& aAddress);
  /// A leader may promise since now: what it confirms is asked for at once.
  /// With the next request to all, routers of other zones had a lease up to
  /// 0.3 s later.
  void PollLeader();
  void ApplyAnswer(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                   Millis aPolledAt);
  /// Takes what this control itself confirmed, where it leads.
  void UpdateLocalConfirmation(Millis aNow);
  void UpdateVoters();
  void SaveState();
  /// Whether most of control cannot be heard: then it is this process that
  /// is cut off, and the silence of upstreams says nothing of them.
  bool IsCutOff() const;
  /// Whether another control is told now which there are.
  bool SendsControlsTo(const SyncQuestion& aRequest, Millis aNow);
  /// Routers that there are, as far as is known.
  int RouterCount(Millis aNow);
  void AddLoads(const SyncQuestion& aRequest, SyncAnswer& aAnswer);
  /// Takes records of crashes; those that newly bar a request are kept on disk.
  void MergeCrashes(const std::vector<Json::Value>& aRows,
                    const std::string& aBy);
  void AddCrashes(const SyncQuestion& aRequest, SyncAnswer& aAnswer);
  ControlInfo Self() const;

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  std::string mIncarnation;
  std::map<std::string, Millis> mControlsSentAt;  ///< By the id of who asked.
  ControlDirectory mDirectory;
  TrafficHistory mTraffic;
  /// The newest that was committed and that nobody has asked for yet. A start
  /// commits the whole log at once: reading each of 118 versions of 600 routes
  /// took a new leader 2.7 s of its 0.15 cores, and the newest alone counts.
  std::optional<PublishedDocument> mUnparsed;
  std::map<std::string, Millis> mPolledAt;  ///< By router.
  NewestConfirmation mConfirmation;
  StartStamp mStamp;
  PreviousRun
      mPreviousRun;  ///< Of the last start; used until routers have asked.
  Millis mStartedAt;
  UpstreamIntake mUpstreams;
  AnswerSizeMeter mAnswerSizes;
  LoadAggregator mLoads{LoadAggregatorOptions{}};
  CrashLedger mCrashes;
  CrashStore mCrashStore;
  std::map<std::string, PeerControl> mPeerControls;  ///< By address.
  std::string mReportedLeader;  ///< Of the newest term told.
  std::int64_t mReportedTerm = 0;
  Millis mLeaderReportedAt = 0;
  std::unique_ptr<Timer> mPollTimer;
  std::unique_ptr<Timer> mStepTimer;
};

}  // namespace spindleweir
