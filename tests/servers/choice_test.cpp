#include <cmath>
#include <limits>
#include <map>

#include "bench/choice_play.h"
#include "spindleweir/servers/routing/arrival_rate.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

std::vector<const UpstreamRecord*> Views(
    const std::vector<UpstreamRecord>& aRecords, const std::string& aZone) {
  std::vector<const UpstreamRecord*> views;
  for (const UpstreamRecord& record : aRecords) {
    if (record.mZone == aZone) {
      views.push_back(&record);
    }
  }
  return views;
}

PathQuery QuestionOf(const ChoicePlayOptions& aFleet,
                     const std::vector<UpstreamRecord>& aRecords) {
  PathQuery question;
  question.mProfile = &aFleet.mProfile;
  question.mZone = "zone-1";
  question.mTokens =
      aFleet.mProfile.mUsualPrompt + aFleet.mProfile.mUsualAnswer;
  question.mPrefillTokens = aFleet.mProfile.mUsualPrompt;
  question.mAnswerTokens = aFleet.mProfile.mUsualAnswer;
  question.mEngines = Views(aRecords, "zone-1");
  question.mLoadOf = [](const std::string&) { return EngineLoad(); };
  question.mRandom = [] { return 0.5; };
  return question;
}

}  // namespace

Test(choice, many_routers_with_late_news_do_not_all_go_one_way) {
  // What a caller may wait for the first token, and between events of six
  // tokens, in milliseconds.
  constexpr double kFirst = 600;
  constexpr double kPause = 300;
  constexpr double kTokensPerEvent = 6;
  ChoicePlayOptions play = LargeFleet();
  play.mRouters = 100;
  play.mLength = 6000;
  SECTION("by the cheapest path alone a third and more are refused") {
    play.mRule = ChoiceRule::kCheapest;
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.RefusedShare() > 0.33);
    CHECK(result.mBusiest > 8);
  }
  SECTION("dealt by what paths have left nobody is") {
    play.mRule = ChoiceRule::kPathChoice;
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.RefusedShare() < 0.005);
    CHECK(result.mFirstP95 < kFirst);
    CHECK(result.mTokenP95 * kTokensPerEvent < kPause);
    CHECK(result.mBusiest < 3);
  }
  SECTION("nor, but for a few, in a rush: no path is overrun for its room") {
    // Dealt by what is left 0.030 are refused, by what can be carried 0.002.
    play.mRequestsPerSecond = 850;
    play.mNewsAge = 500;
    play.mLength = 9000;
    CHECK(PlayChoices(play).RefusedShare() < 0.015);
  }
}

Test(choice, who_sees_all_takes_the_cheapest) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  const PathQuery question = QuestionOf(fleet, records);
  PathChooser choice;
  SECTION("with nothing unseen") {
    const PathResult answer = choice.Choose(question, {.mRevision = 1});
    CHECK(!answer.mDrawnByWeight);
    CHECK(answer.mPath == ChoosePath(question).mPath);
  }
  SECTION("with more unseen than it has places it is dealt") {
    const PathResult answer =
        choice.Choose(question, {.mUnreportedRequests = 500, .mRevision = 1});
    CHECK(answer.mDrawnByWeight);
    CHECK(!answer.mPath.empty());
  }
  SECTION("dealt paths leave out what is to be avoided") {
    PathQuery avoiding = question;
    for (const UpstreamRecord* engine : question.mEngines) {
      if (engine->mKind != "middle") {
        avoiding.mExcludedEngines.insert(engine->mInstance);
      }
    }
    const PathResult answer =
        choice.Choose(avoiding, {.mUnreportedRequests = 5000, .mRevision = 1});
    CHECK(answer.mDrawnByWeight);
    for (const PathStage& part : answer.mPath) {
      CHECK(part.mInstance.find("middle") != std::string::npos);
    }
  }
}

Test(choice, a_zone_is_divided_into_whole_paths) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  const std::vector<const UpstreamRecord*> engines = Views(records, "zone-1");
  const std::vector<PathShare> paths = DividePaths(fleet.mProfile, engines);
  const double tokens =
      fleet.mProfile.mUsualPrompt + fleet.mProfile.mUsualAnswer;
  std::map<std::string, double> promised;
  double rate = 0;
  for (const PathShare& path : paths) {
    rate += path.Rate();
    int next = 0;
    for (const PathStage& part : path.mPath) {
      CHECK(part.mLayers.mFrom == next);
      next = part.mLayers.mTo;
      promised[part.mInstance] +=
          path.mMaxRequests * tokens * part.mLayers.Count();
    }
    CHECK(next == fleet.mProfile.mLayers);
  }
  SECTION("no engine is promised more than it holds") {
    for (const UpstreamRecord* engine : engines) {
      const EngineModel model(fleet.mProfile,
                              *fleet.mProfile.FindKind(engine->mKind));
      CHECK(promised[engine->mInstance] <= model.Room(engine->mLayers.Count()));
    }
  }
  SECTION("most engines have a part, and the paths carry the zone's demand") {
    CHECK(promised.size() * 10 > engines.size() * 7);
    CHECK(rate * 1000 > fleet.mRequestsPerSecond / 5);
  }
}

Test(choice, a_first_engine_has_so_many_places) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  PathQuery question = QuestionOf(fleet, records);
  const std::string first = ChoosePath(question).mPath.front().mInstance;
  const double free = RequestCapacityLeft(question, ChoosePath(question).mPath);
  CHECK(free > 1);
  question.mLoadOf = [&first, &fleet](const std::string& aInstance) {
    return EngineLoad{.mFirstStageRequests =
                          aInstance == first
                              ? static_cast<double>(fleet.mProfile.mSlots)
                              : 0};
  };
  SECTION("one whose places are taken is not the first of a path") {
    CHECK(ChoosePath(question).mPath.front().mInstance != first);
  }
  SECTION("where all are taken there is no room") {
    question.mLoadOf = [&fleet](const std::string&) {
      return EngineLoad{.mFirstStageRequests =
                            static_cast<double>(fleet.mProfile.mSlots)};
    };
    CHECK(ChoosePath(question).mPath.empty());
    CHECK(ChoosePath(question).mLacksRoom);
  }
}

Test(arrivals, who_asks_how_much_others_are_asked_does_not_count_itself) {
  ArrivalRate rate;
  rate.Add(10000);
  SECTION("one call in a long time is no rate of one each two seconds") {
    CHECK(rate.PerMilliExcluding(10000, 10000) == 0);
    CHECK(rate.PerMilliExcluding(10000, 10300) == 0);
    CHECK(rate.PerMilli(10000) == 0.0005);
  }
  SECTION("of two, the other counts") {
    rate.Add(10500);
    CHECK(std::abs(rate.PerMilliExcluding(10500, 10500) -
                   std::exp(-0.25) / 2000) < 1e-12);
    CHECK(std::abs(rate.PerMilliExcluding(10000, 10500) - 1.0 / 2000) < 1e-12);
  }
}

Test(choice, arrivals_are_counted_by_their_age) {
  ArrivalRate rate;
  CHECK(rate.PerMilli(1000) == 0);
  for (Millis at = 0; at < 10000; at += 100) {
    rate.Add(at);
  }
  CHECK(std::abs(rate.PerMilli(10000) - 0.01) < 0.001);
  CHECK(rate.PerMilli(20000) < 0.001);
}
