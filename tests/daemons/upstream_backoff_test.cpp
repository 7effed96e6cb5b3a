/// Upstreams that turn requests away and ask for rest are left alone for that
/// time, whoever else is there.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr Millis kRest = 3000;
/// After this time of a rest at most kMostInRest requests may come.
constexpr Millis kTold = 500;
constexpr int kMostInRest = 2;
constexpr Millis kPause = 20;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Calls again and again until the rest that was asked for is nearly over.
/// Returns how many were answered so.
int CallThroughRest(RelayFixture& aStory, const ScriptedUpstream& aResting,
                    const std::string& aTarget, int aStatus) {
  const Millis told = SteadyNow();
  int answered = 0;
  for (int calls = 0; SteadyNow() < told + kRest - kTold; calls++) {
    answered += aStory.Call(aTarget).mStatus == aStatus ? 1 : 0;
    aStory.Wait(kPause);
  }
  CHECK(aResting.ArrivalsSince(told + kTold) <= kMostInRest);
  return answered;
}

/// Calls until this upstream has turned one away.
void AwaitRefusal(RelayFixture& aStory, const ScriptedUpstream& aUpstream,
                  const std::string& aTarget) {
  const Millis from = SteadyNow();
  for (int i = 0; aUpstream.ArrivalsSince(from) == 0; i++) {
    REQUIRE(i < 200);
    aStory.Call(aTarget);
    aStory.Wait(kPause);
  }
}

/// Two engines that hold all layers; of two that have no work the first is
/// asked.
struct TwoEngines {
  explicit TwoEngines(RelayFixture& aStory)
      : mFirst(aStory.mLoop, "e1"), mSecond(aStory.mLoop, "e2") {
    aStory.Begin();
    aStory.BeginEngine(mFirst);
    aStory.SendEngineHeartbeat(mSecond);
    REQUIRE(aStory.RunUntil([&aStory] {
      aStory.mRouter->RefreshGauges();
      return aStory.mRouter->OwnCounters().Value("upstreams_ready") == 4;
    }));
  }

  ScriptedUpstream mFirst;
  ScriptedUpstream mSecond;
};

}  // namespace

Test(upstream_rest, of_a_plain_service_is_kept) {
  RelayFixture story;
  story.Begin();
  story.mA.TurnAway(kRest);
  AwaitRefusal(story, story.mA, "/look/1");
  CHECK(CallThroughRest(story, story.mA, "/look/1", kOk) > 0);
  SECTION("it gets requests again after it") {
    story.mA.TakeAgain();
    const int before = story.mA.AllRuns();
    for (int i = 0; story.mA.AllRuns() == before; i++) {
      REQUIRE(i < 200);
      story.Call("/look/1");
      story.Wait(kPause);
    }
  }
}

Test(upstream_rest, of_an_engine_that_begins_paths_is_kept) {
  RelayFixture story;
  TwoEngines engines(story);
  engines.mFirst.TurnAway(kRest);
  AwaitRefusal(story, engines.mFirst, "/stream/1");
  CHECK(CallThroughRest(story, engines.mFirst, "/stream/1", kOk) > 0);
}

Test(upstream_rest, is_kept_though_nobody_else_is_there) {
  RelayFixture story;
  story.Begin();
  story.mA.TurnAway(kRest);
  story.mB.TurnAway(kRest);
  AwaitRefusal(story, story.mA, "/look/1");
  AwaitRefusal(story, story.mB, "/look/1");
  SECTION("who calls is told at once that it did not run") {
    CHECK(CallThroughRest(story, story.mA, "/look/1", kUnavailable) > 0);
  }
}

Test(upstream_rest, is_kept_by_streams_that_go_on_elsewhere) {
  RelayFixture story;
  TwoEngines engines(story);
  engines.mSecond.TurnAway(kRest);
  // Cut by the first, it is sent to the second.
  engines.mFirst.Next({UpstreamAct::kCut});
  CHECK(story.Call("/stream/1").mEnd == StreamEnd::kComplete);
  CHECK(engines.mSecond.ArrivalsSince(0) > 0);
  story.Wait(kTold);
  const Millis from = SteadyNow();
  for (int i = 0; i < 4; i++) {
    engines.mFirst.Next({UpstreamAct::kCut});
    CHECK(story.Call("/stream/1").mEnd == StreamEnd::kComplete);
  }
  CHECK(engines.mSecond.ArrivalsSince(from) <= kMostInRest);
}

Test(upstream_rest,
     is_not_needed_for_a_request_to_go_elsewhere_after_a_refusal) {
  RelayFixture story;
  TwoEngines engines(story);
  engines.mFirst.TurnAway(0);
  const Millis from = SteadyNow();
  constexpr int kCalls = 10;
  for (int i = 0; i < kCalls; i++) {
    CHECK(story.Call("/stream/1").mStatus == kOk);
  }
  CHECK(engines.mFirst.ArrivalsSince(from) <= kCalls / 2);
}

Test(upstream_rest, of_the_only_engine_is_waited_for_by_a_begun_stream) {
  RelayFixture story;
  TwoEngines engines(story);
  engines.mFirst.Next({UpstreamAct::kStall});
  const auto open = story.Open("/stream/1", "begun");
  REQUIRE(story.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  story.SendEngineHeartbeat(engines.mFirst, {0, 8}, UpstreamState::kLeaving);
  REQUIRE(story.RunUntil([&story] {
    story.mRouter->RefreshGauges();
    return story.mRouter->OwnCounters().Value("upstreams_ready") == 3;
  }));
  SECTION("which refuses for a moment, without asking for any") {
    engines.mSecond.TurnAway(0);
    engines.mFirst.Crash();
    story.Wait(kTold);
    engines.mSecond.TakeAgain();
    CHECK(story.RunUntil([&open] { return open->mEnded; }));
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
    CHECK(engines.mSecond.Runs("begun") == 1);
  }
}
