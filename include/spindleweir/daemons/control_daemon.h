/// A control process: a voter of the replicated log, a claim keeper, a receipt
/// store and the operators' interface.
#pragma once

#include <memory>
#include <string>

#include "spindleweir/core/settings.h"
#include "spindleweir/daemons/traffic_protocols.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/routing/retry_allowance.h"

namespace spindleweir {

/// Settings of a control process.
struct ControlOptions {
  std::string mId;
  std::string mZone;
  Endpoint mRpcListen;       ///< For routers and other controls.
  Endpoint mOperatorListen;  ///< For operators.
  std::string mOperatorKey;
  std::string mClusterKey;
  std::string mEntryVms;  ///< Path of the file that lists entry VMs.
  std::string mData;      ///< Path of the data folder.
  /// Ids of the first voters; used only if the data folder is empty. A process
  /// with an empty folder and no initial voters waits until the others make it
  /// a voter.
  std::vector<std::string> mInitialVoters;
  Endpoint mPlatform;
  std::string mPortFile;
  Millis mElectionTimeout = 500;
  /// How long an operator's change may wait for its commit.
  Millis mCommitTimeout = 4000;
  Millis mPlanLifetime = 600000;
  std::size_t mReceipts = 100000;  ///< Max. number stored on this VM.

  /// The members below are for a control that finds the others by seeds
  /// instead of a list.
  std::vector<Endpoint> mSeeds;  ///< RPC addresses of some controls.
  bool mFirstStart = false;      ///< The whole deployment starts for
  ///< the first time.
  /// Set by ReadIdentity(): a first start on an empty disk, so that no process
  /// of this control has granted anything before.
  bool mIsNewDeployment = false;
  Millis mHeartbeatInterval = 1200;  ///< Of upstreams.
  /// How long a new control may take until the deployment counts on it.
  Millis mCatchUp = 4000;
  /// Disks of controls that may be lost at once.
  std::size_t mTolerated = 1;
  /// Controls that hold the replicated log without being voters.
  std::size_t mMaxLearners = 4;
  /// How long a control that was asked to end may wait until another one has
  /// taken its place among the voters.
  Millis mStopTimeout = 4000;
  /// Heartbeats per second above which control refers upstreams to collectors;
  /// see CollectorChoiceOptions.
  int mMaxLocalHeartbeats = 50;
  RetryLimits mRetries;  ///< The same as the routers'.
  DocumentProtocol mDocuments;
  EngineProtocol mEngines;
};

/// One control process in an event loop. While its disk does not accept what a
/// start writes, it waits for the disk: it listens, and operators see its
/// state, but it serves nothing.
class ControlDaemon {
 public:
  /// Throws kCannotListen, kDataCorrupt, kDataUnwritable. A start that waited
  /// for the disk throws the last two from the event loop.
  ControlDaemon(EventLoop& aLoop, ControlOptions aOptions);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  /// Whether the start is complete; false while it waits for the disk.
  bool HasStarted() const;
  const Endpoint& OperatorAddress() const;
  const Endpoint& RpcAddress() const;
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
