/// Upstreams whose answers carry a leave notice get no new requests, whatever
/// state control reports for them.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr Millis kPause = 20;
constexpr int kOk = 200;
constexpr int kCalls = 50;

/// Sends calls until this upstream has received one.
void AwaitAnswer(RelayFixture& aFixture, const ScriptedUpstream& aUpstream,
                 const std::string& aTarget) {
  const Millis from = SteadyNow();
  for (int i = 0; aUpstream.ArrivalsSince(from) == 0; i++) {
    REQUIRE(i < 200);
    aFixture.Call(aTarget);
    aFixture.Wait(kPause);
  }
}

/// Checks that kCalls calls are all answered with 200.
void CheckServed(RelayFixture& aFixture, const std::string& aTarget) {
  for (int i = 0; i < kCalls; i++) {
    const Answer answer = aFixture.Call(aTarget);
    CHECK_FOUND(answer.mStatus == kOk,
                std::to_string(answer.mStatus) + " " + answer.mBody);
  }
}

}  // namespace

Test(upstream_leave, a_leave_notice_of_a_plain_service_is_honored) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.AnnounceLeaving();
  AwaitAnswer(fixture, fixture.mA, "/look/1");
  const Millis from = SteadyNow();
  CheckServed(fixture, "/look/1");
  CHECK(fixture.mA.ArrivalsSince(from) == 0);
  SECTION("a late heartbeat that calls it ready does not bring it back") {
    fixture.SendHeartbeat(fixture.mA, UpstreamState::kReady);
    fixture.Wait(500);
    CheckServed(fixture, "/look/1");
    CHECK(fixture.mA.ArrivalsSince(from) == 0);
  }
  SECTION("nor does a failure of the other upstream") {
    fixture.mB.QueueActions(
        {UpstreamAction::kTruncate, UpstreamAction::kTruncate});
    fixture.Call("/look/1");
    CHECK(fixture.mA.ArrivalsSince(from) == 0);
  }
}

Test(upstream_leave, a_leave_notice_in_a_refusal_is_honored) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.AnnounceLeaving();
  fixture.mA.RejectRequests(0);
  AwaitAnswer(fixture, fixture.mA, "/look/1");
  const Millis from = SteadyNow();
  fixture.mA.AcceptRequests();
  // Longer than the effect of a refusal without a leave notice.
  fixture.Wait(500);
  CheckServed(fixture, "/look/1");
  CHECK(fixture.mA.ArrivalsSince(from) == 0);
}

Test(upstream_leave, a_leave_notice_of_an_engine_is_honored) {
  RelayFixture fixture;
  ScriptedUpstream leaving(fixture.mLoop, "e1");
  ScriptedUpstream other(fixture.mLoop, "e2");
  fixture.Begin();
  fixture.BeginEngine(leaving);
  fixture.SendEngineHeartbeat(other);
  fixture.Wait(500);
  leaving.AnnounceLeaving();
  AwaitAnswer(fixture, leaving, "/stream/1");
  const Millis from = SteadyNow();
  CheckServed(fixture, "/stream/1");
  CHECK(leaving.ArrivalsSince(from) == 0);
  SECTION("a stream that is cut does not resume there") {
    other.QueueActions({UpstreamAction::kTruncate});
    CHECK(fixture.Call("/stream/1").mEnd == StreamEnd::kComplete);
    CHECK(leaving.ArrivalsSince(from) == 0);
  }
}
