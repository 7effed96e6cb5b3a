#include "spindleweir/servers/routing/path_shares.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Request size assumed if a service configures no typical one, in tokens.
constexpr double kDefaultPromptTokens = 800;
constexpr double kDefaultAnswerTokens = 200;
/// On average a token waits at each engine for half of the running pass before
/// its own pass begins.
constexpr double kPassWaitFactor = 1.5;
/// Maximum duration of a pass, relative to a pass without decoding requests:
/// beyond it the pauses between tokens grow faster than the token rate.
constexpr double kMaxPassGrowth = 2;
/// Maximum share of time that an engine may be busy.
constexpr double kMaxBusyShare = 0.8;
/// Share of an engine's memory that may be reserved, as in the path search.
constexpr double kMaxFill = 0.95;
/// A path needs capacity for at least this many concurrent requests.
constexpr double kMinRequests = 1;

/// Remaining capacity of one engine.
struct Capacity {
  double mRequestsPerMilli = 0;  ///< By its speed.
  double mTokenLayers = 0;
  double mFirstStageRequests = 0;
};

/// The work of one request at one stage of a path.
struct StageWork {
  double mPrefillMillis = 0;
  double mStepMillis = 0;  ///< Per token, in a shared pass.
  double mBusyMillis = 0;  ///< Total time that the engine is busy.
};

class PathDivision {
 public:
  PathDivision(const EngineProfile& aProfile,
               const std::vector<const UpstreamRecord*>& aEngines,
               const std::function<double(const std::string&)>& aSlowdownOf)
      : mProfile(aProfile),
        mPromptTokens(aProfile.mTypicalPromptTokens > 0
                          ? aProfile.mTypicalPromptTokens
                          : kDefaultPromptTokens),
        mAnswerTokens(aProfile.mTypicalAnswerTokens > 0
                          ? aProfile.mTypicalAnswerTokens
                          : kDefaultAnswerTokens) {
    for (const UpstreamRecord* engine : aEngines) {
      const AcceleratorKind* kind = mProfile.FindKind(engine->mKind);
      if (kind == nullptr || engine->mLayers.Count() <= 0) {
        continue;
      }
      mQuery.mEngines.push_back(engine);
      mSlowdowns[engine->mInstance] =
          aSlowdownOf ? aSlowdownOf(engine->mInstance) : 1;
      const EngineModel model(mProfile, *kind);
      const int layers = engine->mLayers.Count();
      mCapacities[engine->mInstance] = {
          .mRequestsPerMilli =
              kMaxBusyShare / Work(*engine, layers).mBusyMillis,
          .mTokenLayers = model.RequestCapacity(layers) * kMaxFill,
          .mFirstStageRequests = static_cast<double>(engine->mSlots)};
      mEngines[engine->mInstance] = engine;
    }
    mQuery.mProfile = &mProfile;
    mQuery.mTokens = mPromptTokens + mAnswerTokens;
    mQuery.mPrefillTokens = mPromptTokens;
    mQuery.mAnswerTokens = mAnswerTokens;
    mQuery.mMayCrossZones = false;
    mQuery.mLoadOf = [this](const std::string& aInstance) {
      return EngineLoad{.mSlowdown = mSlowdowns.at(aInstance)};
    };
    if (!mQuery.mEngines.empty()) {
      mQuery.mZone = mQuery.mEngines.front()->mZone;
    }
  }

  std::vector<PathShare> Divide() {
    std::vector<PathShare> shares;
    // Each path exhausts at least one engine, so that the loop ends.
    for (std::size_t i = 0; i < mQuery.mEngines.size(); i++) {
      LayerPath path = ChoosePath(mQuery).mPath;
      if (path.empty()) {
        break;
      }
      PathShare share = Measure(std::move(path));
      Reserve(share);
      if (share.mMaxRequests >= kMinRequests) {
        shares.push_back(std::move(share));
      }
    }
    return shares;
  }

 private:
  StageWork Work(const UpstreamRecord& aEngine, int aLayers) const {
    const EngineModel model(mProfile, *mProfile.FindKind(aEngine.mKind));
    const double context = mPromptTokens + mAnswerTokens / 2;
    const double baseMillis = model.StepMillis(aLayers, {});
    const double perWriterMillis =
        model.StepMillis(aLayers,
                         {.mDecodingRequests = 1, .mContextTokens = context}) -
        baseMillis;
    const double prefill = model.PrefillMillis(aLayers, mPromptTokens);
    const double slowdown = mSlowdowns.at(aEngine.mInstance);
    return {.mPrefillMillis = prefill * slowdown,
            .mStepMillis = baseMillis * kMaxPassGrowth * slowdown,
            .mBusyMillis =
                (prefill + mAnswerTokens * perWriterMillis * kMaxPassGrowth) *
                slowdown};
  }

  /// Computes the capacity of a path from the remaining capacity of its
  /// engines.
  PathShare Measure(LayerPath aPath) const {
    PathShare share;
    double rate = 0;
    double maxRequests = 0;
    double normalMillis = 0;
    bool first = true;
    for (const PathStage& stage : aPath) {
      const int layers = stage.mLayers.Count();
      const Capacity& left = mCapacities.at(stage.mInstance);
      const StageWork work = Work(*mEngines.at(stage.mInstance), layers);
      const double hopMillis = mAnswerTokens * HopMillis(mProfile, false);
      const double engineMillis = work.mPrefillMillis + mAnswerTokens *
                                                            work.mStepMillis *
                                                            kPassWaitFactor;
      share.mRequestMillis += engineMillis + hopMillis;
      normalMillis += engineMillis / mSlowdowns.at(stage.mInstance) + hopMillis;
      const double memoryRequests =
          left.mTokenLayers / (mQuery.mTokens * layers);
      maxRequests =
          first ? memoryRequests : std::min(maxRequests, memoryRequests);
      rate = first ? left.mRequestsPerMilli
                   : std::min(rate, left.mRequestsPerMilli);
      if (first && left.mFirstStageRequests > 0) {
        maxRequests = std::min(maxRequests, left.mFirstStageRequests);
      }
      first = false;
    }
    share.mSlowdown =
        normalMillis <= 0 ? 1 : share.mRequestMillis / normalMillis;
    share.mMaxRequests = std::min(maxRequests, rate * share.mRequestMillis);
    share.mPath = std::move(aPath);
    return share;
  }

  void Reserve(const PathShare& aShare) {
    constexpr double kMinRate = 1e-9;
    bool first = true;
    for (const PathStage& stage : aShare.mPath) {
      Capacity& left = mCapacities[stage.mInstance];
      const double needed = mQuery.mTokens * stage.mLayers.Count();
      left.mTokenLayers -= aShare.mMaxRequests * needed;
      left.mRequestsPerMilli -= aShare.Rate();
      left.mFirstStageRequests -= first ? aShare.mMaxRequests : 0;
      const bool hasSlots = mEngines[stage.mInstance]->mSlots > 0;
      const bool isExhausted =
          left.mTokenLayers < needed || left.mRequestsPerMilli < kMinRate ||
          (first && hasSlots && left.mFirstStageRequests < kMinRequests);
      if (isExhausted || aShare.mMaxRequests < kMinRequests) {
        mQuery.mExcludedEngines.insert(stage.mInstance);
      }
      first = false;
    }
  }

  const EngineProfile& mProfile;
  double mPromptTokens;  ///< Of a typical request.
  double mAnswerTokens;
  PathQuery mQuery;
  std::map<std::string, Capacity> mCapacities;  ///< By instance.
  std::map<std::string, const UpstreamRecord*> mEngines;
  std::map<std::string, double> mSlowdowns;
};

}  // namespace

std::vector<PathShare> DividePaths(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines,
    const std::function<double(const std::string&)>& aSlowdownOf) {
  return PathDivision(aProfile, aEngines, aSlowdownOf).Divide();
}

}  // namespace spindleweir
