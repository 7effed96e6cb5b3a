#include "spindleweir/servers/limits/warm_up_admission.h"

#include <algorithm>
#include <tuple>

namespace spindleweir {

namespace {

/// Reading time of the prompts that each router may have in progress. A path
/// has six to ten stages that read a prompt one after the other, so one request
/// at a time would leave most of them idle. With 200 ms the last request still
/// meets a target of 500 ms.
constexpr Millis kMaxReadBacklog = 200;
/// The part of the capacity that is used for admission. The rest is for streams
/// in progress, and for an uneven choice of paths.
constexpr double kAdmittedFraction = 0.7;
/// Waiting requests try again at least this often.
constexpr Millis kPollInterval = 50;

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
    const double millisPerToken =
        EngineModel(aProfile, *kind).PrefillMillis(layers, 1);
    const int to = std::min(engine->mLayers.mTo, aProfile.mLayers);
    for (int i = std::max(0, engine->mLayers.mFrom);
         millisPerToken > 0 && i < to; i++) {
      byLayer[static_cast<std::size_t>(i)] += 1 / millisPerToken;
    }
  }
  const auto slowest = std::min_element(byLayer.begin(), byLayer.end());
  return slowest == byLayer.end() ? 0 : *slowest;
}

bool WarmUpAdmission::MeetsTarget(const WarmUpRequest& aRequest,
                                  Millis aNow) const {
  return aRequest.mTarget > 0 &&
         static_cast<double>(aNow) +
                 aRequest.mPromptTokens / (mShare * kAdmittedFraction) <=
             static_cast<double>(aRequest.mReceivedAt + aRequest.mTarget);
}

bool WarmUpAdmission::GoesBefore(const WarmUpRequest& aLeft,
                                 const WarmUpRequest& aRight,
                                 Millis aNow) const {
  const auto rank = [&](const WarmUpRequest& aRequest) {
    const bool missesTarget = !MeetsTarget(aRequest, aNow);
    return std::tuple(missesTarget, aRequest.mPriority,
                      aRequest.mReceivedAt + (missesTarget ? aRequest.mWaitLimit
                                                           : aRequest.mTarget));
  };
  return rank(aLeft) < rank(aRight);
}

WarmUpDecision WarmUpAdmission::TryAdmit(const void* aRequest,
                                         const WarmUpRequest& aFacts,
                                         Millis aNow) {
  mWaiting[aRequest] = aFacts;
  WarmUpDecision decision{.mShare = mShare * kAdmittedFraction,
                          .mWaiting = static_cast<int>(mWaiting.size())};
  if (mShare <= 0) {
    mWaiting.erase(aRequest);
    return decision;
  }
  for (const auto& [other, facts] : mWaiting) {
    const bool before = other != aRequest && GoesBefore(facts, aFacts, aNow);
    decision.mTokensAhead += before ? facts.mPromptTokens : 0;
  }
  const auto now = static_cast<double>(aNow);
  const double turn =
      std::max(now, mReadUntil) + decision.mTokensAhead / decision.mShare;
  const double read = aFacts.mPromptTokens / decision.mShare;
  decision.mAfter = static_cast<Millis>(turn - now);
  if (decision.mAfter <= kMaxReadBacklog) {
    mReadUntil = std::max(now, mReadUntil) + read;
    mWaiting.erase(aRequest);
    return decision;
  }
  const auto waitEnd =
      static_cast<double>(aFacts.mReceivedAt + aFacts.mWaitLimit);
  if (turn + read > waitEnd) {
    decision.mVerdict = WarmUpVerdict::kRefuse;
    mWaiting.erase(aRequest);
    return decision;
  }
  decision.mVerdict = WarmUpVerdict::kWait;
  decision.mAfter =
      std::min(decision.mAfter - kMaxReadBacklog + 1, kPollInterval);
  return decision;
}

}  // namespace spindleweir
