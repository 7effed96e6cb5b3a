/// What a control that finds the others by seeds runs once its disk has
/// accepted the files of its start: replicated log, exchange with the other
/// controls and with routers, placement, operators' calls.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemons/control/control_context.h"
#include "daemons/control/layer_placer.h"
#include "daemons/control/replicated_configuration.h"
#include "daemons/control/retry_service.h"
#include "daemons/control/sync_service.h"
#include "daemons/rpc_meter.h"
#include "spindleweir/daemons/joined_control.h"

namespace spindleweir {

/// The services of one control, in the order of their construction.
class JoinedServices {
 public:
  /// aOptions: as ReadIdentity() returns them. aLog: the replicated log in
  /// their data folder.
  JoinedServices(EventLoop& aLoop, ControlOptions aOptions, OpenRaftLog aLog,
                 Counters& aCounters, StorageState& aStorage);

  /// Answers a message of a router or another control.
  void HandleRpc(const std::shared_ptr<HttpExchange>& aExchange) {
    mContext.mDispatcher.Handle(aExchange);
  }
  /// As the methods of JoinedControl.
  void Publish(const std::string& aDocument, const OperatorDone& aDone);
  void Read(const OperatorDone& aDone);
  void SetSeeds(std::vector<Endpoint> aSeeds);
  void RefreshGauges();
  /// Calls aEnd once this control has handed over its place.
  void Stop(std::function<void()> aEnd) { mSync.Stop(std::move(aEnd)); }

  UpstreamIntake& Upstreams() { return mSync.Upstreams(); }
  InvalidMessages& Invalid() { return mContext.mInvalidMessages; }

 private:
  /// An operator's call that waits until a leader is known.
  struct WaitingCall {
    std::function<void()> mRun;
    Millis mSince = 0;
  };

  void LogStarted();
  /// Whether this control leads, or has recent contact with or a recent report
  /// of the leader.
  bool HasLeaderContact() const;
  bool Votes() const;
  VoterState Voters() const;
  /// Id of the leader, as far as is known; empty: unknown. A control that no
  /// longer votes has the leader of that time in its log.
  std::string KnownLeader() const;
  /// Calls aRun once HasLeaderContact() holds, or after kLeaderWaitTimeout.
  void AwaitLeader(std::function<void()> aRun);
  void PollLeader();
  /// The answer of a control that does not lead: names the leader, if known.
  OperatorAnswer NotLeader() const;
  /// Publish() and Read(), after the wait for a leader.
  void PublishNow(const std::string& aDocument, const OperatorDone& aDone);
  void ReadNow(const OperatorDone& aDone);

  ControlContext mContext;
  ReplicatedConfiguration mLog;
  SyncService mSync;
  RpcMeter mMeter;
  RetryService mRetries;
  LayerPlacer mPlacer;
  std::vector<WaitingCall> mWaitingCalls;
  std::unique_ptr<Timer> mLeaderTimer;
};

}  // namespace spindleweir
