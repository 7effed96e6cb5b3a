#include "bench/choice_play.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "bench/measure.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

namespace {

/// How often loads are noted for the news.
constexpr Millis kNoteEvery = 50;
/// What an engine says of its pace is so old, and a question takes so long.
constexpr Millis kReportLag = 200;
constexpr Millis kQuestionMillis = 10;
/// The part of a zone's engines that are left out at most.
constexpr double kMostEjected = 0.5;
/// From so long after they are well again slow engines should be used as
/// others.
constexpr Millis kBackAfter = 2000;
/// A token waits at each engine for half of the pass that is under way.
constexpr double kWaitForPass = 1.5;
/// Of the requests that pass an engine, so many of one are in its pass: the
/// others are at other engines of their paths.
double WritersOf(double aRequests, std::size_t aParts) {
  return aRequests / static_cast<double>(std::max<std::size_t>(1, aParts));
}

using Loads = std::map<std::string, EngineLoad>;

/// One engine as it is, not as routers know it.
struct PlayedEngine {
  const UpstreamRecord* mRecord = nullptr;
  double mRoom = 0;
  EngineLoad mLoad;
  double mReadsUntil = 0;
  double mWorkMillis = 0;
  bool mTurnsSlow = false;
};

struct PlayedRequest {
  std::size_t mRouter = 0;
  LayerPath mPath;
  double mTokens = 0;
};

/// What one router knows, and what it has under way.
struct PlayedRouter {
  std::string mZone;
  Loads mOwn;
  std::deque<Loads> mOwnNoted;  ///< As it was at each note.
  PathChooser mChoice;
  EngineSlowdowns mPaces;
  std::deque<LoadShares> mToldNoted;
};

/// What a router sees of a stream.
struct Sight {
  double mAt = 0;
  std::size_t mRouter = 0;
  std::vector<std::string> mPath;
  Millis mFrom = 0;  ///< The event was waited for from here on.
  bool mLate = false;
  bool operator<(const Sight& aOther) const { return mAt > aOther.mAt; }
};

/// Adds, or takes away, what a request is at one part of its path.
void AddPart(EngineLoad& aLoad, const PlayedRequest& aRequest,
             const PathStage& aPart, int aSign) {
  const bool first = &aPart == &aRequest.mPath.front();
  aLoad.mRequests += aSign;
  aLoad.mTokenLayers += aSign * aRequest.mTokens * aPart.mLayers.Count();
  aLoad.mFirstStageRequests += first ? aSign : 0;
}

void AddLoad(Loads& aLoads, const PlayedRequest& aRequest, int aSign) {
  for (const PathStage& part : aRequest.mPath) {
    AddPart(aLoads[part.mInstance], aRequest, part, aSign);
  }
}

class ChoicePlay {
 public:
  explicit ChoicePlay(const ChoicePlayOptions& aOptions)
      : mOptions(aOptions),
        mRecords(PlacedEngines(aOptions.mProfile, aOptions.mGroups)),
        mRandom(aOptions.mSeed) {
    for (const UpstreamRecord& record : mRecords) {
      const AcceleratorKind* kind = mOptions.mProfile.FindKind(record.mKind);
      const EngineModel model(mOptions.mProfile, *kind);
      mEngines[record.mInstance] = {
          .mRecord = &record,
          .mRoom = model.RequestCapacity(record.mLayers.Count())};
      mViews.push_back(&record);
    }
    TurnSlow();
    std::vector<std::string> zones;
    for (const EngineGroup& group : mOptions.mGroups) {
      if (std::find(zones.begin(), zones.end(), group.mZone) == zones.end()) {
        zones.push_back(group.mZone);
      }
    }
    mZones = zones.size();
    for (int i = 0; i < mOptions.mRouters; i++) {
      mRouters.push_back(std::make_unique<PlayedRouter>());
      mRouters.back()->mZone = zones[static_cast<std::size_t>(i) % mZones];
    }
  }

  ChoicePlayResult Play() {
    double next = 0;
    double noted = -static_cast<double>(kNoteEvery);
    std::exponential_distribution<double> gap(mOptions.mRequestsPerSecond /
                                              1000);
    while (next < static_cast<double>(mOptions.mLength)) {
      while (!mEnds.empty() && mEnds.top().mAt <= next) {
        EndRequest();
      }
      while (!mSights.empty() && mSights.top().mAt <= next) {
        See();
      }
      if (next - noted >= static_cast<double>(kNoteEvery)) {
        Note();
        noted = next;
      }
      mNow = next;
      Begin();
      next += gap(mRandom);
    }
    return Sum();
  }

 private:
  struct Ending {
    double mAt = 0;
    std::shared_ptr<PlayedRequest> mRequest;
    bool operator<(const Ending& aOther) const { return mAt > aOther.mAt; }
  };

  /// Draws the engines that will be slow.
  void TurnSlow() {
    std::vector<std::string> all;
    for (const UpstreamRecord& record : mRecords) {
      all.push_back(record.mInstance);
    }
    std::shuffle(all.begin(), all.end(), mRandom);
    const auto n = static_cast<std::size_t>(mOptions.mSlow.mShare *
                                            static_cast<double>(all.size()));
    for (std::size_t i = 0; i < n; i++) {
      mEngines[all[i]].mTurnsSlow = true;
    }
  }

  bool IsSlowTime(double aAt) const {
    const auto from = static_cast<double>(mOptions.mSlow.mFrom);
    return aAt >= from && aAt < from + static_cast<double>(mOptions.mSlow.mFor);
  }

  double TruePace(const PlayedEngine& aEngine, double aAt) const {
    return aEngine.mTurnsSlow && IsSlowTime(aAt) ? mOptions.mSlow.mTimes : 1;
  }

  bool JudgesPaces() const { return mOptions.mPaceRule != PaceRule::kNone; }

  void See() {
    const Sight sight = mSights.top();
    mSights.pop();
    mNow = sight.mAt;
    const auto now = static_cast<Millis>(sight.mAt);
    PlayedRouter& router = *mRouters[sight.mRouter];
    if (!sight.mLate) {
      router.mPaces.RecordOnTime(sight.mPath, sight.mFrom);
      return;
    }
    router.mPaces.RecordLate(sight.mPath, sight.mFrom, now);
    StepPaces(router, now);
  }

  void StepPaces(PlayedRouter& aRouter, Millis aNow) {
    const auto random = [this] {
      return std::uniform_real_distribution<double>(0, 1)(mRandom);
    };
    for (const std::string& instance :
         aRouter.mPaces.EnginesToPoll(aNow, mOptions.mRouters, random)) {
      mResult.mQuestions++;
      const double said = TruePace(mEngines.at(instance),
                                   static_cast<double>(aNow - kReportLag));
      aRouter.mPaces.OnEngineReport(instance, said, aNow + kQuestionMillis);
    }
    for (const SlowdownChange& change : aRouter.mPaces.Evaluate(aNow)) {
      const bool slow = mEngines.at(change.mInstance).mTurnsSlow;
      mResult.mFalseAlarms += change.mIsSlow && !slow ? 1 : 0;
    }
  }

  /// Paces travel with the loads: from each router to all others.
  void NotePaces() {
    if (!JudgesPaces()) {
      return;
    }
    const auto now = static_cast<Millis>(mNow);
    const auto kept = static_cast<std::size_t>(mOptions.mNewsAge / kNoteEvery);
    LoadShares all;
    for (const auto& router : mRouters) {
      LoadShares told;
      router->mPaces.AddReports(told, now);
      for (const auto& [instance, share] : told) {
        all[instance].Add(share, 1);
      }
      router->mToldNoted.push_back(std::move(told));
      while (router->mToldNoted.size() > kept + 1) {
        router->mToldNoted.pop_front();
      }
    }
    mPacesNoted.push_back(std::move(all));
    while (mPacesNoted.size() > kept + 1) {
      mPacesNoted.pop_front();
    }
    for (const auto& router : mRouters) {
      LoadShares others = mPacesNoted.front();
      for (const auto& [instance, share] : router->mToldNoted.front()) {
        others[instance].Add(share, -1);
      }
      router->mPaces.ApplyPeerReports(others, now);
      StepPaces(*router, now);
    }
  }

  void Note() {
    NotePaces();
    const auto kept = static_cast<std::size_t>(mOptions.mNewsAge / kNoteEvery);
    Loads all;
    for (const auto& [instance, engine] : mEngines) {
      all[instance] = engine.mLoad;
    }
    mNoted.push_back(std::move(all));
    while (mNoted.size() > kept + 1) {
      mNoted.pop_front();
    }
    for (const auto& router : mRouters) {
      router->mOwnNoted.push_back(router->mOwn);
      while (router->mOwnNoted.size() > kept + 1) {
        router->mOwnNoted.pop_front();
      }
    }
  }

  static EngineLoad At(const Loads& aLoads, const std::string& aInstance) {
    const auto it = aLoads.find(aInstance);
    return it == aLoads.end() ? EngineLoad() : it->second;
  }

  /// What a router knows: all as it was when the news was noted, and its own
  /// work as it is.
  EngineLoad Known(const PlayedRouter& aRouter,
                   const std::string& aInstance) const {
    const bool dearer = mOptions.mPaceRule == PaceRule::kCost ||
                        mOptions.mPaceRule == PaceRule::kBoth;
    const double pace = dearer ? aRouter.mPaces.SlowdownOf(aInstance) : 1;
    if (mOptions.mNewsAge == 0) {
      EngineLoad load = mEngines.at(aInstance).mLoad;
      load.mSlowdown = pace;
      return load;
    }
    const EngineLoad all = At(mNoted.front(), aInstance);
    const EngineLoad before = At(aRouter.mOwnNoted.front(), aInstance);
    const EngineLoad own = At(aRouter.mOwn, aInstance);
    return {.mRequests = all.mRequests - before.mRequests + own.mRequests,
            .mTokenLayers =
                all.mTokenLayers - before.mTokenLayers + own.mTokenLayers,
            .mFirstStageRequests = all.mFirstStageRequests -
                                   before.mFirstStageRequests +
                                   own.mFirstStageRequests,
            .mPrefillTokenLayers = 0,
            .mSlowdown = pace};
  }

  /// The slowest engines, so that half of each zone stays.
  std::set<std::string> Ejected(const PlayedRouter& aRouter) const {
    if (mOptions.mPaceRule != PaceRule::kEject &&
        mOptions.mPaceRule != PaceRule::kBoth) {
      return {};
    }
    std::map<std::string, double> most;
    for (const UpstreamRecord& record : mRecords) {
      most[record.mZone] += kMostEjected;
    }
    std::vector<std::pair<double, std::string>> slow;
    for (const auto& [instance, pace] : aRouter.mPaces.SlowEngines()) {
      slow.emplace_back(pace, instance);
    }
    std::sort(slow.rbegin(), slow.rend());
    std::set<std::string> ejected;
    for (const auto& [pace, instance] : slow) {
      double& left = most[mEngines.at(instance).mRecord->mZone];
      if (left >= 1) {
        left -= 1;
        ejected.insert(instance);
      }
    }
    return ejected;
  }

  PathQuery QuestionOf(const PlayedRouter& aRouter, double aPrompt,
                       double aAnswer) {
    PathQuery question;
    question.mProfile = &mOptions.mProfile;
    question.mZone = aRouter.mZone;
    question.mTokens = aPrompt + aAnswer;
    question.mPrefillTokens = aPrompt;
    question.mAnswerTokens = aAnswer;
    question.mEngines = mViews;
    question.mLoadOf = [this, &aRouter](const std::string& aInstance) {
      return Known(aRouter, aInstance);
    };
    question.mRandom = [this] {
      return std::uniform_real_distribution<double>(0, 1)(mRandom);
    };
    question.mExcludedEngines = Ejected(aRouter);
    return question;
  }

  LayerPath Choose(PlayedRouter& aRouter, const PathQuery& aQuestion) {
    const double unseen = mOptions.mRequestsPerSecond / 1000 *
                          static_cast<double>(mOptions.mNewsAge);
    const auto from = std::chrono::steady_clock::now();
    PathResult answer =
        mOptions.mRule == ChoiceRule::kCheapest
            ? ChoosePath(aQuestion)
            : aRouter.mChoice.Choose(
                  aQuestion, {.mUnreportedRequests = unseen,
                              .mRevision = 1 + aRouter.mPaces.Revision(),
                              .mNow = static_cast<Millis>(mNow)});
    mChoiceMicros += std::chrono::duration<double, std::micro>(
                         std::chrono::steady_clock::now() - from)
                         .count();
    return std::move(answer.mPath);
  }

  void Begin() {
    const std::size_t chosen = std::uniform_int_distribution<std::size_t>(
        0, mRouters.size() - 1)(mRandom);
    PlayedRouter& router = *mRouters[chosen];
    const double prompt = mOptions.mProfile.mTypicalPromptTokens;
    const double answer =
        mOptions.mProfile.mTypicalAnswerTokens *
        std::uniform_real_distribution<double>(0.3, 1.7)(mRandom);
    mResult.mRequests++;
    auto request = std::make_shared<PlayedRequest>();
    request->mRouter = chosen;
    request->mTokens = prompt + answer;
    const PathQuery question = QuestionOf(router, prompt, answer);
    request->mPath = Choose(router, question);
    if (request->mPath.empty() || !Takes(*request)) {
      mResult.mRefused++;
      CountLate(true);
      return;
    }
    const PathTiming expected = EstimateTiming(question, request->mPath);
    const PathTiming pace = Run(request, prompt, answer);
    CountLate(pace.mFirstTokenMillis >
                  static_cast<double>(mOptions.mAim.mFirstEvent) ||
              pace.mTokenMillis * mOptions.mEventTokens >
                  static_cast<double>(mOptions.mAim.mPause));
    if (JudgesPaces()) {
      Watch(*request, expected, pace);
    }
  }

  void CountLate(bool aLate) {
    const auto from = static_cast<double>(mOptions.mSlow.mFrom);
    const auto to = from + static_cast<double>(mOptions.mSlow.mFor);
    if (IsSlowTime(mNow)) {
      mResult.mBegunSlow++;
      mResult.mLateSlow += aLate ? 1 : 0;
    } else if (mNow >= to + static_cast<double>(kBackAfter)) {
      mResult.mBegunAfter++;
      mResult.mLateAfter += aLate ? 1 : 0;
    }
  }

  /// Notes what the router will see of a stream's first two events.
  void Watch(const PlayedRequest& aRequest, const PathTiming& aExpected,
             const PathTiming& aPace) {
    const StreamStallTimeouts patience =
        StallTimeoutsOf(aExpected, mOptions.mEventTokens, mOptions.mAim);
    Sight sight;
    sight.mRouter = aRequest.mRouter;
    for (const PathStage& part : aRequest.mPath) {
      sight.mPath.push_back(part.mInstance);
    }
    double from = mNow;
    const auto add = [&](double aWait, Millis aPatience) {
      sight.mFrom = static_cast<Millis>(from);
      sight.mLate = aWait > static_cast<double>(aPatience);
      sight.mAt = from + (sight.mLate ? static_cast<double>(aPatience) : aWait);
      mSights.push(sight);
      from += aWait;
    };
    add(aPace.mFirstTokenMillis, patience.mFirstEvent);
    add(aPace.mTokenMillis * mOptions.mEventTokens, patience.mGap);
  }

  /// Whether all engines of the path have what the request needs.
  bool Takes(const PlayedRequest& aRequest) const {
    bool first = true;
    for (const PathStage& part : aRequest.mPath) {
      const PlayedEngine& engine = mEngines.at(part.mInstance);
      const double need = aRequest.mTokens * part.mLayers.Count();
      const bool placed =
          !first || engine.mLoad.mFirstStageRequests < engine.mRecord->mSlots;
      if (!placed || engine.mLoad.mTokenLayers + need > engine.mRoom) {
        return false;
      }
      first = false;
    }
    return true;
  }

  PathTiming Run(const std::shared_ptr<PlayedRequest>& aRequest, double aPrompt,
                 double aAnswer) {
    AddLoad(mRouters[aRequest->mRouter]->mOwn, *aRequest, 1);
    double at = mNow;
    double token = 0;
    for (const PathStage& part : aRequest->mPath) {
      PlayedEngine& engine = mEngines[part.mInstance];
      const EngineModel model(mOptions.mProfile, *mOptions.mProfile.FindKind(
                                                     engine.mRecord->mKind));
      const int layers = part.mLayers.Count();
      const double pace = TruePace(engine, mNow);
      const double read = model.PrefillMillis(layers, aPrompt) * pace;
      at = std::max(at, engine.mReadsUntil) + read;
      engine.mReadsUntil = at;
      AddPart(engine.mLoad, *aRequest, part, 1);
      const double writers =
          1 + WritersOf(engine.mLoad.mRequests, aRequest->mPath.size());
      const double step =
          pace *
          model.StepMillis(
              layers, {.mDecodingRequests = writers,
                       .mContextTokens = writers * (aPrompt + aAnswer / 2)});
      token += step * kWaitForPass + HopMillis(mOptions.mProfile, false);
      engine.mWorkMillis += read + aAnswer * step / writers;
      CountBack(engine, layers);
    }
    mFirsts.push_back(at + token - mNow);
    mTokens.push_back(token);
    mEnds.push({at + token * aAnswer, aRequest});
    return {.mFirstTokenMillis = at + token - mNow, .mTokenMillis = token};
  }

  void CountBack(const PlayedEngine& aEngine, int aLayers) {
    const auto from = static_cast<double>(mOptions.mSlow.mFrom +
                                          mOptions.mSlow.mFor + kBackAfter);
    if (mNow >= from) {
      mLayersAfter += aLayers;
      mLayersBack += aEngine.mTurnsSlow ? aLayers : 0;
    }
  }

  void EndRequest() {
    const std::shared_ptr<PlayedRequest> request = mEnds.top().mRequest;
    mEnds.pop();
    AddLoad(mRouters[request->mRouter]->mOwn, *request, -1);
    for (const PathStage& part : request->mPath) {
      AddPart(mEngines[part.mInstance].mLoad, *request, part, -1);
    }
  }

  ChoicePlayResult Sum() {
    constexpr double kMostOfAll = 0.95;
    double work = 0;
    double most = 0;
    for (const auto& [instance, engine] : mEngines) {
      work += engine.mWorkMillis;
      most = std::max(most, engine.mWorkMillis);
    }
    const double mean = work / static_cast<double>(mEngines.size());
    mResult.mBusiest = mean <= 0 ? 0 : most / mean;
    mResult.mBackShare = mLayersAfter <= 0 ? 0 : mLayersBack / mLayersAfter;
    mResult.mFirstP95 = Percentile(mFirsts, kMostOfAll);
    mResult.mTokenP95 = Percentile(mTokens, kMostOfAll);
    mResult.mChoiceMicros = mChoiceMicros / std::max(1, mResult.mRequests);
    return mResult;
  }

  ChoicePlayOptions mOptions;
  std::vector<UpstreamRecord> mRecords;
  std::mt19937 mRandom;
  std::map<std::string, PlayedEngine> mEngines;
  std::vector<const UpstreamRecord*> mViews;
  std::size_t mZones = 1;
  std::vector<std::unique_ptr<PlayedRouter>> mRouters;
  std::deque<Loads> mNoted;
  std::deque<LoadShares> mPacesNoted;
  std::priority_queue<Ending> mEnds;
  std::priority_queue<Sight> mSights;
  double mLayersAfter = 0;  ///< Run by all engines once all are well again.
  double mLayersBack = 0;   ///< By those that were slow.
  double mNow = 0;
  double mChoiceMicros = 0;
  std::vector<double> mFirsts;
  std::vector<double> mTokens;
  ChoicePlayResult mResult;
};

}  // namespace

std::vector<UpstreamRecord> PlacedEngines(
    const EngineProfile& aProfile, const std::vector<EngineGroup>& aGroups) {
  std::vector<UpstreamRecord> records;
  for (const EngineGroup& group : aGroups) {
    for (int i = 0; i < group.mCount; i++) {
      UpstreamRecord record;
      record.mInstance = group.mZone + "-" + group.mKind + "-" +
                         std::to_string(records.size());
      record.mAddress = "10.0.0.1:" + std::to_string(1000 + records.size());
      record.mZone = group.mZone;
      record.mKind = group.mKind;
      record.mSlots = aProfile.mSlots;
      records.push_back(record);
    }
  }
  std::vector<const UpstreamRecord*> views;
  std::map<std::string, UpstreamRecord*> byInstance;
  for (UpstreamRecord& record : records) {
    views.push_back(&record);
    byInstance[record.mInstance] = &record;
  }
  for (const LayerOrder& order : PlanLayers(aProfile, views)) {
    byInstance[order.mInstance]->mLayers = order.mLayers;
  }
  return records;
}

ChoicePlayResult PlayChoices(const ChoicePlayOptions& aOptions) {
  return ChoicePlay(aOptions).Play();
}

ChoicePlayOptions LargeFleet() {
  ChoicePlayOptions options;
  EngineProfile& profile = options.mProfile;
  profile.mLayers = 80;
  profile.mLayerMb = 1750;
  profile.mSlots = 192;
  profile.mTokenBytes = 754000;
  profile.mActivationBytes = 37700;
  profile.mIntraZoneMbps = 400000;
  profile.mInterZoneMbps = 18000;
  profile.mStepMillis = 1.02;
  profile.mRequestMillis = 0.00586;
  profile.mContextMillis = 0.00785;
  profile.mPromptTokensPerSecond = 128000;
  profile.mPairMillis = 0.254;
  profile.mLoadSeconds = 14;
  profile.mZoneDelayMillis = 0.75;
  profile.mTypicalPromptTokens = 774;
  profile.mTypicalAnswerTokens = 214;
  profile.mKinds = {{"fast", 72000, 2.4, 3.2},
                    {"middle", 43200, 5.6, 2.7},
                    {"slow", 21600, 16, 8.2}};
  options.mGroups = {{"zone-1", "fast", 4},    {"zone-2", "fast", 2},
                     {"zone-3", "fast", 6},    {"zone-4", "fast", 4},
                     {"zone-5", "fast", 2},    {"zone-1", "middle", 11},
                     {"zone-2", "middle", 18}, {"zone-3", "middle", 8},
                     {"zone-4", "middle", 11}, {"zone-5", "middle", 18},
                     {"zone-1", "slow", 28},   {"zone-2", "slow", 16},
                     {"zone-3", "slow", 19},   {"zone-4", "slow", 28},
                     {"zone-5", "slow", 15}};
  options.mRouters = 195;
  options.mRequestsPerSecond = 490;
  options.mNewsAge = 1000;
  return options;
}

}  // namespace spindleweir
