#include "spindleweir/servers/routing/path_shares.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A request of a service that does not say what is usual, in tokens.
constexpr double kDefaultPrompt = 800;
constexpr double kDefaultAnswer = 200;
/// A token waits at each engine for half of the pass that is under way.
constexpr double kWaitForPass = 1.5;
/// A pass takes twice as long as with one writer when so much of it is for
/// writers: beyond that pauses grow faster than what is written.
constexpr double kPassGrowth = 2;
/// The share of its time that an engine may be at work.
constexpr double kBusy = 0.8;
/// The share of an engine's memory that may be promised, as for paths.
constexpr double kFill = 0.95;
/// Less than so many requests at a time are no path.
constexpr double kLeastPlaces = 1;

/// What is left of one engine.
struct Left {
  double mRequests = 0;  ///< A millisecond, by its speed.
  double mTokenLayers = 0;
  double mFirsts = 0;
};

/// The work of one request at a part of a path.
struct PartWork {
  double mReadMillis = 0;
  double mStepMillis = 0;  ///< A token, in a pass with others.
  double mBusyMillis = 0;  ///< Of the engine, in all.
};

class Division {
 public:
  Division(const EngineProfile& aProfile,
           const std::vector<const UpstreamRecord*>& aEngines,
           const std::function<double(const std::string&)>& aPaceOf)
      : mProfile(aProfile),
        mPrompt(aProfile.mUsualPrompt > 0 ? aProfile.mUsualPrompt
                                          : kDefaultPrompt),
        mAnswer(aProfile.mUsualAnswer > 0 ? aProfile.mUsualAnswer
                                          : kDefaultAnswer) {
    for (const UpstreamRecord* engine : aEngines) {
      const AcceleratorKind* kind = mProfile.FindKind(engine->mKind);
      if (kind == nullptr || engine->mLayers.Count() <= 0) {
        continue;
      }
      mQuestion.mEngines.push_back(engine);
      mPaces[engine->mInstance] = aPaceOf ? aPaceOf(engine->mInstance) : 1;
      const EngineModel model(mProfile, *kind);
      const int layers = engine->mLayers.Count();
      mLeft[engine->mInstance] = {
          .mRequests = kBusy / Work(*engine, layers).mBusyMillis,
          .mTokenLayers = model.Room(layers) * kFill,
          .mFirsts = static_cast<double>(engine->mSlots)};
      mEngines[engine->mInstance] = engine;
    }
    mQuestion.mProfile = &mProfile;
    mQuestion.mTokens = mPrompt + mAnswer;
    mQuestion.mReadTokens = mPrompt;
    mQuestion.mAnswerTokens = mAnswer;
    mQuestion.mMayCross = false;
    mQuestion.mLoadOf = [this](const std::string& aInstance) {
      return EngineLoad{.mPace = mPaces.at(aInstance)};
    };
    if (!mQuestion.mEngines.empty()) {
      mQuestion.mZone = mQuestion.mEngines.front()->mZone;
    }
  }

  std::vector<SharedPath> Divide() {
    std::vector<SharedPath> shares;
    // Each path uses up an engine at least, so that this ends.
    for (std::size_t i = 0; i < mQuestion.mEngines.size(); i++) {
      LayerPath path = ChoosePath(mQuestion).mPath;
      if (path.empty()) {
        break;
      }
      SharedPath share = Measure(std::move(path));
      Take(share);
      if (share.mPlaces >= kLeastPlaces) {
        shares.push_back(std::move(share));
      }
    }
    return shares;
  }

 private:
  PartWork Work(const UpstreamRecord& aEngine, int aLayers) const {
    const EngineModel model(mProfile, *mProfile.FindKind(aEngine.mKind));
    const double context = mPrompt + mAnswer / 2;
    const double alone = model.StepMillis(aLayers, {});
    const double each =
        model.StepMillis(aLayers, {.mWriters = 1, .mContextTokens = context}) -
        alone;
    const double read = model.ReadMillis(aLayers, mPrompt);
    const double pace = mPaces.at(aEngine.mInstance);
    return {.mReadMillis = read * pace,
            .mStepMillis = alone * kPassGrowth * pace,
            .mBusyMillis = (read + mAnswer * each * kPassGrowth) * pace};
  }

  /// What a path can carry by what is left of its engines.
  SharedPath Measure(LayerPath aPath) const {
    SharedPath share;
    double rate = 0;
    double places = 0;
    bool first = true;
    for (const PathPart& part : aPath) {
      const int layers = part.mLayers.Count();
      const Left& left = mLeft.at(part.mInstance);
      const PartWork work = Work(*mEngines.at(part.mInstance), layers);
      share.mMillis +=
          work.mReadMillis + mAnswer * (work.mStepMillis * kWaitForPass +
                                        HopMillis(mProfile, false));
      const double room = left.mTokenLayers / (mQuestion.mTokens * layers);
      places = first ? room : std::min(places, room);
      rate = first ? left.mRequests : std::min(rate, left.mRequests);
      if (first && left.mFirsts > 0) {
        places = std::min(places, left.mFirsts);
      }
      first = false;
    }
    share.mPlaces = std::min(places, rate * share.mMillis);
    share.mPath = std::move(aPath);
    return share;
  }

  void Take(const SharedPath& aShare) {
    constexpr double kNothing = 1e-9;
    bool first = true;
    for (const PathPart& part : aShare.mPath) {
      Left& left = mLeft[part.mInstance];
      const double need = mQuestion.mTokens * part.mLayers.Count();
      left.mTokenLayers -= aShare.mPlaces * need;
      left.mRequests -= aShare.Rate();
      left.mFirsts -= first ? aShare.mPlaces : 0;
      const bool hadPlaces = mEngines[part.mInstance]->mSlots > 0;
      const bool used = left.mTokenLayers < need || left.mRequests < kNothing ||
                        (first && hadPlaces && left.mFirsts < kLeastPlaces);
      if (used || aShare.mPlaces < kLeastPlaces) {
        mQuestion.mAvoid.insert(part.mInstance);
      }
      first = false;
    }
  }

  const EngineProfile& mProfile;
  double mPrompt;  ///< Tokens of a usual request.
  double mAnswer;
  PathQuestion mQuestion;
  std::map<std::string, Left> mLeft;  ///< By instance.
  std::map<std::string, const UpstreamRecord*> mEngines;
  std::map<std::string, double> mPaces;
};

}  // namespace

std::vector<SharedPath> DividePaths(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines,
    const std::function<double(const std::string&)>& aPaceOf) {
  return Division(aProfile, aEngines, aPaceOf).Divide();
}

}  // namespace spindleweir
