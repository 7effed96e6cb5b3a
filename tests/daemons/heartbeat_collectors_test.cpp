#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

UpstreamRecord RecordOf(RelayFixture& aStory, const ScriptedUpstream& aUpstream,
                        UpstreamState aState) {
  return {.mInstance = aUpstream.Instance(),
          .mService = "counter",
          .mAddress = aUpstream.Address(),
          .mZone = "z",
          .mSlots = 6,
          .mState = aState,
          .mSequence = ++aStory.mSequence};
}

/// Sends a heartbeat to the router and waits for its answer.
HeartbeatAnswer BeatAtRouter(RelayFixture& aStory,
                             const UpstreamRecord& aRecord) {
  HeartbeatAnswer answer;
  bool ended = false;
  aStory.mRouter->ApplyHeartbeat(aRecord, [&](const HeartbeatAnswer& aAnswer) {
    answer = aAnswer;
    ended = true;
  });
  REQUIRE(aStory.RunUntil([&ended] { return ended; }));
  return answer;
}

}  // namespace

Test(takers_story, control_names_a_router_that_asks) {
  RelayFixture story(kShortWarmUp, {}, 0);
  story.Begin();
  std::string named;
  for (int i = 0; named.empty(); i++) {
    REQUIRE(i < 200);
    bool ended = false;
    story.mControl->ApplyHeartbeat(
        RecordOf(story, story.mA, UpstreamState::kReady),
        [&](const HeartbeatAnswer& aAnswer) {
          named = aAnswer.mNextAddress;
          ended = true;
        });
    REQUIRE(story.RunUntil([&ended] { return ended; }));
    story.Wait(10);
  }
  CHECK(named == kCollectorAddress);
}

Test(takers_story, what_a_router_takes_control_knows) {
  RelayFixture story;
  story.Begin();
  SECTION("an upstream whose every heartbeat goes by the router is used") {
    UpstreamRecord fresh = RecordOf(story, story.mB, UpstreamState::kReady);
    fresh.mInstance = "fresh";
    fresh.mAddress = "127.0.0.1:9";
    CHECK(BeatAtRouter(story, fresh).mAccepted);
    CHECK(story.RunUntil([&story] {
      story.mControl->RefreshGauges();
      return story.mControl->OwnCounters().Value("upstreams_known") == 3;
    }));
  }
  SECTION("one that leaves gets no new work once that is acknowledged") {
    CHECK(
        BeatAtRouter(story, RecordOf(story, story.mA, UpstreamState::kLeaving))
            .mAccepted);
    const int before = story.mA.AllRuns();
    for (int i = 0; i < 20; i++) {
      CHECK(story.Call("/look/x").mStatus == 200);
    }
    CHECK(story.mA.AllRuns() == before);
  }
}

Test(takers_story, what_no_control_knows_is_not_acknowledged) {
  RelayFixture story;
  story.Begin();
  story.mControl.reset();
  CHECK(!BeatAtRouter(story, RecordOf(story, story.mA, UpstreamState::kLeaving))
             .mAccepted);
  SECTION("nor does a router that stops take any") {
    story.mRouter->Stop();
    CHECK(!BeatAtRouter(story, RecordOf(story, story.mB, UpstreamState::kReady))
               .mAccepted);
  }
}
