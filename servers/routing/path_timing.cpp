#include "spindleweir/servers/routing/path_timing.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// On average a token waits at each engine for half of the running pass before
/// its own pass begins.
constexpr double kPassWaitFactor = 1.5;
/// Share of an engine's requests that run in the same pass.
constexpr double kSharedPassShare = 0.15;
/// An event is late if it takes this many times as long as estimated. Events of
/// healthy paths take up to this under load and during the prefill of other
/// requests.
constexpr double kLateFactor = 1.8;
/// Lower bounds of the timeouts, in milliseconds: event loop turns of the
/// router and network delays can add this much.
constexpr Millis kMinGapTimeout = 100;
constexpr Millis kMinFirstTimeout = 150;
/// A path is suspected at this share of the target at the latest, which leaves
/// time for a poll (10 ms) and a move (50 to 100 ms).
constexpr double kSuspectShare = 0.6;
/// Targets if the route sets none.
constexpr Millis kDefaultFirstTarget = 1000;
constexpr Millis kDefaultPauseTarget = 500;
/// Maximum ratio of new to current token time for a move, since a move repeats
/// the prefill of all tokens so far.
constexpr double kMaxMoveRatio = 0.7;

Millis StallTimeoutOf(double aExpected, Millis aMin, Millis aTarget,
                      Millis aDefaultTarget) {
  const double max =
      kSuspectShare *
      static_cast<double>(aTarget > 0 ? aTarget : aDefaultTarget);
  const auto late = static_cast<Millis>(std::min(max, aExpected * kLateFactor));
  return std::max(aMin, late);
}

}  // namespace

PathTiming EstimateTiming(const PathQuery& aQuery, const LayerPath& aPath) {
  PathTiming timing;
  const std::string* zone = nullptr;
  for (const PathStage& stage : aPath) {
    const auto it = std::find_if(aQuery.mEngines.begin(), aQuery.mEngines.end(),
                                 [&stage](const UpstreamRecord* aRecord) {
                                   return aRecord->mInstance == stage.mInstance;
                                 });
    const AcceleratorKind* kind = it == aQuery.mEngines.end()
                                      ? nullptr
                                      : aQuery.mProfile->FindKind((*it)->mKind);
    if (kind == nullptr) {
      continue;
    }
    const EngineModel model(*aQuery.mProfile, *kind);
    const EngineLoad load = aQuery.mLoadOf(stage.mInstance);
    const int layers = stage.mLayers.Count();
    const double requestsPerPass = 1 + load.mRequests * kSharedPassShare;
    const double step = model.StepMillis(
        layers, {.mDecodingRequests = requestsPerPass,
                 .mContextTokens = requestsPerPass * aQuery.mTokens});
    const double prefill = model.PrefillMillis(layers, aQuery.mPrefillTokens) +
                           model.PrefillMillis(1, 1) * load.mPrefillTokenLayers;
    const bool crossesZones = zone != nullptr && *zone != (*it)->mZone;
    zone = &(*it)->mZone;
    timing.mTokenMillis += step * kPassWaitFactor * load.mSlowdown +
                           HopMillis(*aQuery.mProfile, crossesZones);
    timing.mFirstTokenMillis += prefill * load.mSlowdown;
  }
  timing.mFirstTokenMillis += timing.mTokenMillis;
  return timing;
}

StreamStallTimeouts StallTimeoutsOf(const PathTiming& aTiming, double aTokens,
                                    const StreamTargets& aTargets) {
  return {
      .mFirstEvent = StallTimeoutOf(aTiming.mFirstTokenMillis, kMinFirstTimeout,
                                    aTargets.mFirstEvent, kDefaultFirstTarget),
      .mGap = StallTimeoutOf(aTiming.mTokenMillis * aTokens, kMinGapTimeout,
                             aTargets.mPause, kDefaultPauseTarget)};
}

bool IsMoveWorthwhile(const PathTiming& aCurrent, const PathTiming& aOther) {
  return aOther.mTokenMillis < aCurrent.mTokenMillis * kMaxMoveRatio;
}

bool IsTooSlow(const PathTiming& aTiming, double aTokens,
               const StreamTargets& aTargets) {
  const auto pause = static_cast<double>(
      aTargets.mPause > 0 ? aTargets.mPause : kDefaultPauseTarget);
  return aTiming.mTokenMillis * aTokens > kSuspectShare * pause;
}

}  // namespace spindleweir
