#include "daemons/relay/relay_admission.h"

#include <algorithm>

#include "spindleweir/servers/routing/path_shares.h"

namespace spindleweir {

namespace {

/// An expired lease is renewed once control is back, which elects a leader
/// within 0.7 s. By then the balancer has noticed that this router isn't ready.
constexpr Millis kLeaseRecoveryTime = 1200;
/// Time from the loss of a path until the order to load its layers arrives.
constexpr Millis kLoadOrderTime = 700;
/// A service whose slots aren't modelled has free capacity within this time.
constexpr Millis kDefaultFreeTime = 300;
constexpr Millis kMinLoadingTimeLeft = 500;
/// Minimum intervals between computations of prefill capacity and path rate:
/// each waiting request tries 20 times a second, and each refused request once.
constexpr Millis kPrefillMeasureInterval = 200;
constexpr Millis kPathRateMeasureInterval = 1000;

}  // namespace

bool RelayAdmission::IsWarmingUp() {
  if (!mWarmingUp) {
    return false;
  }
  const Millis now = SteadyNow();
  if (mWarmUpStartedAt < 0) {
    mWarmUpStartedAt = now;
  }
  // The requests that peers admitted during their warm-up are included in loads
  // measured after its start.
  const bool known = now - mContext.PeerLoadsAge() > mWarmUpStartedAt;
  mWarmingUp = mContext.IsStartingUp() && !known;
  return mWarmingUp;
}

void RelayAdmission::MeasurePrefillCapacity(const TrafficService& aService,
                                            ServiceState& aState) {
  PrefillCapacity& prefill = aState.mPrefill;
  const Millis now = SteadyNow();
  if (prefill.mMeasuredAt >= 0 &&
      now - prefill.mMeasuredAt < kPrefillMeasureInterval) {
    return;
  }
  prefill.mMeasuredAt = now;
  const std::vector<const UpstreamRecord*>& all =
      mContext.ReadyEngines(aService.mName);
  std::vector<const UpstreamRecord*> local;
  std::set<std::string_view> zones;
  for (const UpstreamRecord* engine : all) {
    zones.insert(engine->mZone);
    if (engine->mZone == mContext.mOptions.mZone) {
      local.push_back(engine);
    }
  }
  prefill.mTokensPerMilli = ReadingCapacity(aService.mEngine, local);
  prefill.mZoneCount =
      static_cast<double>(std::max<std::size_t>(1, zones.size()));
  prefill.mLocalZoneOnly = prefill.mTokensPerMilli > 0;
  if (!prefill.mLocalZoneOnly) {
    prefill.mTokensPerMilli = ReadingCapacity(aService.mEngine, all);
    prefill.mZoneCount = 1;
  }
}

double RelayAdmission::SharingRouters(const ServiceState& aState) const {
  return std::max(1.0, mContext.Routers() / aState.mPrefill.mZoneCount);
}

WarmUpDecision RelayAdmission::TryAdmit(const void* aRequest,
                                        const TrafficService& aService,
                                        const WarmUpRequest& aFacts) {
  ServiceState& state = mServices[aService.mName];
  MeasurePrefillCapacity(aService, state);
  state.mWarmUp.SetShare(state.mPrefill.mTokensPerMilli /
                         SharingRouters(state));
  const WarmUpDecision decision =
      state.mWarmUp.TryAdmit(aRequest, aFacts, SteadyNow());
  if (decision.mVerdict == WarmUpVerdict::kWait) {
    state.mWaiting.insert(aRequest);
    return decision;
  }
  state.mWaiting.erase(aRequest);
  state.mAdmitted += decision.mVerdict == WarmUpVerdict::kAdmit ? 1 : 0;
  return decision;
}

void RelayAdmission::Withdraw(const void* aRequest) {
  for (auto& [service, state] : mServices) {
    state.mWarmUp.Withdraw(aRequest);
    state.mWaiting.erase(aRequest);
  }
}

double RelayAdmission::UnreportedRequests(const std::string& aService) {
  const auto it = mServices.find(aService);
  if (it == mServices.end() || !IsWarmingUp()) {
    return 0;
  }
  // Assumes that each of the other routers has as many as this one.
  return (mContext.Routers() - 1) *
         (it->second.mAdmitted +
          static_cast<double>(it->second.mWaiting.size()));
}

void RelayAdmission::RecordDeadline(const std::string& aRoute,
                                    Millis aDeadline) {
  mRetryDetectors[aRoute].Record(aDeadline);
}

bool RelayAdmission::IsLikelyRetry(const std::string& aRoute,
                                   Millis aDeadline) const {
  const auto it = mRetryDetectors.find(aRoute);
  return it != mRetryDetectors.end() && it->second.IsLikelyRetry(aDeadline);
}

void RelayAdmission::MeasurePathRate(const TrafficService& aService,
                                     ServiceState& aState) {
  const Millis now = SteadyNow();
  if (aState.mPathRateAt >= 0 &&
      now - aState.mPathRateAt < kPathRateMeasureInterval) {
    return;
  }
  aState.mPathRateAt = now;
  MeasurePrefillCapacity(aService, aState);
  const std::string& zone = mContext.mOptions.mZone;
  EngineSample sample = SampleEngines(mContext.ReadyEngines(aService.mName),
                                      zone, SampleScope::kLocalZone,
                                      [this] { return mContext.Random(); });
  if (aState.mPrefill.mLocalZoneOnly) {
    std::erase_if(sample.mEngines, [&zone](const UpstreamRecord* aEngine) {
      return aEngine->mZone != zone;
    });
  }
  aState.mPathRate = 0;
  const auto slowdownOf = [this](const std::string& aInstance) {
    return mContext.mSlowdowns.SlowdownOf(aInstance);
  };
  for (const PathShare& path :
       DividePaths(aService.mEngine, sample.mEngines, slowdownOf)) {
    aState.mPathRate += path.Rate() / sample.mShare / SharingRouters(aState);
  }
  if (aState.mPathRate > 0) {
    aState.mPathLostAt = -1;
  } else if (aState.mPathLostAt < 0) {
    aState.mPathLostAt = SteadyNow();
  }
}

Millis RelayAdmission::LoadingTimeLeft(const TrafficService& aService,
                                       ServiceState& aState) {
  // An engine loads at most as many layers as the largest engine holds.
  int layers = 0;
  for (const UpstreamRecord* engine : mContext.ReadyEngines(aService.mName)) {
    layers = std::max(layers, engine->mLayers.Count());
  }
  const EngineProfile& profile = aService.mEngine;
  const double share = static_cast<double>(layers) / profile.mLayers;
  constexpr double kMillisPerSecond = 1000;
  const auto load =
      static_cast<Millis>(share * profile.mLoadSeconds * kMillisPerSecond);
  const Millis since = SteadyNow() - aState.mPathLostAt;
  return std::max(kMinLoadingTimeLeft, kLoadOrderTime + load - since);
}

ReturnAdvice RelayAdmission::AdviseReturn(const TrafficService* aService,
                                          ReturnCause aCause, Millis aLeft) {
  ServiceState& state = mServices[aService == nullptr ? "" : aService->mName];
  ReturnAdvice advice;
  RetryScheduleRequest& input = advice.mInput;
  input.mNow = SteadyNow();
  input.mTimeLeft = aLeft;
  input.mRandom = mContext.Random();
  input.mFreeAfter =
      aCause == ReturnCause::kNoLease ? kLeaseRecoveryTime : kDefaultFreeTime;
  if (aCause == ReturnCause::kFull && aService != nullptr &&
      aService->IsEngine()) {
    MeasurePathRate(*aService, state);
    input.mFreePerMilli =
        std::max(0.0, state.mPathRate - mContext.ArrivalsOf(aService->mName));
    input.mFreeAfter = state.mPathRate > 0 ? kDefaultFreeTime
                                           : LoadingTimeLeft(*aService, state);
  }
  advice.mAnswer = state.mRetrySchedule.Assign(input);
  advice.mCallers = state.mRetrySchedule.ExpectedCallers(input.mNow);
  return advice;
}

}  // namespace spindleweir
