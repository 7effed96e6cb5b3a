/// What the stages of a relaying router share.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "daemons/bad_words.h"
#include "spindleweir/core/counters.h"
#include "spindleweir/daemons/relay_router.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "spindleweir/servers/limits/advertised_limits.h"
#include "spindleweir/servers/limits/backoff_periods.h"
#include "spindleweir/servers/limits/crash_watch.h"
#include "spindleweir/servers/limits/memory_budget.h"
#include "spindleweir/servers/limits/router_count.h"
#include "spindleweir/servers/limits/shutdown_admission.h"
#include "spindleweir/servers/limits/typical_time.h"
#include "spindleweir/servers/membership/control_directory.h"
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

namespace spindleweir {

/// What this router saw of an upstream, beside its own work there.
struct UpstreamHistory {
  double mFailureShare = 0;  ///< Moving share of attempts that failed, 0 to 1.
  Millis mFailedAt = -1;
  Millis mAvoidUntil = -1;
  Millis mRefusedUntil = -1;
  int mRefusals = 0;  ///< In a row, each after the time of the one before.
  Millis mUnreachableUntil = -1;
};

/// What paths of one service are chosen by.
struct ServiceRouting {
  PathChooser mChooser;
  ArrivalRate mArrivals;  ///< At this router.
  std::vector<const UpstreamRecord*> mReady;
  std::int64_t mReadyRevision =
      -1;  ///< The change of the registry that it has.
  TypicalTime mTypicalTime{TypicalTimeOptions{}};  ///< Of a plain service.
};

/// A request that may be sent to an upstream of a plain service.
struct PlainServiceQuery {
  std::size_t mUpstreams = 1;  ///< That the service has.
  std::size_t mBodyBytes = 0;
  Millis mTarget = 0;     ///< Of its route; 0: not told.
  Millis mArrivedAt = 0;  ///< When it was counted as an arrival.
};

class RelayAdmission;
class RetryCreditRequester;
class StreamGuard;

/// The state of one router. Single-threaded.
class RelayContext {
 public:
  RelayContext(EventLoop& aLoop, RelayOptions aOptions);

  /// The configuration in force; nullptr: none yet.
  const std::shared_ptr<const RouteTable>& Table() const { return mTable; }
  /// Takes news of the configuration where it is newer than what is held and
  /// follows on it.
  void ApplyUpdate(const TrafficUpdate& aUpdate);
  /// Whether the configuration in force has a service, or there is none yet.
  bool KnowsService(const std::string& aService) const;
  bool LeaseHolds() const { return mLease.IsValid(SteadyNow()); }
  /// Whether this process started so lately that what it lacks may still come
  /// by itself: the configuration, its confirmation, heartbeats of upstreams.
  bool IsStartingUp() const;

  /// Notes work that begins or ends at an upstream.
  void AddLoad(const std::string& aInstance, int aRequests, double aTokenLayers,
               int aFirsts);
  /// Notes tokens that an engine has to read, or has read.
  void AddPrefill(const std::string& aInstance, double aTokenLayers);
  /// All work known at an upstream: own and of other routers.
  EngineLoad LoadOf(const std::string& aInstance) const;
  LoadShares LocalLoads() const;
  /// aTrueAt: when they were, on the whole, as they are told.
  void SetPeerLoads(LoadShares aLoads, Millis aTrueAt);
  /// How old what is known of other routers' work is, on the whole.
  Millis PeerLoadsAge() const { return SteadyNow() - mPeerLoadsAsOf; }
  /// What is known of other routers' work is too old to be used.
  void ClearPeerLoads();

  void RecordSuccess(const std::string& aInstance);
  void RecordFailure(const std::string& aInstance, Millis aAvoidFor);
  /// It refused to run a request, which is no failure of what it runs.
  void RecordRefusal(const std::string& aInstance);
  /// No connection could be made.
  void RecordUnreachable(const std::string& aInstance, Millis aFor);
  /// The start of the incarnation that is known; 0: none, or not told.
  std::int64_t StartOf(const std::string& aInstance) const;
  /// Gives those that were followed by another incarnation of their name since
  /// the last call.
  std::set<std::string> TakeRestartedInstances() {
    return std::exchange(mRestarted, {});
  }
  double FailureShareOf(const std::string& aInstance) const;
  /// Instances that no request may be sent to at present, whatever else there
  /// is: first attempts, further ones and moves alike.
  std::set<std::string> HeldUpstreams();
  /// Instances that refused to run a request a moment ago.
  std::set<std::string> RecentRefusers() const;
  /// Instances that are not to be used at present, these among them.
  std::set<std::string> AvoidedInstances() const;

  RetryAllowance& RetryAllowanceOf(const std::string& aService);
  InterZoneBudget& InterZoneBudgetOf(const std::string& aService);
  /// The upstreams of a service that are ready.
  const std::vector<const UpstreamRecord*>& ReadyEngines(
      const std::string& aService);
  /// What is known of the work at an upstream of a plain service, where one
  /// more request may be sent to it.
  UpstreamOccupancy OccupancyOf(const UpstreamRecord& aRecord,
                                const PlainServiceQuery& aQuery);
  /// Routers that share limits, as far as is known.
  int Routers() const { return mRouters.Value(); }
  /// A control, aReportedBy, told how many there are.
  void UpdateRouterCount(int aRouters, const std::string& aReportedBy);
  /// A request of a plain service took so long at its upstream.
  void RecordPlainTime(const std::string& aService, Millis aTime);
  /// A request that asks for a path of engines, or an upstream.
  void RecordArrival(const std::string& aService);
  /// Requests a millisecond that come here for it.
  double ArrivalsOf(const std::string& aService);
  /// A path for it, by what is known of the work of all routers.
  PathResult ChoosePathFor(const std::string& aService,
                           const PathQuery& aQuery);
  double Random();

  EventLoop& mLoop;
  RelayOptions mOptions;
  HttpClient mClient;
  RpcChannel mRpc;
  Counters mCounters;
  BadWords mBadWords{mCounters};
  std::shared_ptr<MemoryBudget> mMemory;
  ConfigurationLease mLease;
  ControlDirectory mDirectory;
  UpstreamRegistry mRegistry;
  HeartbeatCollector mHeartbeatCollector;
  EngineSlowdowns mSlowdowns;
  AdvertisedLimits mLimits;
  BackoffPeriods mBackoffs;
  CrashWatch mCrashes;
  ShutdownAdmission mShutdownAdmission;
  bool mStopping = false;
  StreamGuard* mGuard = nullptr;         ///< Set once all stages are made.
  RelayAdmission* mAdmission = nullptr;  ///< The same.
  RetryCreditRequester* mRetryCreditRequester = nullptr;  ///< The same.

 private:
  /// What was learnt of the one before says nothing of its successor.
  void ForgetPredecessor(const UpstreamRecord& aSuccessor);
  LimitDemand DemandOf(const std::string& aInstance);

  std::shared_ptr<const RouteTable> mTable;
  LoadShares mLocalLoads;
  LoadShares mPeerLoads;
  Millis mPeerLoadsAsOf;
  std::map<std::string, UpstreamHistory> mHistories;
  std::set<std::string> mRestarted;
  std::map<std::string, RetryAllowance> mRetries;
  std::map<std::string, InterZoneBudget> mInterZoneBudgets;
  std::map<std::string, ServiceRouting> mServiceRouting;  ///< By service.
  RouterCount mRouters;
  std::mt19937_64 mRandom;
  Millis mStartedAt;
};

}  // namespace spindleweir
