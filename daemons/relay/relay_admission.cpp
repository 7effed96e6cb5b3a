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
  const bool told = now - mContext.LoadsAge() > mOpenedAt;
  mOpening = mContext.Starting() && !told;
  return mOpening;
}

std::vector<const UpstreamRecord*> RelayAdmission::Engines(
    const TrafficService& aService, bool& aOwnZone) {
  std::vector<const UpstreamRecord*> near;
  const std::vector<const UpstreamRecord*>& all =
      mContext.ReadyEngines(aService.mName);
  for (const UpstreamRecord* engine : all) {
    if (engine->mZone == mContext.mOptions.mZone) {
      near.push_back(engine);
    }
  }
  aOwnZone = ReadingCapacity(aService.mEngine, near) > 0;
  return aOwnZone ? near : all;
}

double RelayAdmission::Sharers(const TrafficService& aService, bool aOwnZone) {
  std::set<std::string> zones;
  for (const UpstreamRecord* engine : mContext.ReadyEngines(aService.mName)) {
    zones.insert(engine->mZone);
  }
  const double parts =
      aOwnZone ? static_cast<double>(std::max<std::size_t>(1, zones.size()))
               : 1;
  return std::max(1.0, mContext.mRouters / parts);
}

StartDecision RelayAdmission::Ask(const void* aRequest,
                                  const TrafficService& aService,
                                  const StartRequest& aFacts) {
  Gate& gate = mGates[aService.mName];
  bool ownZone = false;
  const std::vector<const UpstreamRecord*> engines = Engines(aService, ownZone);
  gate.mStart.SetShare(ReadingCapacity(aService.mEngine, engines) /
                       Sharers(aService, ownZone));
  const StartDecision decision = gate.mStart.Ask(aRequest, aFacts, SteadyNow());
  if (decision.mVerdict == StartVerdict::kWait) {
    gate.mWaiting.insert(aRequest);
    return decision;
  }
  gate.mWaiting.erase(aRequest);
  gate.mBegun += decision.mVerdict == StartVerdict::kGo ? 1 : 0;
  return decision;
}

void RelayAdmission::Leave(const void* aRequest) {
  for (auto& [service, gate] : mGates) {
    gate.mStart.Leave(aRequest);
    gate.mWaiting.erase(aRequest);
  }
}

double RelayAdmission::Unseen(const std::string& aService) {
  const auto it = mGates.find(aService);
  if (it == mGates.end() || !Opening()) {
    return 0;
  }
  // As many as here at each of the others.
  return (mContext.mRouters - 1) *
         (it->second.mBegun + static_cast<double>(it->second.mWaiting.size()));
}

void RelayAdmission::Came(const std::string& aRoute, Millis aDeadline) {
  mFirstDeadlines[aRoute].Came(aDeadline);
}

bool RelayAdmission::HasComeBack(const std::string& aRoute,
                                 Millis aDeadline) const {
  const auto it = mFirstDeadlines.find(aRoute);
  return it != mFirstDeadlines.end() && it->second.HasComeBack(aDeadline);
}

void RelayAdmission::Measure(const TrafficService& aService, Gate& aGate) {
  const std::int64_t change = mContext.mRegistry.NewestChange();
  if (aGate.mCarriedOf == change) {
    return;
  }
  aGate.mCarriedOf = change;
  bool ownZone = false;
  const std::vector<const UpstreamRecord*> engines = Engines(aService, ownZone);
  aGate.mCarried = 0;
  for (const SharedPath& path : DividePaths(aService.mEngine, engines)) {
    aGate.mCarried += path.Rate() / Sharers(aService, ownZone);
  }
  if (aGate.mCarried > 0) {
    aGate.mLostAt = -1;
  } else if (aGate.mLostAt < 0) {
    aGate.mLostAt = SteadyNow();
  }
}

Millis RelayAdmission::LoadLeft(const TrafficService& aService, Gate& aGate) {
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
  ReturnQuestion& question = advice.mQuestion;
  question.mNow = SteadyNow();
  question.mLeft = aLeft;
  question.mRandom = mContext.Random();
  question.mFreeAfter =
      aCause == ReturnCause::kNoLease ? kLeaseBack : kPlainFree;
  if (aCause == ReturnCause::kFull && aService != nullptr &&
      aService->IsEngine()) {
    Measure(*aService, gate);
    question.mFreePerMilli =
        std::max(0.0, gate.mCarried - mContext.ArrivalsOf(aService->mName));
    question.mFreeAfter =
        gate.mCarried > 0 ? kPlainFree : LoadLeft(*aService, gate);
  }
  advice.mAnswer = gate.mReturns.Tell(question);
  advice.mExpected = gate.mReturns.Expected(question.mNow);
  return advice;
}

}  // namespace spindleweir
