#include "daemons/relay/relay_context.h"

#include <algorithm>
#include <cmath>

#include "daemons/relay/planned_stop.h"
#include "daemons/relay/relay_admission.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// Weight of one outcome in the moving share of failures.
constexpr double kOutcomeWeight = 0.2;
/// The share of failures halves in this time, in milliseconds.
constexpr double kFailureHalfLifeMillis = 3000;
/// The start-up phase lasts this many times as long as a request waits for it:
/// meanwhile control elects a leader and receives one heartbeat of each
/// upstream.
constexpr Millis kStartUpWaits = 2;
/// Loads reported by peers are treated as at most this old: most requests that
/// they count have ended by then.
constexpr Millis kMaxPeerReportAge = 2500;
/// Paths are computed anew at this interval. Until then the previous ones may
/// use layers that an engine held before it restarted.
constexpr Millis kPathRedivisionInterval = 300;
/// Typical response time of a plain service if none was recorded recently,
/// unless the target of its route is shorter. The target itself is no estimate:
/// it is what callers accept, many times the duration of a call.
constexpr Millis kDefaultAnswerTime = 100;
/// Share of a router's requests that it sends to an upstream of another zone if
/// no upstream of its own zone may be used.
constexpr double kOtherZoneShare = 0.1;
constexpr double kMillisPerSecond = 1000;
constexpr int kObserverNameBytes = 4;
constexpr double kThousandths = 1000;
/// An upstream that refused a request is avoided for this time. The time
/// doubles with each further refusal, up to a maximum.
constexpr Millis kAvoidAfterRefusal = 300;
constexpr Millis kMaxAvoidAfterRefusals = 3000;
constexpr int kMaxRefusalDoublings = 4;

MemoryBudgetOptions MemoryOf(const RelayOptions& aOptions) {
  MemoryBudgetOptions options =
      MemoryBudgetOptions::ForMemory(aOptions.mMemoryBytes);
  // The rest is for calls that are forwarded for others.
  options.mMaxDescriptors =
      aOptions.mDescriptors - aOptions.mDescriptors / kForwardingDivisor;
  if (aOptions.mSocketBufferBytes > 0) {
    options.mSocketBuffer = aOptions.mSocketBufferBytes;
  }
  return options;
}

}  // namespace

RelayContext::RelayContext(EventLoop& aLoop, RelayOptions aOptions)
    : mLoop(aLoop),
      mOptions(std::move(aOptions)),
      mClient(aLoop),
      mRpc(mClient, mOptions.mClusterKey),
      mMemory(std::make_shared<MemoryBudget>(MemoryOf(mOptions))),
      mLease(mOptions.mLeaseLength),
      mLimits({.mDemandOf =
                   [this](const std::string& aInstance) {
                     return DemandOf(aInstance);
                   },
               .mRandom = [this] { return Random(); }}),
      mCrashes(mOptions.mId + "/" + RandomHex(kObserverNameBytes)),
      mShutdownAdmission({.mGrace = PlannedStop::GraceOf(mOptions)}),
      mPeerLoadsAsOf(SteadyNow()),
      mRouters({.mRetention = mOptions.mRetries.mWindow}),
      mRandom(std::random_device{}()),
      mStartedAt(SteadyNow()) {
  mDirectory.SetSeeds(mOptions.mSeeds);
  mRegistry.SetSuccessorHook([this](const UpstreamRecord& aSuccessor) {
    ForgetPredecessor(aSuccessor);
  });
}

void RelayContext::ForgetPredecessor(const UpstreamRecord& aSuccessor) {
  const std::string& instance = aSuccessor.mInstance;
  mHistories.erase(instance);
  mHistories[instance].mAvoidUntil = SteadyNow() + kPathRedivisionInterval;
  mPeerLoads.erase(instance);
  mSlowdowns.Forget(instance);
  mLimits.Forget(instance);
  mBackoffs.Forget(instance);
  mLinks.Forget(instance);
  mRestarted.insert(instance);
  mCounters.Add("upstreams_restarted");
  LogLine(LogLevel::kInfo, "upstream_restarted")
      .Add("instance", instance)
      .Add("start", static_cast<Json::Int64>(aSuccessor.mStart))
      .Add("sequence", static_cast<Json::Int64>(aSuccessor.mSequence))
      .Add("from", aSuccessor.mLayers.mFrom)
      .Add("to", aSuccessor.mLayers.mTo);
}

LimitDemand RelayContext::DemandOf(const std::string& aInstance) {
  LimitDemand demand{.mRouters = Routers()};
  const UpstreamRecord* record = mRegistry.Find(aInstance);
  if (record != nullptr) {
    const bool isLocal = record->mZone == mOptions.mZone;
    demand.mLocal = ArrivalsOf(record->mService) * kMillisPerSecond *
                    (isLocal ? 1 : kOtherZoneShare);
  }
  const auto peers = mPeerLoads.find(aInstance);
  if (peers != mPeerLoads.end()) {
    demand.mPeersKnown = true;
    demand.mPeers =
        static_cast<double>(peers->second.mDemandThousandths) / kThousandths;
  }
  return demand;
}

std::int64_t RelayContext::StartOf(const std::string& aInstance) const {
  const UpstreamRecord* record = mRegistry.Find(aInstance);
  return record == nullptr ? 0 : record->mStart;
}

bool RelayContext::KnowsService(const std::string& aService) const {
  return mTable == nullptr ||
         mTable->Configuration().FindService(aService) != nullptr;
}

bool RelayContext::IsStartingUp() const {
  return SteadyNow() - mStartedAt < kStartUpWaits * mOptions.mStartWait;
}

void RelayContext::ApplyUpdate(const TrafficUpdate& aUpdate) {
  const std::int64_t current = mTable == nullptr ? 0 : mTable->Version();
  const bool isBasedOnCurrent =
      aUpdate.mBaseVersion == 0 || aUpdate.mBaseVersion == current;
  if (aUpdate.mVersion <= current || !isBasedOnCurrent) {
    return;
  }
  const TrafficConfiguration* base =
      mTable == nullptr ? nullptr : &mTable->Configuration();
  mTable =
      std::make_shared<const RouteTable>(ApplyTrafficUpdate(base, aUpdate));
  mCounters.Set("traffic_version", mTable->Version());
  LogLine(LogLevel::kInfo, "configuration_in_force")
      .Add("version", static_cast<Json::Int64>(mTable->Version()))
      .Add("before", static_cast<Json::Int64>(current));
}

void RelayContext::AddLoad(const std::string& aInstance, int aRequests,
                           double aTokenLayers, int aFirstStageRequests) {
  LoadShare& load = mLocalLoads[aInstance];
  load.mInstance = aInstance;
  load.mRequests += aRequests;
  load.mTokenLayers += std::llround(aTokenLayers);
  load.mFirstStageRequests += aFirstStageRequests;
  if (load.mRequests <= 0) {
    mLocalLoads.erase(aInstance);
  }
}

void RelayContext::AddPrefill(const std::string& aInstance,
                              double aTokenLayers) {
  const auto it = mLocalLoads.find(aInstance);
  if (it != mLocalLoads.end()) {
    it->second.mPrefillTokenLayers = std::max<std::int64_t>(
        0, it->second.mPrefillTokenLayers + std::llround(aTokenLayers));
  }
}

EngineLoad RelayContext::LoadOf(const std::string& aInstance) const {
  EngineLoad load{.mSlowdown = mSlowdowns.SlowdownOf(aInstance)};
  for (const auto* loads : {&mLocalLoads, &mPeerLoads}) {
    const auto it = loads->find(aInstance);
    if (it != loads->end()) {
      const LoadShare& share = it->second;
      load.mRequests += static_cast<double>(share.mRequests);
      load.mTokenLayers += static_cast<double>(share.mTokenLayers);
      load.mFirstStageRequests +=
          static_cast<double>(share.mFirstStageRequests);
      load.mPrefillTokenLayers +=
          static_cast<double>(share.mPrefillTokenLayers);
    }
  }
  return load;
}

LoadShares RelayContext::LocalLoads() const {
  LoadShares loads = mLocalLoads;
  const Millis now = SteadyNow();
  for (const auto& [instance, history] : mHistories) {
    // For an upstream of another zone, the link may have failed rather than the
    // upstream.
    const UpstreamRecord* record = mRegistry.Find(instance);
    const bool isLocal = record != nullptr && record->mZone == mOptions.mZone;
    if (isLocal && now < history.mUnreachableUntil) {
      loads[instance].mInstance = instance;
      loads[instance].mUnreachableReporters = 1;
    }
  }
  mSlowdowns.AddReports(loads, now);
  mLimits.AddReport(loads, now);
  return loads;
}

void RelayContext::SetPeerLoads(LoadShares aLoads, Millis aAsOf) {
  mPeerLoads = std::move(aLoads);
  mPeerLoadsAsOf = aAsOf;
  mSlowdowns.ApplyPeerReports(mPeerLoads, SteadyNow());
  mLimits.ApplyPeerReports(mPeerLoads, SteadyNow());
}

void RelayContext::ClearPeerLoads() {
  mPeerLoads.clear();
  mSlowdowns.ApplyPeerReports(mPeerLoads, SteadyNow());
}

void RelayContext::RecordSuccess(const std::string& aInstance) {
  const auto it = mHistories.find(aInstance);
  if (it != mHistories.end()) {
    it->second.mFailureShare *= 1 - kOutcomeWeight;
    it->second.mRefusals = 0;
  }
}

void RelayContext::RecordFailure(const std::string& aInstance,
                                 Millis aAvoidFor) {
  UpstreamHistory& history = mHistories[aInstance];
  const Millis now = SteadyNow();
  history.mFailureShare =
      FailureShareOf(aInstance) * (1 - kOutcomeWeight) + kOutcomeWeight;
  history.mFailedAt = now;
  history.mAvoidUntil = std::max(history.mAvoidUntil, now + aAvoidFor);
}

void RelayContext::RecordRefusal(const std::string& aInstance) {
  UpstreamHistory& history = mHistories[aInstance];
  const Millis now = SteadyNow();
  if (now < history.mRefusedUntil) {
    // Requests that were in flight at the same time are refused together and
    // count once.
    return;
  }
  history.mRefusedUntil =
      now +
      std::min(kMaxAvoidAfterRefusals, kAvoidAfterRefusal << history.mRefusals);
  history.mRefusals = std::min(history.mRefusals + 1, kMaxRefusalDoublings);
}

void RelayContext::RecordUnreachable(const std::string& aInstance,
                                     Millis aFor) {
  RecordFailure(aInstance, aFor);
  UpstreamHistory& history = mHistories[aInstance];
  history.mUnreachableUntil = SteadyNow() + aFor;
}

void RelayContext::EndAvoidance(const std::string& aInstance) {
  const auto it = mHistories.find(aInstance);
  if (it != mHistories.end()) {
    it->second.mAvoidUntil = -1;
    it->second.mUnreachableUntil = -1;
  }
}

double RelayContext::FailureShareOf(const std::string& aInstance) const {
  const auto it = mHistories.find(aInstance);
  if (it == mHistories.end() || it->second.mFailedAt < 0) {
    return 0;
  }
  const auto age = static_cast<double>(SteadyNow() - it->second.mFailedAt);
  return it->second.mFailureShare * std::exp2(-age / kFailureHalfLifeMillis);
}

std::set<std::string> RelayContext::HeldUpstreams() {
  const Millis now = SteadyNow();
  std::set<std::string> held = mLimits.HeldUpstreams(now);
  held.merge(mBackoffs.HeldUpstreams(now));
  return held;
}

std::set<std::string> RelayContext::RecentRefusers() const {
  const Millis now = SteadyNow();
  std::set<std::string> refused;
  for (const auto& [instance, history] : mHistories) {
    if (now < history.mRefusedUntil) {
      refused.insert(instance);
    }
  }
  return refused;
}

std::set<std::string> RelayContext::AvoidedInstances() const {
  std::set<std::string> avoided = RecentRefusers();
  const Millis now = SteadyNow();
  for (const auto& [instance, history] : mHistories) {
    if (now < history.mAvoidUntil) {
      avoided.insert(instance);
    }
  }
  for (const auto& [instance, load] : mPeerLoads) {
    if (load.mUnreachableReporters > 0) {
      avoided.insert(instance);
    }
  }
  return avoided;
}

RetryAllowance& RelayContext::RetryAllowanceOf(const std::string& aService) {
  return mRetries.try_emplace(aService, mOptions.mRetries).first->second;
}

InterZoneBudget& RelayContext::InterZoneBudgetOf(const std::string& aService) {
  const InterZoneBudgetOptions options{.mStartedAt = mStartedAt};
  return mInterZoneBudgets.try_emplace(aService, options).first->second;
}

void RelayContext::RecordArrival(const std::string& aService) {
  mServiceRouting[aService].mArrivals.Add(SteadyNow());
}

double RelayContext::ArrivalsOf(const std::string& aService) {
  return mServiceRouting[aService].mArrivals.PerMilli(SteadyNow());
}

void RelayContext::RecordPlainTime(const std::string& aService, Millis aTime) {
  mServiceRouting[aService].mTypicalTime.Record(aTime, SteadyNow());
}

UpstreamOccupancy RelayContext::OccupancyOf(const UpstreamRecord& aRecord,
                                            const PlainServiceQuery& aQuery) {
  ServiceRouting& routing = mServiceRouting[aRecord.mService];
  const Millis now = SteadyNow();
  const auto local = mLocalLoads.find(aRecord.mInstance);
  UpstreamOccupancy occupancy;
  occupancy.mSlots = aRecord.mSlots;
  occupancy.mLocal = local == mLocalLoads.end()
                         ? 0
                         : static_cast<double>(local->second.mRequests);
  occupancy.mPeers = LoadOf(aRecord.mInstance).mRequests - occupancy.mLocal;
  occupancy.mBodyBytes = static_cast<double>(aQuery.mBodyBytes);
  occupancy.mLocalBytes = occupancy.mLocal * occupancy.mBodyBytes;
  occupancy.mRouters = Routers();
  occupancy.mLocalRate =
      routing.mArrivals.PerMilliExcluding(aQuery.mArrivedAt, now) /
      static_cast<double>(std::max<std::size_t>(1, aQuery.mUpstreams));
  const Millis expected = aQuery.mTarget > 0
                              ? std::min(aQuery.mTarget, kDefaultAnswerTime)
                              : kDefaultAnswerTime;
  occupancy.mTypicalTime = routing.mTypicalTime.At(expected, now);
  occupancy.mPeerReportAge = std::min(kMaxPeerReportAge, PeerLoadsAge());
  return occupancy;
}

void RelayContext::UpdateRouterCount(int aRouters,
                                     const std::string& aReportedBy) {
  const int before = Routers();
  mRouters.OnReport(aRouters, SteadyNow());
  if (Routers() != before) {
    LogLine(LogLevel::kInfo, "routers_known")
        .Add("routers", Routers())
        .Add("before", before)
        .Add("by", aReportedBy);
  }
}

const std::vector<const UpstreamRecord*>& RelayContext::ReadyEngines(
    const std::string& aService) {
  ServiceRouting& routing = mServiceRouting[aService];
  if (routing.mReadyRevision != mRegistry.LastChangeRevision()) {
    routing.mReadyRevision = mRegistry.LastChangeRevision();
    routing.mReady = mRegistry.OfService(aService);
    std::erase_if(routing.mReady, [](const UpstreamRecord* aRecord) {
      return aRecord->mState != UpstreamState::kReady;
    });
  }
  return routing.mReady;
}

PathResult RelayContext::ChoosePathFor(const std::string& aService,
                                       const PathQuery& aQuery) {
  ServiceRouting& routing = mServiceRouting[aService];
  const Millis now = SteadyNow();
  const double peers = Routers() - 1;
  const Millis age = std::min(kMaxPeerReportAge, PeerLoadsAge());
  const double unreported =
      peers * routing.mArrivals.PerMilli(now) * static_cast<double>(age);
  PathResult answer = routing.mChooser.Choose(
      aQuery, {.mUnreportedRequests = std::max(
                   unreported, mAdmission->UnreportedRequests(aService)),
               .mRevision = mRegistry.Revision() + mSlowdowns.Revision(),
               .mNow = now});
  mCounters.Add("paths", answer.mPath.empty()    ? "way=\"none\""
                         : answer.mDrawnByWeight ? "way=\"dealt\""
                                                 : "way=\"cheapest\"");
  return answer;
}

double RelayContext::Random() {
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

}  // namespace spindleweir
