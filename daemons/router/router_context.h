/// State and services that all parts of a router share.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "daemons/router/open_requests.h"
#include "spindleweir/core/counters.h"
#include "spindleweir/daemons/entry_vms_file.h"
#include "spindleweir/daemons/router_daemon.h"
#include "spindleweir/drivers/engine_client.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "spindleweir/servers/configuration/configuration_history.h"
#include "spindleweir/servers/limits/workspace_limiter.h"
#include "spindleweir/servers/membership/leaving_set.h"
#include "spindleweir/servers/receipts/receipt_store.h"
#include "spindleweir/servers/routing/retry_budget.h"
#include "spindleweir/servers/routing/upstream_view.h"

namespace spindleweir {

/// The state of one router. Single-threaded.
class RouterContext {
 public:
  RouterContext(EventLoop& aLoop, RouterOptions aOptions);

  /// Applies an update if it is newer than the accepted configuration, and
  /// updates drained VMs and limits from it.
  ConfigurationUpdateResult ApplyUpdate(const ConfigurationUpdate& aUpdate);
  const Configuration& AcceptedConfiguration() const {
    return mHistory.Current();
  }
  /// Sets this router's share of each workspace's limits in the limiter;
  /// aRouters is the number of routers that share them.
  void ShareLimits(std::size_t aRouters);
  /// Submits a request to the limiter and returns its ticket. aDone is called
  /// exactly once unless the ticket is withdrawn, possibly before this returns.
  std::uint64_t SubmitForAdmission(
      AdmissionRequest aRequest,
      std::function<void(const AdmissionOutcome&)> aDone);
  void WithdrawTicket(std::uint64_t aTicket);
  void ReleaseSlot(const std::string& aWorkspace);
  /// Collects leaving VMs from engine reports, the platform and notices, and
  /// marks them in the upstream view.
  void RefreshLeaving();
  /// Records that a VM is leaving; returns true if this was not known. aSource
  /// is logged.
  bool AddLeaveNotice(const LeaveNotice& aNotice, const std::string& aSource);

  std::string NextRequestId();
  double Random();
  /// Transfer time of one token between two zones, in milliseconds.
  double LinkMillis(const std::string& aFrom, const std::string& aTo) const;

  EventLoop& mLoop;
  RouterOptions mOptions;
  std::int64_t mIncarnation;
  HttpClient mClient;
  RpcChannel mRpc;
  EngineClient mEngines;
  Counters mCounters;
  EntryVmsFile mEntryVms;
  UpstreamView mView;
  WorkspaceLimiter mLimiter;
  ShareDivider mShares;
  RetryBudget mRetryBudget;
  ConfigurationHistory mHistory;
  LeavingSet mLeaving;
  ReceiptOutbox mOutbox;
  bool mReady = false;
  /// A stop has begun: /readyz fails, so that the load balancer moves away.
  bool mStopping = false;
  bool mRejectingRequests = false;  ///< New requests fail with kStopping.
  OpenRequests mOpenRequests;

 private:
  /// Calls the callback of each request that the limiter admitted or rejected.
  void DeliverOutcomes(const std::vector<AdmissionOutcome>& aOutcomes);

  std::map<std::uint64_t, std::function<void(const AdmissionOutcome&)>>
      mPendingAdmissions;
  std::uint64_t mNextTicket = 1;
  std::uint64_t mNextRequest = 1;
  std::size_t mSharingRouters = 1;
  std::mt19937_64 mRandom;
  std::unique_ptr<Timer> mLeavingPruneTimer;
  std::unique_ptr<Timer> mLimiterTimer;
};

}  // namespace spindleweir
