#include "spindleweir/servers/routing/path_pace.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A token waits at each engine for half of the pass that is under way.
constexpr double kWaitForPass = 1.5;
/// Of the requests that an engine has, this part is in one pass with another.
constexpr double kTogether = 0.15;
/// An event is late for its path when it takes so many times what the model
/// says: under load and with prompts being read in between, events of sound
/// paths take up to this.
constexpr double kLateFactor = 1.8;
/// And in no less time than this, milliseconds: what a router's own turns and
/// a link's delays may add.
constexpr Millis kLeastGap = 100;
constexpr Millis kLeastFirst = 150;
/// Suspicion comes at this part of what a caller bears at the latest, so that
/// time is left for a question, 10 ms, and a move, 50 to 100 ms.
constexpr double kSuspectAt = 0.6;
/// What a caller bears where its route says nothing.
constexpr Millis kAnyFirst = 1000;
constexpr Millis kAnyPause = 500;
/// A move has all tokens so far read again: for less it isn't worth it.
constexpr double kWorthMoving = 0.7;

Millis Patience(double aExpected, Millis aLeast, Millis aAim, Millis aAny) {
  const double most = kSuspectAt * static_cast<double>(aAim > 0 ? aAim : aAny);
  const auto late =
      static_cast<Millis>(std::min(most, aExpected * kLateFactor));
  return std::max(aLeast, late);
}

}  // namespace

PathPace ExpectPace(const PathQuestion& aQuestion, const LayerPath& aPath) {
  PathPace pace;
  const std::string* zone = nullptr;
  for (const PathPart& part : aPath) {
    const auto it =
        std::find_if(aQuestion.mEngines.begin(), aQuestion.mEngines.end(),
                     [&part](const UpstreamRecord* aRecord) {
                       return aRecord->mInstance == part.mInstance;
                     });
    const AcceleratorKind* kind =
        it == aQuestion.mEngines.end()
            ? nullptr
            : aQuestion.mProfile->FindKind((*it)->mKind);
    if (kind == nullptr) {
      continue;
    }
    const EngineModel model(*aQuestion.mProfile, *kind);
    const EngineLoad load = aQuestion.mLoadOf(part.mInstance);
    const int layers = part.mLayers.Count();
    const double together = 1 + load.mRequests * kTogether;
    const double step = model.StepMillis(
        layers,
        {.mWriters = together, .mContextTokens = together * aQuestion.mTokens});
    const double read = model.ReadMillis(layers, aQuestion.mReadTokens) +
                        model.ReadMillis(1, 1) * load.mReadTokenLayers;
    const bool other = zone != nullptr && *zone != (*it)->mZone;
    zone = &(*it)->mZone;
    pace.mToken += step * kWaitForPass * load.mPace +
                   HopMillis(*aQuestion.mProfile, other);
    pace.mFirst += read * load.mPace;
  }
  pace.mFirst += pace.mToken;
  return pace;
}

StreamPatience PatienceOf(const PathPace& aPace, double aTokens,
                          const StreamAim& aAim) {
  return {.mFirst = Patience(aPace.mFirst, kLeastFirst, aAim.mFirst, kAnyFirst),
          .mGap = Patience(aPace.mToken * aTokens, kLeastGap, aAim.mPause,
                           kAnyPause)};
}

bool IsWorthMoving(const PathPace& aHeld, const PathPace& aOther) {
  return aOther.mToken < aHeld.mToken * kWorthMoving;
}

bool IsTooSlow(const PathPace& aPace, double aTokens, const StreamAim& aAim) {
  const auto pause =
      static_cast<double>(aAim.mPause > 0 ? aAim.mPause : kAnyPause);
  return aPace.mToken * aTokens > kSuspectAt * pause;
}

}  // namespace spindleweir
