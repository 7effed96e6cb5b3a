#include "spindleweir/servers/routing/path_timing.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A token waits at each engine for half of the pass that is under way.
constexpr double kPassWaitFactor = 1.5;
/// Of the requests that an engine has, this part is in one pass with another.
constexpr double kSharedPassShare = 0.15;
/// An event is late for its path when it takes so many times what the model
/// says: under load and with prompts being read in between, events of sound
/// paths take up to this.
constexpr double kLateFactor = 1.8;
/// And in no less time than this, milliseconds: what a router's own turns and
/// a link's delays may add.
constexpr Millis kMinGapTimeout = 100;
constexpr Millis kMinFirstTimeout = 150;
/// Suspicion comes at this part of what a caller bears at the latest, so that
/// time is left for a question, 10 ms, and a move, 50 to 100 ms.
constexpr double kSuspectShare = 0.6;
/// What a caller bears where its route says nothing.
constexpr Millis kDefaultFirstTarget = 1000;
constexpr Millis kDefaultPauseTarget = 500;
/// A move has all tokens so far read again: for less it isn't worth it.
constexpr double kMaxMoveRatio = 0.7;

Millis StallTimeoutOf(double aExpected, Millis aMin, Millis aTargets,
                      Millis aDefaultTarget) {
  const double most =
      kSuspectShare *
      static_cast<double>(aTargets > 0 ? aTargets : aDefaultTarget);
  const auto late =
      static_cast<Millis>(std::min(most, aExpected * kLateFactor));
  return std::max(aMin, late);
}

}  // namespace

PathTiming EstimateTiming(const PathQuery& aQuery, const LayerPath& aPath) {
  PathTiming pace;
  const std::string* zone = nullptr;
  for (const PathStage& part : aPath) {
    const auto it = std::find_if(aQuery.mEngines.begin(), aQuery.mEngines.end(),
                                 [&part](const UpstreamRecord* aRecord) {
                                   return aRecord->mInstance == part.mInstance;
                                 });
    const AcceleratorKind* kind = it == aQuery.mEngines.end()
                                      ? nullptr
                                      : aQuery.mProfile->FindKind((*it)->mKind);
    if (kind == nullptr) {
      continue;
    }
    const EngineModel model(*aQuery.mProfile, *kind);
    const EngineLoad load = aQuery.mLoadOf(part.mInstance);
    const int layers = part.mLayers.Count();
    const double together = 1 + load.mRequests * kSharedPassShare;
    const double step = model.StepMillis(
        layers,
        {.mWriters = together, .mContextTokens = together * aQuery.mTokens});
    const double read = model.ReadMillis(layers, aQuery.mPrefillTokens) +
                        model.ReadMillis(1, 1) * load.mPrefillTokenLayers;
    const bool other = zone != nullptr && *zone != (*it)->mZone;
    zone = &(*it)->mZone;
    pace.mTokenMillis += step * kPassWaitFactor * load.mSlowdown +
                         HopMillis(*aQuery.mProfile, other);
    pace.mFirstTokenMillis += read * load.mSlowdown;
  }
  pace.mFirstTokenMillis += pace.mTokenMillis;
  return pace;
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
