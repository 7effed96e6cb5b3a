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

bool Asks(EngineSlowdowns& aPaces, const std::string& aInstance, Millis aNow) {
  const std::vector<std::string> asked = aPaces.EnginesToPoll(aNow, 1, Half);
  return std::find(asked.begin(), asked.end(), aInstance) != asked.end();
}

/// An engine says it twice: what it says first may be old.
void SayTwice(EngineSlowdowns& aPaces, const std::string& aInstance,
              double aSlowdown, Millis aNow) {
  aPaces.OnEngineReport(aInstance, aSlowdown, aNow - 240);
  aPaces.OnEngineReport(aInstance, aSlowdown, aNow);
}

/// Two in five engines twelve times slower for four seconds.
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

Test(pace, what_is_slow_is_found_in_late_streams) {
  const Path ab{"a", "b"};
  const Path bc{"b", "c"};
  SECTION("who is on a late path is asked for its word") {
    EngineSlowdowns paces;
    paces.RecordLate(ab, 1000, 1150);
    CHECK(Asks(paces, "a", 1160));
    // What it says to the first question was true before the stream was late.
    paces.OnEngineReport("a", 1, 1170);
    paces.RecordLate(ab, 1150, 1250);
    CHECK(!Asks(paces, "a", 1260));
    CHECK(Asks(paces, "a", 1420));
    SayTwice(paces, "a", 12, 1620);
    const std::vector<SlowdownChange> changes = paces.Evaluate(1620);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mInstance == "a" && changes[0].mIsSlow);
    CHECK(paces.SlowdownOf("a") == 12);
    CHECK(paces.SlowdownOf("b") == 1);
  }
  SECTION("a first word that it is slow is asked for again") {
    EngineSlowdowns paces;
    paces.OnEngineReport("a", 12, 1000);
    CHECK(paces.Evaluate(1000).empty());
    CHECK(Asks(paces, "a", 1250));
    paces.OnEngineReport("a", 12, 1260);
    CHECK(paces.Evaluate(1260).size() == 1);
  }
  SECTION("who is on a path that was in time meanwhile isn't") {
    EngineSlowdowns paces;
    paces.RecordOnTime(bc, 1050);
    paces.RecordLate(ab, 1000, 1150);
    CHECK(paces.EnginesToPoll(1610, 1, Half) == Path{"a"});
  }
  SECTION("a path in time from before says nothing") {
    EngineSlowdowns paces;
    paces.RecordOnTime(bc, 900);
    paces.RecordLate(ab, 1000, 1150);
    CHECK(Asks(paces, "b", 1610));
  }
  SECTION("a path is late for what is known to be slow in it, not for others") {
    EngineSlowdowns paces;
    SayTwice(paces, "a", 12, 1000);
    paces.Evaluate(1000);
    paces.RecordLate(ab, 1000, 1150);
    CHECK(paces.EnginesToPoll(1610, 1, Half).empty());
  }
  SECTION("an engine that gives no word is judged by several streams alone") {
    EngineSlowdowns paces;
    paces.RecordOnTime(bc, 1100);
    for (Millis at = 1000; at < 1003; at++) {
      CHECK(paces.Evaluate(1150).empty());
      paces.RecordLate(ab, at, 1150);
    }
    CHECK(paces.Evaluate(1150).size() == 1);
    CHECK(paces.SlowdownOf("a") > 1);
    // It is tried again after a time.
    CHECK(!paces.Evaluate(3500).empty());
    CHECK(paces.SlowdownOf("a") == 1);
  }
  SECTION("but not against its word, where that is about the same time") {
    EngineSlowdowns paces;
    paces.OnEngineReport("a", 1, 1600);
    paces.RecordOnTime(bc, 1100);
    for (Millis at = 1000; at < 1010; at++) {
      paces.RecordLate(ab, at, 1150);
    }
    CHECK(paces.Evaluate(1650).empty());
  }
  SECTION("its word of before they were late does not contradict them") {
    EngineSlowdowns paces;
    paces.RecordOnTime(bc, 1100);
    for (Millis at = 1000; at < 1010; at++) {
      paces.RecordLate(ab, at, 1150);
    }
    paces.OnEngineReport("a", 1, 1160);
    CHECK(paces.Evaluate(1160).size() == 1);
    CHECK(paces.SlowdownOf("a") > 1);
  }
}

Test(pace, false_alarms_cost_few_questions) {
  EngineSlowdowns paces;
  int asked = 0;
  // A loaded fleet, or a slow link: 100 engines, all of whose streams are late
  // for 20 s, and all of which say that they are well.
  for (Millis now = 0; now < 20000; now += 20) {
    for (int i = 0; i < 100; i += 2) {
      paces.RecordLate(
          Path{"e" + std::to_string(i), "e" + std::to_string(i + 1)}, now - 150,
          now);
    }
    for (const std::string& instance : paces.EnginesToPoll(now, 1, Half)) {
      asked++;
      paces.OnEngineReport(instance, 1.2, now + 10);
    }
    CHECK(paces.Evaluate(now).empty());
  }
  CHECK(asked > 0);
  CHECK(asked <= 22);
  CHECK(paces.SlowEngines().empty());
}

Test(pace, one_router_asks_for_all) {
  EngineSlowdowns asker;
  SayTwice(asker, "a", 8, 1000);
  LoadShares told;
  asker.AddReports(told, 1100);
  REQUIRE(told.size() == 1);
  SECTION("what one was told all take") {
    EngineSlowdowns other;
    other.ApplyPeerReports(told, 1400);
    CHECK(other.Evaluate(1500).size() == 1);
    CHECK(other.SlowdownOf("a") == 8);
    other.RecordLate(Path{"a"}, 1400, 1550);
    CHECK(other.EnginesToPoll(1960, 1, Half).empty());
  }
  SECTION("two that tell are not twice as slow") {
    EngineSlowdowns other;
    told["a"].Add(told["a"], 1);
    other.ApplyPeerReports(told, 1400);
    other.Evaluate(1500);
    CHECK(other.SlowdownOf("a") == 8);
  }
  SECTION("a word of its own that is newer goes before") {
    EngineSlowdowns other;
    other.ApplyPeerReports(told, 1400);
    other.OnEngineReport("a", 1, 1500);
    other.Evaluate(1510);
    CHECK(other.SlowdownOf("a") == 1);
  }
  SECTION("where they tell nothing any more it holds and fades") {
    EngineSlowdowns other;
    other.ApplyPeerReports(told, 1400);
    other.Evaluate(1400);
    other.ApplyPeerReports({}, 2000);
    CHECK(other.Evaluate(2800).empty());
    CHECK(!other.Evaluate(3900).empty());
  }
  SECTION("one that hears it is well again tells it, against older words") {
    EngineSlowdowns other;
    other.ApplyPeerReports(told, 1400);
    other.Evaluate(1400);
    other.OnEngineReport("a", 1, 1900);
    LoadShares well;
    other.AddReports(well, 2000);
    CHECK(well.at("a").mRecoveryReporters == 1);
    asker.Evaluate(1000);
    CHECK(asker.SlowdownOf("a") == 8);
    asker.ApplyPeerReports(well, 2400);
    asker.Evaluate(2400);
    CHECK(asker.SlowdownOf("a") == 1);
    CHECK(other.Evaluate(2000).size() == 1);
  }
  SECTION("who was told nothing slow tells nothing") {
    EngineSlowdowns other;
    LoadShares nothing;
    other.OnEngineReport("a", 1, 1000);
    other.AddReports(nothing, 1010);
    CHECK(nothing.empty());
  }
}

Test(pace, a_slow_engine_comes_back) {
  EngineSlowdowns slow;
  SayTwice(slow, "a", 12, 1000);
  slow.Evaluate(1000);
  SECTION("it is asked again by one that holds its word, though unused") {
    EngineSlowdowns paces = slow;
    const auto always = [] { return 0.0; };
    CHECK(paces.EnginesToPoll(1600, 1, always).empty());
    CHECK(paces.EnginesToPoll(1700, 1, Never).empty());
    CHECK(paces.EnginesToPoll(1720, 1, always) == Path{"a"});
    paces.OnEngineReport("a", 1, 1730);
    const std::vector<SlowdownChange> changes = paces.Evaluate(1740);
    REQUIRE(changes.size() == 1);
    CHECK(!changes[0].mIsSlow);
  }
  SECTION("without a word it fades, so that few try it first") {
    EngineSlowdowns paces = slow;
    paces.Evaluate(2900);
    const double fading = paces.SlowdownOf("a");
    CHECK(fading > 1 && fading < 12);
    paces.Evaluate(3600);
    CHECK(paces.SlowdownOf("a") == 1);
  }
  SECTION("a new start knows nothing of it") {
    EngineSlowdowns paces = slow;
    paces.Forget("a");
    CHECK(paces.SlowdownOf("a") == 1);
    CHECK(paces.Evaluate(1100).empty());
  }
  SECTION("nothing is kept of engines that are gone") {
    EngineSlowdowns paces = slow;
    paces.RecordOnTime(Path{"b"}, 1050);
    paces.ForgetIf([](const std::string& aId) { return aId == "a"; });
    CHECK(paces.TrackedEngines() == 1);
    CHECK(paces.SlowdownOf("a") == 1);
    CHECK(paces.Evaluate(1100).empty());
  }
}

Test(pace, paces_travel_with_the_loads) {
  LoadShares shares{{"a",
                     {.mInstance = "a",
                      .mRequests = 1,
                      .mSlowdownReporters = 2,
                      .mSlowdownPercent = 1600}},
                    {"b", {.mInstance = "b", .mRequests = 3}}};
  CHECK(UnpackLoads(PackLoads(shares)) == shares);
  SECTION("a table of a former version has no such columns") {
    LoadTable table = LoadTable::Of(shares);
    table.mSlowdownReporters.clear();
    table.mSlowdownPercent.clear();
    CHECK(table.ToShares().at("a").mSlowdownReporters == 0);
    CHECK(table.ToShares().at("a").mRequests == 1);
  }
  SECTION("where all are well none travel") {
    const LoadShares well{{"b", shares.at("b")}};
    CHECK(LoadTable::Of(well).mSlowdownReporters.empty());
  }
  SECTION("an engine without work of the teller travels for its pace") {
    shares["a"].mRequests = 0;
    CHECK(LoadTable::Of(shares).mInstances.size() == 2);
  }
}

Test(pace, callers_are_in_time_though_two_in_five_engines_are_slow) {
  ChoicePlayOptions play = SlowPlay();
  SECTION("nothing done, most are late") {
    play.mPaceRule = PaceRule::kNone;
    CHECK(PlayChoices(play).LateShare() > 0.33);
  }
  SECTION("slow engines cost more: few are, none for long") {
    play.mPaceRule = PaceRule::kCost;
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.LateShare() < 0.25);
    CHECK(result.mFalseAlarms == 0);
    // And they are used again once they are well.
    CHECK(result.LateShareAfter() < 0.05);
    CHECK(result.mBackShare > 0.25);
  }
}

Test(pace, slow_engines_do_not_empty_a_zone) {
  ChoicePlayOptions play = SlowPlay();
  play.mLength = 4000;
  play.mSlow = {.mShare = 1, .mTimes = 3, .mFrom = 500, .mFor = 3500};
  SECTION("where all are slow all are used on") {
    const ChoicePlayResult result = PlayChoices(play);
    CHECK(result.RefusedShare() < 0.02);
  }
}

Test(pace, what_a_slowed_zone_would_carry_goes_to_others) {
  const ChoicePlayOptions fleet = LargeFleet();
  const std::vector<UpstreamRecord> records =
      PlacedEngines(fleet.mProfile, fleet.mGroups);
  PathQuery question;
  question.mProfile = &fleet.mProfile;
  question.mZone = "zone-1";
  question.mTokens = fleet.mProfile.mUsualPrompt + fleet.mProfile.mUsualAnswer;
  question.mPrefillTokens = fleet.mProfile.mUsualPrompt;
  question.mAnswerTokens = fleet.mProfile.mUsualAnswer;
  for (const UpstreamRecord& record : records) {
    question.mEngines.push_back(&record);
  }
  unsigned drawn = 0;
  question.mRandom = [&drawn] {
    drawn = drawn * 1103515245U + 12345U;
    return static_cast<double>(drawn >> 8U) / (1U << 24U);
  };
  bool allSlow = false;
  question.mLoadOf = [&allSlow](const std::string& aInstance) {
    const bool own = aInstance.starts_with("zone-1");
    return EngineLoad{.mSlowdown = own || allSlow ? 12.0 : 1.0};
  };
  const auto dealtInOwnZone = [&] {
    PathChooser choice;
    int own = 0;
    for (int i = 0; i < 50; i++) {
      const PathResult answer = choice.Choose(
          question, {.mUnreportedRequests = 5000, .mRevision = 1});
      REQUIRE(!answer.mPath.empty());
      const std::string& first = answer.mPath.front().mInstance;
      own += answer.mDrawnByWeight && first.starts_with("zone-1") ? 1 : 0;
    }
    return own;
  };
  SECTION("no path with slow engines is dealt where others are sound") {
    CHECK(dealtInOwnZone() == 0);
  }
  SECTION("where all are slow the own ones are") {
    allSlow = true;
    CHECK(dealtInOwnZone() > 0);
  }
}

Test(pace, load_is_no_slow_engine) {
  ChoicePlayOptions play = SlowPlay();
  play.mSlow = {};
  play.mRequestsPerSecond = 850;
  play.mLength = 4000;
  const ChoicePlayResult result = PlayChoices(play);
  CHECK(result.mFalseAlarms == 0);
  // Each costs a hundredth of what a late stream does.
  CHECK(result.mQuestions < result.mRequests / 2);
}
