/// State that the components of a relaying router share.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "daemons/invalid_messages.h"
#include "spindleweir/core/counters.h"
#include "spindleweir/daemons/relay_router.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "spindleweir/servers/limits/advertised_limits.h"
#include "spindleweir/servers/limits/backoff_periods.h"
#include "spindleweir/servers/limits/connection_admission.h"
#include "spindleweir/servers/limits/crash_watch.h"
#include "spindleweir/servers/limits/memory_budget.h"
#include "spindleweir/servers/limits/router_count.h"
#include "spindleweir/servers/limits/shutdown_admission.h"
#include "spindleweir/servers/limits/typical_time.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/forwarder_list.h"
#include "spindleweir/servers/membership/heartbeat_collector.h"
#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/routes/configuration_lease.h"
#include "spindleweir/servers/routes/route_table.h"
#include "spindleweir/servers/routes/traffic_change.h"
#include "spindleweir/servers/routing/arrival_rate.h"
#include "spindleweir/servers/routing/engine_sample.h"
#include "spindleweir/servers/routing/engine_slowdowns.h"
#include "spindleweir/servers/routing/inter_zone_budget.h"
#include "spindleweir/servers/routing/layer_path.h"
#include "spindleweir/servers/routing/load_aggregator.h"
#include "spindleweir/servers/routing/path_chooser.h"
#include "spindleweir/servers/routing/retry_allowance.h"
#include "spindleweir/servers/routing/upstream_links.h"

namespace spindleweir {

/// The part (1/N) of a router's descriptors, and of its memory if that is not
/// needed for its own callers, for calls that it forwards for others.
inline constexpr std::size_t kForwardingDivisor = 8;

/// Outcomes that this router observed at an upstream.
struct UpstreamHistory {
  /// Exponentially weighted share of failed attempts, 0 to 1.
  double mFailureShare = 0;
  Millis mFailedAt = -1;
  Millis mAvoidUntil = -1;
  Millis mRefusedUntil = -1;
  /// Consecutive refusals, each after the back-off of the previous one.
  int mRefusals = 0;
  Millis mUnreachableUntil = -1;
};

/// State from which paths of one service are chosen.
struct ServiceRouting {
  PathChooser mChooser;
  ArrivalRate mArrivals;  ///< Requests that arrive at this router.
  std::vector<const UpstreamRecord*> mReady;
  /// Registry revision from which mReady was built.
  std::int64_t mReadyRevision = -1;
  /// Only used for plain services.
  TypicalTime mTypicalTime{TypicalTimeOptions{}};
};

/// A request for which an upstream of a plain service is needed.
struct PlainServiceQuery {
  std::size_t mUpstreams = 1;  ///< Number of upstreams of the service.
  std::size_t mBodyBytes = 0;
  Millis mTarget = 0;  ///< Target latency of the route; 0: not set.
  /// Time at which the request was recorded as an arrival.
  Millis mArrivedAt = 0;
};

class RelayAdmission;
class RetryCreditRequester;
class StreamGuard;

/// The state of one router. Single-threaded.
class RelayContext {
 public:
  RelayContext(EventLoop& aLoop, RelayOptions aOptions);

  /// The configuration in force; nullptr if none has been received yet.
  const std::shared_ptr<const RouteTable>& Table() const { return mTable; }
  /// Applies a configuration update if it is newer than the configuration in
  /// force and based on it.
  void ApplyUpdate(const TrafficUpdate& aUpdate);
  /// Whether the configuration in force has the service, or none has been
  /// received yet.
  bool KnowsService(const std::string& aService) const;
  bool HasValidLease() const { return mLease.IsValid(SteadyNow()); }
  /// Whether this process started so recently that missing state may still
  /// arrive on its own: the configuration, its confirmation, and the heartbeats
  /// of upstreams.
  bool IsStartingUp() const;

  /// Adds work that begins at an upstream; negative values remove work that
  /// ended.
  void AddLoad(const std::string& aInstance, int aRequests, double aTokenLayers,
               int aFirstStageRequests);
  /// Adds tokens, times layers, that an engine has yet to prefill; a negative
  /// value removes them.
  void AddPrefill(const std::string& aInstance, double aTokenLayers);
  /// All known work at an upstream: from this router and from its peers.
  EngineLoad LoadOf(const std::string& aInstance) const;
  LoadShares LocalLoads() const;
  /// Replaces the loads reported by peers. aAsOf: the average time at which
  /// they were measured.
  void SetPeerLoads(LoadShares aLoads, Millis aAsOf);
  /// Average age of the loads reported by peers.
  Millis PeerLoadsAge() const { return SteadyNow() - mPeerLoadsAsOf; }
  /// Drops the loads reported by peers when they are too old to be used.
  void ClearPeerLoads();

  void RecordSuccess(const std::string& aInstance);
  void RecordFailure(const std::string& aInstance, Millis aAvoidFor);
  /// Records that the upstream refused a request. That doesn't count as a
  /// failure of the requests that it runs.
  void RecordRefusal(const std::string& aInstance);
  /// Records that no connection to the upstream could be made.
  void RecordUnreachable(const std::string& aInstance, Millis aFor);
  /// The start of the known incarnation; 0 if unknown or not reported.
  std::int64_t StartOf(const std::string& aInstance) const;
  /// Returns the instances that were replaced by a new incarnation since the
  /// previous call.
  std::set<std::string> TakeRestartedInstances() {
    return std::exchange(mRestarted, {});
  }
  double FailureShareOf(const std::string& aInstance) const;
  /// Instances to which no request may be sent at present, even if there is no
  /// alternative. Applies to first attempts, retries and moves.
  std::set<std::string> HeldUpstreams();
  /// Instances that refused a request a short time ago.
  std::set<std::string> RecentRefusers() const;
  /// Instances that should not be used at present; includes RecentRefusers().
  std::set<std::string> AvoidedInstances() const;

  RetryAllowance& RetryAllowanceOf(const std::string& aService);
  InterZoneBudget& InterZoneBudgetOf(const std::string& aService);
  /// The ready upstreams of a service.
  const std::vector<const UpstreamRecord*>& ReadyEngines(
      const std::string& aService);
  /// The known work at an upstream of a plain service, to decide whether one
  /// more request may be sent to it.
  UpstreamOccupancy OccupancyOf(const UpstreamRecord& aRecord,
                                const PlainServiceQuery& aQuery);
  /// The known number of routers that share limits.
  int Routers() const { return mRouters.Value(); }
  /// Applies the number of routers as reported by the control aReportedBy.
  void UpdateRouterCount(int aRouters, const std::string& aReportedBy);
  /// Records how long a request of a plain service took at its upstream.
  void RecordPlainTime(const std::string& aService, Millis aTime);
  /// Records the arrival of a request that needs an upstream or a path of
  /// engines.
  void RecordArrival(const std::string& aService);
  /// Arrival rate at this router, in requests per millisecond.
  double ArrivalsOf(const std::string& aService);
  /// Chooses a path, given the known work of all routers.
  PathResult ChoosePathFor(const std::string& aService,
                           const PathQuery& aQuery);
  double Random();
  /// Ends the effect of failed connections: the upstream is reached by way of
  /// other routers.
  void EndAvoidance(const std::string& aInstance);

  EventLoop& mLoop;
  RelayOptions mOptions;
  HttpClient mClient;
  RpcChannel mRpc;
  Counters mCounters;
  InvalidMessages mInvalidMessages{mCounters};
  std::shared_ptr<MemoryBudget> mMemory;
  ConfigurationLease mLease;
  ControlDirectory mDirectory;
  UpstreamRegistry mRegistry;
  HeartbeatCollector mHeartbeatCollector;
  EngineSlowdowns mSlowdowns;
  AdvertisedLimits mLimits;
  BackoffPeriods mBackoffs;
  UpstreamLinks mLinks;
  ForwarderList mForwarders;
  /// Where this router forwards calls of others; empty: nowhere.
  std::string mForwardingAddress;
  CrashWatch mCrashes;
  ShutdownAdmission mShutdownAdmission;
  ConnectionAdmission mConnections;
  bool mStopping = false;
  StreamGuard* mGuard = nullptr;  ///< Set once all components are constructed.
  /// Set once all components are constructed.
  RelayAdmission* mAdmission = nullptr;
  /// Set once all components are constructed.
  RetryCreditRequester* mRetryCreditRequester = nullptr;

 private:
  /// Drops what was observed of the previous incarnation; none of it applies to
  /// its successor.
  void ForgetPredecessor(const UpstreamRecord& aSuccessor);
  LimitDemand DemandOf(const std::string& aInstance);

  std::shared_ptr<const RouteTable> mTable;
  LoadShares mLocalLoads;
  LoadShares mPeerLoads;
  Millis mPeerLoadsAsOf;
  std::map<std::string, UpstreamHistory> mHistories;
  std::set<std::string> mRestarted;
  std::map<std::string, RetryAllowance> mRetries;  ///< By service.
  std::map<std::string, InterZoneBudget> mInterZoneBudgets;
  std::map<std::string, ServiceRouting> mServiceRouting;  ///< By service.
  RouterCount mRouters;
  std::mt19937_64 mRandom;
  Millis mStartedAt;
};

}  // namespace spindleweir
