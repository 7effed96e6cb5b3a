/// What the parts of a router share.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

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

  /// Takes what is newer of the accepted configuration.
  ConfigurationUpdateResult ApplyUpdate(const ConfigurationUpdate& aUpdate);
  const Configuration& AcceptedConfiguration() const {
    return mHistory.Current();
  }
  /// Gives the limiter this router's part of each workspace's limits, with
  /// aRouters sharing them.
  void ShareLimits(std::size_t aRouters);
  /// Asks for a place; aDone is called once, maybe at once.
  std::uint64_t SubmitForAdmission(
      AdmissionRequest aRequest,
      std::function<void(const AdmissionOutcome&)> aDone);
  void WithdrawTicket(std::uint64_t aTicket);
  void ReleaseSlot(const std::string& aWorkspace);
  /// Brings who leaves from all sources into the view.
  void RefreshLeaving();
  /// Takes a word; true where it is news.
  bool AddLeaveNotice(const LeaveNotice& aNotice, const std::string& aSource);

  std::string NextRequestId();
  double Random();
  /// Milliseconds that a token takes between two zones.
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
  bool mStopping = false;           ///< Not ready any more, for the balancer.
  bool mRejectingRequests = false;  ///< Takes no new request any more.
  int mOpenRequests = 0;

 private:
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
