#include "daemons/relay/relay_admission.h"

#include <algorithm>

#include "spindleweir/servers/routing/path_shares.h"

namespace spindleweir {

namespace {

/// A lease that ran out comes back with control, which elects a leader within
/// 0.7 s; until then the balancer notices that this router is not ready.
constexpr Millis kLeaseBack = 1200;
/// From the loss of a path until the order to load its layers has arrived.
constexpr Millis kOrderTakes = 700;
/// A service whose places are not modelled comes free within this time.
constexpr Millis kPlainFree = 300;
constexpr Millis kLeastLeft = 500;
/// What engines read and carry is found anew at most this often: each request
/// that waits asks 20 times a second, and each that is refused once.
constexpr Millis kMeasureReading = 200;
constexpr Millis kMeasureCarried = 1000;

}  // namespace

bool RelayAdmission::Opening() {
  if (!mOpening) {
    return false;
  }
  const Millis now = SteadyNow();
  if (mOpenedAt < 0) {
    mOpenedAt = now;
  }
  // What others let in at their opening stands in loads that are newer.
  const bool known = now - mContext.LoadsAge() > mOpenedAt;
  mOpening = mContext.Starting() && !known;
  return mOpening;
}

void RelayAdmission::MeasureReading(const TrafficService& aService,
                                    Gate& aGate) {
  Reading& reading = aGate.mReading;
  const Millis now = SteadyNow();
  if (reading.mMeasuredAt >= 0 && now - reading.mMeasuredAt < kMeasureReading) {
    return;
  }
  reading.mMeasuredAt = now;
  const std::vector<const UpstreamRecord*>& all =
      mContext.ReadyEngines(aService.mName);
  std::vector<const UpstreamRecord*> near;
  std::set<std::string_view> zones;
  for (const UpstreamRecord* engine : all) {
    zones.insert(engine->mZone);
    if (engine->mZone == mContext.mOptions.mZone) {
      near.push_back(engine);
    }
  }
  reading.mPerMilli = ReadingCapacity(aService.mEngine, near);
  reading.mParts = static_cast<double>(std::max<std::size_t>(1, zones.size()));
  reading.mOwnZone = reading.mPerMilli > 0;
  if (!reading.mOwnZone) {
    reading.mPerMilli = ReadingCapacity(aService.mEngine, all);
    reading.mParts = 1;
  }
}

double RelayAdmission::Sharers(const Gate& aGate) const {
  return std::max(1.0, mContext.Routers() / aGate.mReading.mParts);
}

WarmUpDecision RelayAdmission::Ask(const void* aRequest,
                                   const TrafficService& aService,
                                   const WarmUpRequest& aFacts) {
  Gate& gate = mGates[aService.mName];
  MeasureReading(aService, gate);
  gate.mStart.SetShare(gate.mReading.mPerMilli / Sharers(gate));
  const WarmUpDecision decision =
      gate.mStart.TryAdmit(aRequest, aFacts, SteadyNow());
  if (decision.mVerdict == WarmUpVerdict::kWait) {
    gate.mWaiting.insert(aRequest);
    return decision;
  }
  gate.mWaiting.erase(aRequest);
  gate.mBegun += decision.mVerdict == WarmUpVerdict::kAdmit ? 1 : 0;
  return decision;
}

void RelayAdmission::Leave(const void* aRequest) {
  for (auto& [service, gate] : mGates) {
    gate.mStart.Withdraw(aRequest);
    gate.mWaiting.erase(aRequest);
  }
}

double RelayAdmission::UnreportedRequests(const std::string& aService) {
  const auto it = mGates.find(aService);
  if (it == mGates.end() || !Opening()) {
    return 0;
  }
  // As many as here at each of the others.
  return (mContext.Routers() - 1) *
         (it->second.mBegun + static_cast<double>(it->second.mWaiting.size()));
}

void RelayAdmission::RecordDeadline(const std::string& aRoute,
                                    Millis aDeadline) {
  mFirstDeadlines[aRoute].Record(aDeadline);
}

bool RelayAdmission::IsLikelyRetry(const std::string& aRoute,
                                   Millis aDeadline) const {
  const auto it = mFirstDeadlines.find(aRoute);
  return it != mFirstDeadlines.end() && it->second.IsLikelyRetry(aDeadline);
}

void RelayAdmission::MeasureCarried(const TrafficService& aService,
                                    Gate& aGate) {
  const Millis now = SteadyNow();
  if (aGate.mCarriedAt >= 0 && now - aGate.mCarriedAt < kMeasureCarried) {
    return;
  }
  aGate.mCarriedAt = now;
  MeasureReading(aService, aGate);
  const std::string& zone = mContext.mOptions.mZone;
  EngineSample sample = SampleEngines(mContext.ReadyEngines(aService.mName),
                                      zone, SampleScope::kLocalZone,
                                      [this] { return mContext.Random(); });
  if (aGate.mReading.mOwnZone) {
    std::erase_if(sample.mEngines, [&zone](const UpstreamRecord* aEngine) {
      return aEngine->mZone != zone;
    });
  }
  aGate.mCarried = 0;
  const auto paceOf = [this](const std::string& aInstance) {
    return mContext.mPaces.SlowdownOf(aInstance);
  };
  for (const PathShare& path :
       DividePaths(aService.mEngine, sample.mEngines, paceOf)) {
    aGate.mCarried += path.Rate() / sample.mShare / Sharers(aGate);
  }
  if (aGate.mCarried > 0) {
    aGate.mLostAt = -1;
  } else if (aGate.mLostAt < 0) {
    aGate.mLostAt = SteadyNow();
  }
}

Millis RelayAdmission::LoadingTimeLeft(const TrafficService& aService,
                                       Gate& aGate) {
  // The most layers that one engine holds: it loads as many at most.
  int layers = 0;
  for (const UpstreamRecord* engine : mContext.ReadyEngines(aService.mName)) {
    layers = std::max(layers, engine->mLayers.Count());
  }
  const EngineProfile& profile = aService.mEngine;
  const double share = static_cast<double>(layers) / profile.mLayers;
  constexpr double kMillisPerSecond = 1000;
  const auto load =
      static_cast<Millis>(share * profile.mLoadSeconds * kMillisPerSecond);
  const Millis since = SteadyNow() - aGate.mLostAt;
  return std::max(kLeastLeft, kOrderTakes + load - since);
}

ReturnAdvice RelayAdmission::Return(const TrafficService* aService,
                                    ReturnCause aCause, Millis aLeft) {
  Gate& gate = mGates[aService == nullptr ? "" : aService->mName];
  ReturnAdvice advice;
  RetryScheduleRequest& question = advice.mQuestion;
  question.mNow = SteadyNow();
  question.mTimeLeft = aLeft;
  question.mRandom = mContext.Random();
  question.mFreeAfter =
      aCause == ReturnCause::kNoLease ? kLeaseBack : kPlainFree;
  if (aCause == ReturnCause::kFull && aService != nullptr &&
      aService->IsEngine()) {
    MeasureCarried(*aService, gate);
    question.mFreePerMilli =
        std::max(0.0, gate.mCarried - mContext.ArrivalsOf(aService->mName));
    question.mFreeAfter =
        gate.mCarried > 0 ? kPlainFree : LoadingTimeLeft(*aService, gate);
  }
  advice.mAnswer = gate.mReturns.Assign(question);
  advice.mCallers = gate.mReturns.ExpectedCallers(question.mNow);
  return advice;
}

}  // namespace spindleweir
