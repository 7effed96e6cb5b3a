#include <cmath>
#include <limits>
#include <map>

#include "bench/choice_play.h"
#include "spindleweir/servers/routing/arrival_rate.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// Returns pointers to the records of one zone.
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

PathQuery QueryOf(const ChoicePlayOptions& aFleet,
                  const std::vector<UpstreamRecord>& aRecords) {
  PathQuery query;
  query.mProfile = &aFleet.mProfile;
  query.mZone = "zone-1";
  query.mTokens = aFleet.mProfile.mTypicalPromptTokens +
                  aFleet.mProfile.mTypicalAnswerTokens;
  query.mPrefillTokens = aFleet.mProfile.mTypicalPromptTokens;
  query.mAnswerTokens = aFleet.mProfile.mTypicalAnswerTokens;
  query.mEngines = Views(aRecords, "zone-1");
  query.mLoadOf = [](const std::string&) { return EngineLoad(); };
  query.mRandom = [] { return 0.5; };
  return query;
}

}  // namespace

Test(choice, routers_with_delayed_load_reports_do_not_all_choose_one_path) {
  // Limits for the time to the first token and between events of six tokens, in
  // milliseconds.
  constexpr double kFirst = 600;
  constexpr double kPause = 300;
  constexpr double kTokensPerEvent = 6;
  ChoicePlayOptions play = LargeFleet();
  play.mRouters = 100;
  play.mLength = 6000;
  SECTION("with the cheapest path alone a third or more are refused") {
    play.mRule = ChoiceRule::kCheapest;
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.RefusedShare() > 0.33);
    CHECK(result.mBusiest > 8);
  }
  SECTION("with paths drawn by weight hardly any are refused") {
    play.mRule = ChoiceRule::kPathChoice;
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.RefusedShare() < 0.005);
    CHECK(result.mFirstP95 < kFirst);
    CHECK(result.mTokenP95 * kTokensPerEvent < kPause);
    CHECK(result.mBusiest < 3);
  }
  SECTION("few are refused under overload with recent load reports") {
    // Weighted by remaining capacity 0.030 are refused, by sustained rate
    // 0.002.
    play.mRequestsPerSecond = 850;
    play.mNewsAge = 500;
    play.mLength = 9000;
    CHECK(PlayChoices(play).RefusedShare() < 0.015);
  }
}

Test(choice, the_cheapest_path_is_chosen_without_unreported_requests) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  const PathQuery query = QueryOf(fleet, records);
  PathChooser choice;
  SECTION("no unreported requests") {
    const PathResult answer = choice.Choose(query, {.mRevision = 1});
    CHECK(!answer.mDrawnByWeight);
    CHECK(answer.mPath == ChoosePath(query).mPath);
  }
  SECTION(
      "with more unreported requests than capacity the path is drawn by "
      "weight") {
    const PathResult answer =
        choice.Choose(query, {.mUnreportedRequests = 500, .mRevision = 1});
    CHECK(answer.mDrawnByWeight);
    CHECK(!answer.mPath.empty());
  }
  SECTION("drawn paths have no excluded engines") {
    PathQuery excluding = query;
    for (const UpstreamRecord* engine : query.mEngines) {
      if (engine->mKind != "middle") {
        excluding.mExcludedEngines.insert(engine->mInstance);
      }
    }
    const PathResult answer =
        choice.Choose(excluding, {.mUnreportedRequests = 5000, .mRevision = 1});
    CHECK(answer.mDrawnByWeight);
    for (const PathStage& stage : answer.mPath) {
      CHECK(stage.mInstance.find("middle") != std::string::npos);
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
      fleet.mProfile.mTypicalPromptTokens + fleet.mProfile.mTypicalAnswerTokens;
  std::map<std::string, double> reserved;
  double rate = 0;
  for (const PathShare& path : paths) {
    rate += path.Rate();
    int next = 0;
    for (const PathStage& stage : path.mPath) {
      CHECK(stage.mLayers.mFrom == next);
      next = stage.mLayers.mTo;
      reserved[stage.mInstance] +=
          path.mMaxRequests * tokens * stage.mLayers.Count();
    }
    CHECK(next == fleet.mProfile.mLayers);
  }
  SECTION("no engine has more memory reserved than it has") {
    for (const UpstreamRecord* engine : engines) {
      const EngineModel model(fleet.mProfile,
                              *fleet.mProfile.FindKind(engine->mKind));
      CHECK(reserved[engine->mInstance] <=
            model.RequestCapacity(engine->mLayers.Count()));
    }
  }
  SECTION(
      "most engines are used, and the paths sustain the demand of the zone") {
    CHECK(reserved.size() * 10 > engines.size() * 7);
    CHECK(rate * 1000 > fleet.mRequestsPerSecond / 5);
  }
}

Test(choice, a_first_engine_has_a_limited_number_of_slots) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  PathQuery query = QueryOf(fleet, records);
  const std::string first = ChoosePath(query).mPath.front().mInstance;
  const double free = RequestCapacityLeft(query, ChoosePath(query).mPath);
  CHECK(free > 1);
  query.mLoadOf = [&first, &fleet](const std::string& aInstance) {
    return EngineLoad{.mFirstStageRequests =
                          aInstance == first
                              ? static_cast<double>(fleet.mProfile.mSlots)
                              : 0};
  };
  SECTION("an engine without free slots is not the first of a path") {
    CHECK(ChoosePath(query).mPath.front().mInstance != first);
  }
  SECTION(
      "without free slots at any engine no path is found for lack of room") {
    query.mLoadOf = [&fleet](const std::string&) {
      return EngineLoad{.mFirstStageRequests =
                            static_cast<double>(fleet.mProfile.mSlots)};
    };
    CHECK(ChoosePath(query).mPath.empty());
    CHECK(ChoosePath(query).mLacksRoom);
  }
}

Test(arrivals, the_estimate_of_other_requests_excludes_the_current_one) {
  ArrivalRate rate;
  rate.Add(10000);
  SECTION("a single request does not count as a rate of one per two seconds") {
    CHECK(rate.PerMilliExcluding(10000, 10000) == 0);
    CHECK(rate.PerMilliExcluding(10000, 10300) == 0);
    CHECK(rate.PerMilli(10000) == 0.0005);
  }
  SECTION("of two requests, only the other one counts") {
    rate.Add(10500);
    CHECK(std::abs(rate.PerMilliExcluding(10500, 10500) -
                   std::exp(-0.25) / 2000) < 1e-12);
    CHECK(std::abs(rate.PerMilliExcluding(10000, 10500) - 1.0 / 2000) < 1e-12);
  }
}

Test(arrivals, weights_decrease_with_age) {
  ArrivalRate rate;
  CHECK(rate.PerMilli(1000) == 0);
  for (Millis at = 0; at < 10000; at += 100) {
    rate.Add(at);
  }
  CHECK(std::abs(rate.PerMilli(10000) - 0.01) < 0.001);
  CHECK(rate.PerMilli(20000) < 0.001);
}
