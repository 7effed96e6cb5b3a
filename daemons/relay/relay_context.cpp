#include "daemons/relay/relay_context.h"

#include <algorithm>
#include <cmath>

#include "daemons/relay/planned_stop.h"
#include "daemons/relay/relay_admission.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// How much one outcome moves the share of failures.
constexpr double kOutcomeWeight = 0.2;
/// Failures count half after this time.
constexpr double kFailureHalfLife = 3000;
/// A start lasts this many times as long as a request waits for it: control
/// elects a leader and hears each upstream once meanwhile.
constexpr Millis kStartWaits = 2;
/// Loads of others are forgotten at this age; what comes and goes in a longer
/// time has mostly ended.
constexpr Millis kOldestNews = 2500;
/// Paths are divided anew this often: until then those of before may lead over
/// layers that an engine held before it started again.
constexpr Millis kPathsDividedAnew = 300;
/// A plain service is taken to answer within this time while no answer came
/// lately, or within its route's target where that is shorter: the target is
/// what callers bear, many times what a call takes.
constexpr Millis kExpectedTime = 100;
/// Of its requests a router sends this part to an upstream of another zone,
/// where one of its own zone may not be sent to.
constexpr double kToOtherZones = 0.1;
constexpr double kMillisPerSecond = 1000;
constexpr double kThousandths = 1000;
/// An upstream that refused is left alone for so long, twice as long each time
/// that it refuses again after it, up to a bound.
constexpr Millis kAvoidAfterRefusal = 300;
constexpr Millis kMostAfterRefusals = 3000;
constexpr int kMostDoublings = 4;

MemoryBudgetOptions MemoryOf(const RelayOptions& aOptions) {
  MemoryBudgetOptions options =
      MemoryBudgetOptions::ForMemory(aOptions.mMemoryBytes);
  options.mMaxDescriptors = aOptions.mDescriptors;
  if (aOptions.mWindow > 0) {
    options.mSocketBuffer = aOptions.mWindow;
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
      mStopIntake({.mGrace = PlannedStop::GraceOf(mOptions)}),
      mOtherLoadsTrueAt(SteadyNow()),
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
  mExperience.erase(instance);
  mExperience[instance].mAvoidUntil = SteadyNow() + kPathsDividedAnew;
  mOtherLoads.erase(instance);
  mPaces.Forget(instance);
  mLimits.Forget(instance);
  mRests.Forget(instance);
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
    const bool near = record->mZone == mOptions.mZone;
    demand.mLocal = ArrivalsOf(record->mService) * kMillisPerSecond *
                    (near ? 1 : kToOtherZones);
  }
  const auto others = mOtherLoads.find(aInstance);
  if (others != mOtherLoads.end()) {
    demand.mPeersKnown = true;
    demand.mPeers =
        static_cast<double>(others->second.mDemandThousandths) / kThousandths;
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

bool RelayContext::Starting() const {
  return SteadyNow() - mStartedAt < kStartWaits * mOptions.mStartWait;
}

void RelayContext::Accept(const TrafficUpdate& aNews) {
  const std::int64_t held = mTable == nullptr ? 0 : mTable->Version();
  const bool follows = aNews.mBaseVersion == 0 || aNews.mBaseVersion == held;
  if (aNews.mVersion <= held || !follows) {
    return;
  }
  const TrafficConfiguration* base =
      mTable == nullptr ? nullptr : &mTable->Configuration();
  mTable = std::make_shared<const RouteTable>(ApplyTrafficUpdate(base, aNews));
  mCounters.Set("traffic_version", mTable->Version());
  LogLine(LogLevel::kInfo, "configuration_in_force")
      .Add("version", static_cast<Json::Int64>(mTable->Version()))
      .Add("before", static_cast<Json::Int64>(held));
}

void RelayContext::AddLoad(const std::string& aInstance, int aRequests,
                           double aTokenLayers, int aFirsts) {
  LoadShare& load = mOwnLoads[aInstance];
  load.mInstance = aInstance;
  load.mRequests += aRequests;
  load.mTokenLayers += std::llround(aTokenLayers);
  load.mFirstStageRequests += aFirsts;
  if (load.mRequests <= 0) {
    mOwnLoads.erase(aInstance);
  }
}

void RelayContext::AddReading(const std::string& aInstance,
                              double aTokenLayers) {
  const auto it = mOwnLoads.find(aInstance);
  if (it != mOwnLoads.end()) {
    it->second.mPrefillTokenLayers = std::max<std::int64_t>(
        0, it->second.mPrefillTokenLayers + std::llround(aTokenLayers));
  }
}

EngineLoad RelayContext::LoadOf(const std::string& aInstance) const {
  EngineLoad load{.mSlowdown = mPaces.SlowdownOf(aInstance)};
  for (const auto* loads : {&mOwnLoads, &mOtherLoads}) {
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

LoadShares RelayContext::OwnLoads() const {
  LoadShares loads = mOwnLoads;
  const Millis now = SteadyNow();
  for (const auto& [instance, experience] : mExperience) {
    // Of another zone it may be the link that is lost, not the upstream.
    const UpstreamRecord* record = mRegistry.Find(instance);
    const bool near = record != nullptr && record->mZone == mOptions.mZone;
    if (near && now < experience.mUnreachableUntil) {
      loads[instance].mInstance = instance;
      loads[instance].mUnreachableReporters = 1;
    }
  }
  mPaces.AddReports(loads, now);
  mLimits.AddReport(loads, now);
  return loads;
}

void RelayContext::SetOtherLoads(LoadShares aLoads, Millis aTrueAt) {
  mOtherLoads = std::move(aLoads);
  mOtherLoadsTrueAt = aTrueAt;
  mPaces.ApplyPeerReports(mOtherLoads, SteadyNow());
  mLimits.ApplyPeerReports(mOtherLoads, SteadyNow());
}

void RelayContext::ForgetOtherLoads() {
  mOtherLoads.clear();
  mPaces.ApplyPeerReports(mOtherLoads, SteadyNow());
}

void RelayContext::Succeeded(const std::string& aInstance) {
  const auto it = mExperience.find(aInstance);
  if (it != mExperience.end()) {
    it->second.mFailures *= 1 - kOutcomeWeight;
    it->second.mRefusals = 0;
  }
}

void RelayContext::Failed(const std::string& aInstance, Millis aAvoidFor) {
  UpstreamExperience& experience = mExperience[aInstance];
  const Millis now = SteadyNow();
  experience.mFailures =
      FailuresOf(aInstance) * (1 - kOutcomeWeight) + kOutcomeWeight;
  experience.mFailedAt = now;
  experience.mAvoidUntil = std::max(experience.mAvoidUntil, now + aAvoidFor);
}

void RelayContext::Refused(const std::string& aInstance) {
  UpstreamExperience& experience = mExperience[aInstance];
  const Millis now = SteadyNow();
  if (now < experience.mRefusedUntil) {
    // Requests that were under way together are refused together.
    return;
  }
  experience.mRefusedUntil =
      now +
      std::min(kMostAfterRefusals, kAvoidAfterRefusal << experience.mRefusals);
  experience.mRefusals = std::min(experience.mRefusals + 1, kMostDoublings);
}

void RelayContext::Unreachable(const std::string& aInstance, Millis aFor) {
  Failed(aInstance, aFor);
  UpstreamExperience& experience = mExperience[aInstance];
  experience.mUnreachableUntil = SteadyNow() + aFor;
}

double RelayContext::FailuresOf(const std::string& aInstance) const {
  const auto it = mExperience.find(aInstance);
  if (it == mExperience.end() || it->second.mFailedAt < 0) {
    return 0;
  }
  const auto age = static_cast<double>(SteadyNow() - it->second.mFailedAt);
  return it->second.mFailures * std::exp2(-age / kFailureHalfLife);
}

std::set<std::string> RelayContext::HeldBack() {
  const Millis now = SteadyNow();
  std::set<std::string> held = mLimits.HeldUpstreams(now);
  held.merge(mRests.HeldUpstreams(now));
  return held;
}

std::set<std::string> RelayContext::RefusedLately() const {
  const Millis now = SteadyNow();
  std::set<std::string> refused;
  for (const auto& [instance, experience] : mExperience) {
    if (now < experience.mRefusedUntil) {
      refused.insert(instance);
    }
  }
  return refused;
}

std::set<std::string> RelayContext::Avoided() const {
  std::set<std::string> avoided = RefusedLately();
  const Millis now = SteadyNow();
  for (const auto& [instance, experience] : mExperience) {
    if (now < experience.mAvoidUntil) {
      avoided.insert(instance);
    }
  }
  for (const auto& [instance, load] : mOtherLoads) {
    if (load.mUnreachableReporters > 0) {
      avoided.insert(instance);
    }
  }
  return avoided;
}

RetryAllowance& RelayContext::RetriesOf(const std::string& aService) {
  RetryAllowanceOptions options = mOptions.mRetries;
  options.mStartedAt = mStartedAt;
  return mRetries.try_emplace(aService, options).first->second;
}

InterZoneBudget& RelayContext::PipeOf(const std::string& aService) {
  return mPipes.try_emplace(aService, InterZoneBudgetOptions{}).first->second;
}

void RelayContext::PathAsked(const std::string& aService) {
  mPaths[aService].mArrivals.Add(SteadyNow());
}

double RelayContext::ArrivalsOf(const std::string& aService) {
  return mPaths[aService].mArrivals.PerMilli(SteadyNow());
}

void RelayContext::RecordPlainTime(const std::string& aService, Millis aTime) {
  mPaths[aService].mUsualTime.Record(aTime, SteadyNow());
}

UpstreamOccupancy RelayContext::OccupancyOf(const UpstreamRecord& aRecord,
                                            const PlainQuestion& aQuestion) {
  ServicePaths& paths = mPaths[aRecord.mService];
  const Millis now = SteadyNow();
  const auto own = mOwnLoads.find(aRecord.mInstance);
  UpstreamOccupancy occupancy;
  occupancy.mSlots = aRecord.mSlots;
  occupancy.mLocal =
      own == mOwnLoads.end() ? 0 : static_cast<double>(own->second.mRequests);
  occupancy.mPeers = LoadOf(aRecord.mInstance).mRequests - occupancy.mLocal;
  occupancy.mBodyBytes = static_cast<double>(aQuestion.mBodyBytes);
  occupancy.mLocalBytes = occupancy.mLocal * occupancy.mBodyBytes;
  occupancy.mRouters = Routers();
  occupancy.mLocalRate =
      paths.mArrivals.PerMilliExcluding(aQuestion.mArrivedAt, now) /
      static_cast<double>(std::max<std::size_t>(1, aQuestion.mUpstreams));
  const Millis expected = aQuestion.mTarget > 0
                              ? std::min(aQuestion.mTarget, kExpectedTime)
                              : kExpectedTime;
  occupancy.mTypicalTime = paths.mUsualTime.At(expected, now);
  occupancy.mPeerReportAge = std::min(kOldestNews, LoadsAge());
  return occupancy;
}

void RelayContext::TakeRouters(int aRouters, const std::string& aToldBy) {
  const int before = Routers();
  mRouters.OnReport(aRouters, SteadyNow());
  if (Routers() != before) {
    LogLine(LogLevel::kInfo, "routers_known")
        .Add("routers", Routers())
        .Add("before", before)
        .Add("by", aToldBy);
  }
}

const std::vector<const UpstreamRecord*>& RelayContext::ReadyEngines(
    const std::string& aService) {
  ServicePaths& paths = mPaths[aService];
  if (paths.mReadyOf != mRegistry.LastChangeRevision()) {
    paths.mReadyOf = mRegistry.LastChangeRevision();
    paths.mReady = mRegistry.OfService(aService);
    std::erase_if(paths.mReady, [](const UpstreamRecord* aRecord) {
      return aRecord->mState != UpstreamState::kReady;
    });
  }
  return paths.mReady;
}

PathResult RelayContext::ChoosePathOf(const std::string& aService,
                                      const PathQuery& aQuestion) {
  ServicePaths& paths = mPaths[aService];
  const Millis now = SteadyNow();
  const double others = Routers() - 1;
  const Millis age = std::min(kOldestNews, LoadsAge());
  const double sinceNews =
      others * paths.mArrivals.PerMilli(now) * static_cast<double>(age);
  PathResult answer = paths.mChoice.Choose(
      aQuestion, {.mUnreportedRequests = std::max(
                      sinceNews, mAdmission->UnreportedRequests(aService)),
                  .mRevision = mRegistry.Revision() + mPaces.Revision(),
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
