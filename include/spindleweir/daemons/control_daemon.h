/// A control process: a voter of the replicated log, a claim keeper, a store
/// of receipts, and the operators' interface.
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
  Endpoint mRpcListen;       ///< For our processes.
  Endpoint mOperatorListen;  ///< For operators.
  std::string mOperatorKey;
  std::string mClusterKey;
  std::string mEntryVms;  ///< Path of the list of entry VMs.
  std::string mData;      ///< The data folder.
  /// The first voters, by id; used only with an empty data folder. Without
  /// them an empty process waits to be made a voter by the others.
  std::vector<std::string> mInitialVoters;
  Endpoint mPlatform;
  std::string mPortFile;
  Millis mElectionTimeout = 500;
  Millis mPlanLifetime = 600000;
  std::size_t mReceipts = 100000;  ///< Kept on this VM.

  /// For a control that finds the others by seeds instead of a list.
  std::vector<Endpoint> mSeeds;      ///< RPC addresses of some controls.
  bool mFirstStart = false;          ///< Of the whole deployment.
  Millis mHeartbeatInterval = 1200;  ///< Of upstreams.
  /// Heartbeats a second that it takes itself; see CollectorChoiceOptions.
  int mMaxLocalHeartbeats = 50;
  RetryAllowanceOptions mRetries;  ///< As the routers have them.
  DocumentProtocol mDocuments;
  EngineProtocol mEngines;
};

/// One control process in an event loop.
class ControlDaemon {
 public:
  ControlDaemon(EventLoop& aLoop, ControlOptions aOptions);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  const Endpoint& OperatorAddress() const;
  const Endpoint& RpcAddress() const;
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
