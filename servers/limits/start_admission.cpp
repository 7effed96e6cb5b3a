#include "spindleweir/servers/limits/start_admission.h"

#include <algorithm>
#include <tuple>

namespace spindleweir {

namespace {

/// So much reading may be under way at a time for each router. A path has six
/// to ten parts that read one after the other, so that one request at a time
/// would leave most of them idle; with 200 ms of it the last still meets a
/// target of 500 ms.
constexpr Millis kReadAhead = 200;
/// The part of the capacity that is dealt out: the rest is for streams that
/// go on, and for paths that are dealt unevenly.
constexpr double kDealt = 0.7;
/// Longer than this nobody waits without asking again.
constexpr Millis kAskAgain = 50;

}  // namespace

double ReadingCapacity(const EngineProfile& aProfile,
                       const std::vector<const UpstreamRecord*>& aEngines) {
  std::vector<double> byLayer(
      static_cast<std::size_t>(std::max(0, aProfile.mLayers)), 0);
  for (const UpstreamRecord* engine : aEngines) {
    const AcceleratorKind* kind = aProfile.FindKind(engine->mKind);
    const int layers = engine->mLayers.Count();
    if (kind == nullptr || layers <= 0) {
      continue;
    }
    const double each = EngineModel(aProfile, *kind).ReadMillis(layers, 1);
    const int to = std::min(engine->mLayers.mTo, aProfile.mLayers);
    for (int i = std::max(0, engine->mLayers.mFrom); each > 0 && i < to; i++) {
      byLayer[static_cast<std::size_t>(i)] += 1 / each;
    }
  }
  const auto least = std::min_element(byLayer.begin(), byLayer.end());
  return least == byLayer.end() ? 0 : *least;
}

bool StartAdmission::MeetsTarget(const StartRequest& aRequest,
                                 Millis aNow) const {
  return aRequest.mTarget > 0 &&
         static_cast<double>(aNow) + aRequest.mTokens / (mShare * kDealt) <=
             static_cast<double>(aRequest.mReceivedAt + aRequest.mTarget);
}

bool StartAdmission::GoesBefore(const StartRequest& aLeft,
                                const StartRequest& aRight, Millis aNow) const {
  const auto rank = [&](const StartRequest& aRequest) {
    const bool late = !MeetsTarget(aRequest, aNow);
    return std::tuple(
        late, aRequest.mPriority,
        aRequest.mReceivedAt + (late ? aRequest.mPatience : aRequest.mTarget));
  };
  return rank(aLeft) < rank(aRight);
}

StartDecision StartAdmission::Ask(const void* aRequest,
                                  const StartRequest& aFacts, Millis aNow) {
  mWaiting[aRequest] = aFacts;
  StartDecision decision{.mShare = mShare * kDealt,
                         .mWaiting = static_cast<int>(mWaiting.size())};
  if (mShare <= 0) {
    mWaiting.erase(aRequest);
    return decision;
  }
  for (const auto& [other, facts] : mWaiting) {
    const bool before = other != aRequest && GoesBefore(facts, aFacts, aNow);
    decision.mAhead += before ? facts.mTokens : 0;
  }
  const auto now = static_cast<double>(aNow);
  const double turn =
      std::max(now, mReadUntil) + decision.mAhead / decision.mShare;
  const double read = aFacts.mTokens / decision.mShare;
  decision.mAfter = static_cast<Millis>(turn - now);
  if (decision.mAfter <= kReadAhead) {
    mReadUntil = std::max(now, mReadUntil) + read;
    mWaiting.erase(aRequest);
    return decision;
  }
  const auto left = static_cast<double>(aFacts.mReceivedAt + aFacts.mPatience);
  if (turn + read > left) {
    decision.mVerdict = StartVerdict::kRefuse;
    mWaiting.erase(aRequest);
    return decision;
  }
  decision.mVerdict = StartVerdict::kWait;
  decision.mAfter = std::min(decision.mAfter - kReadAhead + 1, kAskAgain);
  return decision;
}

}  // namespace spindleweir
