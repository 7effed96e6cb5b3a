#include "spindleweir/servers/routing/path_shares.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A request of a service that does not say what is usual, in tokens.
constexpr double kDefaultPromptTokens = 800;
constexpr double kDefaultAnswerTokens = 200;
/// A token waits at each engine for half of the pass that is under way.
constexpr double kPassWaitFactor = 1.5;
/// A pass takes twice as long as with one writer when so much of it is for
/// writers: beyond that pauses grow faster than what is written.
constexpr double kMaxPassGrowth = 2;
/// The share of its time that an engine may be at work.
constexpr double kMaxBusyShare = 0.8;
/// The share of an engine's memory that may be promised, as for paths.
constexpr double kMaxFill = 0.95;
/// Less than so many requests at a time are no path.
constexpr double kMinRequests = 1;

/// What is left of one engine.
struct Capacity {
  double mRequestsPerMilli = 0;  ///< A millisecond, by its speed.
  double mTokenLayers = 0;
  double mFirstStageRequests = 0;
};

/// The work of one request at a part of a path.
struct StageWork {
  double mPrefillMillis = 0;
  double mStepMillis = 0;  ///< A token, in a pass with others.
  double mBusyMillis = 0;  ///< Of the engine, in all.
};

class PathDivision {
 public:
  PathDivision(const EngineProfile& aProfile,
               const std::vector<const UpstreamRecord*>& aEngines,
               const std::function<double(const std::string&)>& aSlowdownOf)
      : mProfile(aProfile),
        mPromptTokens(aProfile.mUsualPrompt > 0 ? aProfile.mUsualPrompt
                                                : kDefaultPromptTokens),
        mAnswerTokens(aProfile.mUsualAnswer > 0 ? aProfile.mUsualAnswer
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
          .mTokenLayers = model.Room(layers) * kMaxFill,
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
    // Each path uses up an engine at least, so that this ends.
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
    const double alone = model.StepMillis(aLayers, {});
    const double each =
        model.StepMillis(aLayers, {.mWriters = 1, .mContextTokens = context}) -
        alone;
    const double read = model.ReadMillis(aLayers, mPromptTokens);
    const double pace = mSlowdowns.at(aEngine.mInstance);
    return {
        .mPrefillMillis = read * pace,
        .mStepMillis = alone * kMaxPassGrowth * pace,
        .mBusyMillis = (read + mAnswerTokens * each * kMaxPassGrowth) * pace};
  }

  /// What a path can carry by what is left of its engines.
  PathShare Measure(LayerPath aPath) const {
    PathShare share;
    double rate = 0;
    double places = 0;
    double well = 0;
    bool first = true;
    for (const PathStage& part : aPath) {
      const int layers = part.mLayers.Count();
      const Capacity& left = mCapacities.at(part.mInstance);
      const StageWork work = Work(*mEngines.at(part.mInstance), layers);
      const double hops = mAnswerTokens * HopMillis(mProfile, false);
      const double engine = work.mPrefillMillis +
                            mAnswerTokens * work.mStepMillis * kPassWaitFactor;
      share.mRequestMillis += engine + hops;
      well += engine / mSlowdowns.at(part.mInstance) + hops;
      const double room = left.mTokenLayers / (mQuery.mTokens * layers);
      places = first ? room : std::min(places, room);
      rate = first ? left.mRequestsPerMilli
                   : std::min(rate, left.mRequestsPerMilli);
      if (first && left.mFirstStageRequests > 0) {
        places = std::min(places, left.mFirstStageRequests);
      }
      first = false;
    }
    share.mSlowdown = well <= 0 ? 1 : share.mRequestMillis / well;
    share.mMaxRequests = std::min(places, rate * share.mRequestMillis);
    share.mPath = std::move(aPath);
    return share;
  }

  void Reserve(const PathShare& aShare) {
    constexpr double kNothing = 1e-9;
    bool first = true;
    for (const PathStage& part : aShare.mPath) {
      Capacity& left = mCapacities[part.mInstance];
      const double need = mQuery.mTokens * part.mLayers.Count();
      left.mTokenLayers -= aShare.mMaxRequests * need;
      left.mRequestsPerMilli -= aShare.Rate();
      left.mFirstStageRequests -= first ? aShare.mMaxRequests : 0;
      const bool hadPlaces = mEngines[part.mInstance]->mSlots > 0;
      const bool used =
          left.mTokenLayers < need || left.mRequestsPerMilli < kNothing ||
          (first && hadPlaces && left.mFirstStageRequests < kMinRequests);
      if (used || aShare.mMaxRequests < kMinRequests) {
        mQuery.mExcludedEngines.insert(part.mInstance);
      }
      first = false;
    }
  }

  const EngineProfile& mProfile;
  double mPromptTokens;  ///< Tokens of a usual request.
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
