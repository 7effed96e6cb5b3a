#include <algorithm>

#include "bench/choice_play.h"
#include "spindleweir/servers/routing/engine_slowdowns.h"
#include "spindleweir/servers/routing/path_timing.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

using Path = std::vector<std::string>;

double Half() {
  return 0.5;
}

double Never() {
  return 0.99;
}

bool Polls(EngineSlowdowns& aSlowdowns, const std::string& aInstance,
           Millis aNow) {
  const std::vector<std::string> polled =
      aSlowdowns.EnginesToPoll(aNow, 1, Half);
  return std::find(polled.begin(), polled.end(), aInstance) != polled.end();
}

/// Applies the same report twice, since the first one may be outdated.
void ReportTwice(EngineSlowdowns& aSlowdowns, const std::string& aInstance,
                 double aSlowdown, Millis aNow) {
  aSlowdowns.OnEngineReport(aInstance, aSlowdown, aNow - 240);
  aSlowdowns.OnEngineReport(aInstance, aSlowdown, aNow);
}

/// Two in five engines are twelve times slower for four seconds.
ChoicePlayOptions SlowPlay() {
  ChoicePlayOptions play = LargeFleet();
  play.mRouters = 40;
  play.mRequestsPerSecond = 300;
  play.mNewsAge = 1000;
  play.mLength = 9000;
  play.mSlow = {.mShare = 0.4, .mTimes = 12, .mFrom = 1000, .mFor = 4000};
  return play;
}

}  // namespace

Test(slowdown, slow_engines_are_found_from_late_streams) {
  const Path ab{"a", "b"};
  const Path bc{"b", "c"};
  SECTION("engines on a late path are polled for a report") {
    EngineSlowdowns slowdowns;
    slowdowns.RecordLate(ab, 1000, 1150);
    CHECK(Polls(slowdowns, "a", 1160));
    // The first report describes a time before the stream was late.
    slowdowns.OnEngineReport("a", 1, 1170);
    slowdowns.RecordLate(ab, 1150, 1250);
    CHECK(!Polls(slowdowns, "a", 1260));
    CHECK(Polls(slowdowns, "a", 1420));
    ReportTwice(slowdowns, "a", 12, 1620);
    const std::vector<SlowdownChange> changes = slowdowns.Evaluate(1620);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mInstance == "a" && changes[0].mIsSlow);
    CHECK(slowdowns.SlowdownOf("a") == 12);
    CHECK(slowdowns.SlowdownOf("b") == 1);
  }
  SECTION("an engine is polled again after its first slow report") {
    EngineSlowdowns slowdowns;
    slowdowns.OnEngineReport("a", 12, 1000);
    CHECK(slowdowns.Evaluate(1000).empty());
    CHECK(Polls(slowdowns, "a", 1250));
    slowdowns.OnEngineReport("a", 12, 1260);
    CHECK(slowdowns.Evaluate(1260).size() == 1);
  }
  SECTION("an engine that is also on a path on time is not polled") {
    EngineSlowdowns slowdowns;
    slowdowns.RecordOnTime(bc, 1050);
    slowdowns.RecordLate(ab, 1000, 1150);
    CHECK(slowdowns.EnginesToPoll(1610, 1, Half) == Path{"a"});
  }
  SECTION("a path on time before the delay clears no engine") {
    EngineSlowdowns slowdowns;
    slowdowns.RecordOnTime(bc, 900);
    slowdowns.RecordLate(ab, 1000, 1150);
    CHECK(Polls(slowdowns, "b", 1610));
  }
  SECTION(
      "a known slow engine explains a late path, so that no other is "
      "suspected") {
    EngineSlowdowns slowdowns;
    ReportTwice(slowdowns, "a", 12, 1000);
    slowdowns.Evaluate(1000);
    slowdowns.RecordLate(ab, 1000, 1150);
    CHECK(slowdowns.EnginesToPoll(1610, 1, Half).empty());
  }
  SECTION(
      "an engine without a report is slow by the evidence of several streams") {
    EngineSlowdowns slowdowns;
    slowdowns.RecordOnTime(bc, 1100);
    for (Millis at = 1000; at < 1003; at++) {
      CHECK(slowdowns.Evaluate(1150).empty());
      slowdowns.RecordLate(ab, at, 1150);
    }
    CHECK(slowdowns.Evaluate(1150).size() == 1);
    CHECK(slowdowns.SlowdownOf("a") > 1);
    // It is used again after a while.
    CHECK(!slowdowns.Evaluate(3500).empty());
    CHECK(slowdowns.SlowdownOf("a") == 1);
  }
  SECTION("streams do not outweigh a report about the same time") {
    EngineSlowdowns slowdowns;
    slowdowns.OnEngineReport("a", 1, 1600);
    slowdowns.RecordOnTime(bc, 1100);
    for (Millis at = 1000; at < 1010; at++) {
      slowdowns.RecordLate(ab, at, 1150);
    }
    CHECK(slowdowns.Evaluate(1650).empty());
  }
  SECTION(
      "a report about the time before they were late does not contradict "
      "streams") {
    EngineSlowdowns slowdowns;
    slowdowns.RecordOnTime(bc, 1100);
    for (Millis at = 1000; at < 1010; at++) {
      slowdowns.RecordLate(ab, at, 1150);
    }
    slowdowns.OnEngineReport("a", 1, 1160);
    CHECK(slowdowns.Evaluate(1160).size() == 1);
    CHECK(slowdowns.SlowdownOf("a") > 1);
  }
}

Test(slowdown, false_alarms_cause_few_polls) {
  EngineSlowdowns slowdowns;
  int polled = 0;
  // A loaded fleet or a slow link: the streams of all 100 engines are late for
  // 20 s, and all engines report normal speed.
  for (Millis now = 0; now < 20000; now += 20) {
    for (int i = 0; i < 100; i += 2) {
      slowdowns.RecordLate(
          Path{"e" + std::to_string(i), "e" + std::to_string(i + 1)}, now - 150,
          now);
    }
    for (const std::string& instance : slowdowns.EnginesToPoll(now, 1, Half)) {
      polled++;
      slowdowns.OnEngineReport(instance, 1.2, now + 10);
    }
    CHECK(slowdowns.Evaluate(now).empty());
  }
  CHECK(polled > 0);
  CHECK(polled <= 22);
  CHECK(slowdowns.SlowEngines().empty());
}

Test(slowdown, routers_share_the_reports_that_they_poll) {
  EngineSlowdowns poller;
  ReportTwice(poller, "a", 8, 1000);
  LoadShares reported;
  poller.AddReports(reported, 1100);
  REQUIRE(reported.size() == 1);
  SECTION("the other routers apply the report of one router") {
    EngineSlowdowns other;
    other.ApplyPeerReports(reported, 1400);
    CHECK(other.Evaluate(1500).size() == 1);
    CHECK(other.SlowdownOf("a") == 8);
    other.RecordLate(Path{"a"}, 1400, 1550);
    CHECK(other.EnginesToPoll(1960, 1, Half).empty());
  }
  SECTION("two reporters do not double the slowdown") {
    EngineSlowdowns other;
    reported["a"].Add(reported["a"], 1);
    other.ApplyPeerReports(reported, 1400);
    other.Evaluate(1500);
    CHECK(other.SlowdownOf("a") == 8);
  }
  SECTION("a newer local report takes precedence") {
    EngineSlowdowns other;
    other.ApplyPeerReports(reported, 1400);
    other.OnEngineReport("a", 1, 1500);
    other.Evaluate(1510);
    CHECK(other.SlowdownOf("a") == 1);
  }
  SECTION(
      "without further peer reports the last one stays valid and then decays") {
    EngineSlowdowns other;
    other.ApplyPeerReports(reported, 1400);
    other.Evaluate(1400);
    other.ApplyPeerReports({}, 2000);
    CHECK(other.Evaluate(2800).empty());
    CHECK(!other.Evaluate(3900).empty());
  }
  SECTION("a router reports a recovery, which overrides older reports") {
    EngineSlowdowns other;
    other.ApplyPeerReports(reported, 1400);
    other.Evaluate(1400);
    other.OnEngineReport("a", 1, 1900);
    LoadShares recovered;
    other.AddReports(recovered, 2000);
    CHECK(recovered.at("a").mRecoveryReporters == 1);
    poller.Evaluate(1000);
    CHECK(poller.SlowdownOf("a") == 8);
    poller.ApplyPeerReports(recovered, 2400);
    poller.Evaluate(2400);
    CHECK(poller.SlowdownOf("a") == 1);
    CHECK(other.Evaluate(2000).size() == 1);
  }
  SECTION("a router without a slow report reports nothing") {
    EngineSlowdowns other;
    LoadShares nothing;
    other.OnEngineReport("a", 1, 1000);
    other.AddReports(nothing, 1010);
    CHECK(nothing.empty());
  }
}

Test(slowdown, a_slow_engine_is_used_again) {
  EngineSlowdowns slow;
  ReportTwice(slow, "a", 12, 1000);
  slow.Evaluate(1000);
  SECTION("a router with its report polls it again although it is unused") {
    EngineSlowdowns slowdowns = slow;
    const auto always = [] { return 0.0; };
    CHECK(slowdowns.EnginesToPoll(1600, 1, always).empty());
    CHECK(slowdowns.EnginesToPoll(1700, 1, Never).empty());
    CHECK(slowdowns.EnginesToPoll(1720, 1, always) == Path{"a"});
    slowdowns.OnEngineReport("a", 1, 1730);
    const std::vector<SlowdownChange> changes = slowdowns.Evaluate(1740);
    REQUIRE(changes.size() == 1);
    CHECK(!changes[0].mIsSlow);
  }
  SECTION(
      "without a report the slowdown decays, so that few requests use it "
      "first") {
    EngineSlowdowns slowdowns = slow;
    slowdowns.Evaluate(2900);
    const double fading = slowdowns.SlowdownOf("a");
    CHECK(fading > 1 && fading < 12);
    slowdowns.Evaluate(3600);
    CHECK(slowdowns.SlowdownOf("a") == 1);
  }
  SECTION("a forgotten engine is normal") {
    EngineSlowdowns slowdowns = slow;
    slowdowns.Forget("a");
    CHECK(slowdowns.SlowdownOf("a") == 1);
    CHECK(slowdowns.Evaluate(1100).empty());
  }
  SECTION("no state is stored for engines that are gone") {
    EngineSlowdowns slowdowns = slow;
    slowdowns.RecordOnTime(Path{"b"}, 1050);
    slowdowns.ForgetIf([](const std::string& aId) { return aId == "a"; });
    CHECK(slowdowns.TrackedEngines() == 1);
    CHECK(slowdowns.SlowdownOf("a") == 1);
    CHECK(slowdowns.Evaluate(1100).empty());
  }
}

Test(slowdown, slowdowns_are_transferred_with_the_loads) {
  LoadShares shares{{"a",
                     {.mInstance = "a",
                      .mRequests = 1,
                      .mSlowdownReporters = 2,
                      .mSlowdownPercent = 1600}},
                    {"b", {.mInstance = "b", .mRequests = 3}}};
  CHECK(UnpackLoads(PackLoads(shares)) == shares);
  SECTION("a table of an earlier version has no such columns") {
    LoadTable table = LoadTable::Of(shares);
    table.mSlowdownReporters.clear();
    table.mSlowdownPercent.clear();
    CHECK(table.ToShares().at("a").mSlowdownReporters == 0);
    CHECK(table.ToShares().at("a").mRequests == 1);
  }
  SECTION("without slow engines the columns are omitted") {
    const LoadShares recovered{{"b", shares.at("b")}};
    CHECK(LoadTable::Of(recovered).mSlowdownReporters.empty());
  }
  SECTION("an engine without load is included for its slowdown") {
    shares["a"].mRequests = 0;
    CHECK(LoadTable::Of(shares).mInstances.size() == 2);
  }
}

Test(slowdown, callers_are_served_on_time_with_two_in_five_engines_slow) {
  ChoicePlayOptions play = SlowPlay();
  SECTION("without slowdown detection a third or more are late") {
    play.mPaceRule = PaceRule::kNone;
    CHECK(PlayChoices(play).LateShare() > 0.33);
  }
  SECTION("with a higher cost for slow engines fewer than a quarter are late") {
    play.mPaceRule = PaceRule::kCost;
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.LateShare() < 0.25);
    CHECK(result.mFalseAlarms == 0);
    // The engines are used again after their recovery.
    CHECK(result.LateShareAfter() < 0.05);
    CHECK(result.mBackShare > 0.25);
  }
}

Test(slowdown, slow_engines_do_not_empty_a_zone) {
  ChoicePlayOptions play = SlowPlay();
  play.mLength = 4000;
  play.mSlow = {.mShare = 1, .mTimes = 3, .mFrom = 500, .mFor = 3500};
  SECTION("if all are slow all are still used") {
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.RefusedShare() < 0.02);
  }
}

Test(slowdown, the_requests_of_a_slow_zone_go_to_other_zones) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  PathQuery query;
  query.mProfile = &fleet.mProfile;
  query.mZone = "zone-1";
  query.mTokens =
      fleet.mProfile.mTypicalPromptTokens + fleet.mProfile.mTypicalAnswerTokens;
  query.mPrefillTokens = fleet.mProfile.mTypicalPromptTokens;
  query.mAnswerTokens = fleet.mProfile.mTypicalAnswerTokens;
  for (const UpstreamRecord& record : records) {
    query.mEngines.push_back(&record);
  }
  unsigned state = 0;
  query.mRandom = [&state] {
    state = state * 1103515245U + 12345U;
    return static_cast<double>(state >> 8U) / (1U << 24U);
  };
  bool allSlow = false;
  query.mLoadOf = [&allSlow](const std::string& aInstance) {
    const bool local = aInstance.starts_with("zone-1");
    return EngineLoad{.mSlowdown = local || allSlow ? 12.0 : 1.0};
  };
  const auto drawnInLocalZone = [&] {
    PathChooser choice;
    int local = 0;
    for (int i = 0; i < 50; i++) {
      const PathResult answer =
          choice.Choose(query, {.mUnreportedRequests = 5000, .mRevision = 1});
      REQUIRE(!answer.mPath.empty());
      const std::string& first = answer.mPath.front().mInstance;
      local += answer.mDrawnByWeight && first.starts_with("zone-1") ? 1 : 0;
    }
    return local;
  };
  SECTION("no path with slow engines is drawn if others are normal") {
    CHECK(drawnInLocalZone() == 0);
  }
  SECTION("paths of the local zone are drawn if all are slow") {
    allSlow = true;
    CHECK(drawnInLocalZone() > 0);
  }
}

Test(slowdown, load_does_not_make_an_engine_slow) {
  ChoicePlayOptions play = SlowPlay();
  play.mSlow = {};
  play.mRequestsPerSecond = 850;
  play.mLength = 4000;
  const ChoicePlayResult result = PlayChoices(play);
  CHECK(result.mFalseAlarms == 0);
  // A poll costs a hundredth of a late stream.
  CHECK(result.mQuestions < result.mRequests / 2);
}
