#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

UpstreamRecord RecordOf(RelayFixture& aFixture,
                        const ScriptedUpstream& aUpstream,
                        UpstreamState aState) {
  return {.mInstance = aUpstream.Instance(),
          .mService = "counter",
          .mAddress = aUpstream.Address(),
          .mZone = "z",
          .mSlots = 6,
          .mState = aState,
          .mSequence = ++aFixture.mSequence};
}

/// Sends a heartbeat to the router and waits for its answer.
HeartbeatAnswer SendHeartbeatToRouter(RelayFixture& aFixture,
                                      const UpstreamRecord& aRecord) {
  HeartbeatAnswer answer;
  bool ended = false;
  aFixture.mRouter->ApplyHeartbeat(aRecord,
                                   [&](const HeartbeatAnswer& aAnswer) {
                                     answer = aAnswer;
                                     ended = true;
                                   });
  REQUIRE(aFixture.RunUntil([&ended] { return ended; }));
  return answer;
}

}  // namespace

Test(heartbeat_collectors, control_refers_upstreams_to_a_router_that_polls_it) {
  RelayFixture fixture(kShortWarmUp, {}, 0);
  fixture.Begin();
  std::string collector;
  for (int i = 0; collector.empty(); i++) {
    REQUIRE(i < 200);
    bool ended = false;
    fixture.mControl->ApplyHeartbeat(
        RecordOf(fixture, fixture.mA, UpstreamState::kReady),
        [&](const HeartbeatAnswer& aAnswer) {
          collector = aAnswer.mNextAddress;
          ended = true;
        });
    REQUIRE(fixture.RunUntil([&ended] { return ended; }));
    fixture.Wait(10);
  }
  CHECK(collector == kCollectorAddress);
}

Test(heartbeat_collectors, a_router_reports_collected_heartbeats_to_control) {
  RelayFixture fixture;
  fixture.Begin();
  SECTION("an upstream that sends heartbeats only to the router is known") {
    UpstreamRecord fresh = RecordOf(fixture, fixture.mB, UpstreamState::kReady);
    fresh.mInstance = "fresh";
    fresh.mAddress = "127.0.0.1:9";
    CHECK(SendHeartbeatToRouter(fixture, fresh).mAccepted);
    CHECK(fixture.RunUntil([&fixture] {
      fixture.mControl->RefreshGauges();
      return fixture.mControl->OwnCounters().Value("upstreams_known") == 3;
    }));
  }
  SECTION("a leaving upstream gets no new requests after the acknowledgement") {
    CHECK(SendHeartbeatToRouter(
              fixture, RecordOf(fixture, fixture.mA, UpstreamState::kLeaving))
              .mAccepted);
    const int before = fixture.mA.TotalRuns();
    for (int i = 0; i < 20; i++) {
      CHECK(fixture.Call("/look/x").mStatus == 200);
    }
    CHECK(fixture.mA.TotalRuns() == before);
  }
}

Test(heartbeat_collectors,
     a_heartbeat_that_no_control_received_is_not_acknowledged) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mControl.reset();
  CHECK(!SendHeartbeatToRouter(
             fixture, RecordOf(fixture, fixture.mA, UpstreamState::kLeaving))
             .mAccepted);
  SECTION("a stopping router accepts none") {
    fixture.mRouter->Stop();
    CHECK(!SendHeartbeatToRouter(
               fixture, RecordOf(fixture, fixture.mB, UpstreamState::kReady))
               .mAccepted);
  }
}
