/// Upstreams that say in their answers that they leave get no new requests,
/// whatever control knows of them.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr Millis kPause = 20;
constexpr int kOk = 200;
constexpr int kCalls = 50;

/// Calls until an answer of this upstream came.
void AwaitAnswer(RelayFixture& aStory, const ScriptedUpstream& aUpstream,
                 const std::string& aTarget) {
  const Millis from = SteadyNow();
  for (int i = 0; aUpstream.ArrivalsSince(from) == 0; i++) {
    REQUIRE(i < 200);
    aStory.Call(aTarget);
    aStory.Wait(kPause);
  }
}

/// Calls that must all be answered well.
void CheckServed(RelayFixture& aStory, const std::string& aTarget) {
  for (int i = 0; i < kCalls; i++) {
    const Answer answer = aStory.Call(aTarget);
    CHECK_FOUND(answer.mStatus == kOk,
                std::to_string(answer.mStatus) + " " + answer.mBody);
  }
}

}  // namespace

Test(upstream_leave, told_in_an_answer_of_a_plain_service_holds) {
  RelayFixture story;
  story.Begin();
  story.mA.SayLeaving();
  AwaitAnswer(story, story.mA, "/look/1");
  const Millis from = SteadyNow();
  CheckServed(story, "/look/1");
  CHECK(story.mA.ArrivalsSince(from) == 0);
  SECTION("a late heartbeat that calls it ready does not bring it back") {
    story.Beat(story.mA, UpstreamState::kReady);
    story.Wait(500);
    CheckServed(story, "/look/1");
    CHECK(story.mA.ArrivalsSince(from) == 0);
  }
  SECTION("neither does it that the other one fails") {
    story.mB.Next({UpstreamAct::kCut, UpstreamAct::kCut});
    story.Call("/look/1");
    CHECK(story.mA.ArrivalsSince(from) == 0);
  }
}

Test(upstream_leave, told_in_a_refusal_holds) {
  RelayFixture story;
  story.Begin();
  story.mA.SayLeaving();
  story.mA.TurnAway(0);
  AwaitAnswer(story, story.mA, "/look/1");
  const Millis from = SteadyNow();
  story.mA.TakeAgain();
  // Refusals alone are soon forgotten.
  story.Wait(500);
  CheckServed(story, "/look/1");
  CHECK(story.mA.ArrivalsSince(from) == 0);
}

Test(upstream_leave, told_in_an_answer_of_an_engine_holds) {
  RelayFixture story;
  ScriptedUpstream leaving(story.mLoop, "e1");
  ScriptedUpstream other(story.mLoop, "e2");
  story.Begin();
  story.BeginEngine(leaving);
  story.SendEngineHeartbeat(other);
  story.Wait(500);
  leaving.SayLeaving();
  AwaitAnswer(story, leaving, "/stream/1");
  const Millis from = SteadyNow();
  CheckServed(story, "/stream/1");
  CHECK(leaving.ArrivalsSince(from) == 0);
  SECTION("streams that go on elsewhere do not go there either") {
    other.Next({UpstreamAct::kCut});
    CHECK(story.Call("/stream/1").mEnd == StreamEnd::kComplete);
    CHECK(leaving.ArrivalsSince(from) == 0);
  }
}
