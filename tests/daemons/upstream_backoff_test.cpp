/// Upstreams that refuse a request and ask for a back-off get no requests for
/// that time, also if no other upstream is available.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr Millis kBackoff = 3000;
/// From this time after a refusal at most kMaxDuringBackoff requests may come.
constexpr Millis kSettleTime = 500;
constexpr int kMaxDuringBackoff = 2;
constexpr Millis kPause = 20;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Repeats calls until kSettleTime before the end of the back-off. Returns how
/// many were answered with aStatus.
int CallDuringBackoff(RelayFixture& aFixture, const ScriptedUpstream& aUpstream,
                      const std::string& aTarget, int aStatus) {
  const Millis from = SteadyNow();
  int answered = 0;
  for (int calls = 0; SteadyNow() < from + kBackoff - kSettleTime; calls++) {
    answered += aFixture.Call(aTarget).mStatus == aStatus ? 1 : 0;
    aFixture.Wait(kPause);
  }
  CHECK(aUpstream.ArrivalsSince(from + kSettleTime) <= kMaxDuringBackoff);
  return answered;
}

/// Sends calls until this upstream has refused one.
void AwaitRefusal(RelayFixture& aFixture, const ScriptedUpstream& aUpstream,
                  const std::string& aTarget) {
  const Millis from = SteadyNow();
  for (int i = 0; aUpstream.ArrivalsSince(from) == 0; i++) {
    REQUIRE(i < 200);
    aFixture.Call(aTarget);
    aFixture.Wait(kPause);
  }
}

/// Two engines that hold all layers; of two idle ones the first is chosen.
struct TwoEngines {
  explicit TwoEngines(RelayFixture& aFixture)
      : mFirst(aFixture.mLoop, "e1"), mSecond(aFixture.mLoop, "e2") {
    aFixture.Begin();
    aFixture.BeginEngine(mFirst);
    aFixture.SendEngineHeartbeat(mSecond);
    REQUIRE(aFixture.RunUntil([&aFixture] {
      aFixture.mRouter->RefreshGauges();
      return aFixture.mRouter->OwnCounters().Value("upstreams_ready") == 4;
    }));
  }

  ScriptedUpstream mFirst;
  ScriptedUpstream mSecond;
};

}  // namespace

Test(upstream_backoff, of_a_plain_service_is_honored) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.RejectRequests(kBackoff);
  AwaitRefusal(fixture, fixture.mA, "/look/1");
  CHECK(CallDuringBackoff(fixture, fixture.mA, "/look/1", kOk) > 0);
  SECTION("it gets requests again afterwards") {
    fixture.mA.AcceptRequests();
    const int before = fixture.mA.TotalRuns();
    for (int i = 0; fixture.mA.TotalRuns() == before; i++) {
      REQUIRE(i < 200);
      fixture.Call("/look/1");
      fixture.Wait(kPause);
    }
  }
}

Test(upstream_backoff, of_a_first_stage_engine_is_honored) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mFirst.RejectRequests(kBackoff);
  AwaitRefusal(fixture, engines.mFirst, "/stream/1");
  CHECK(CallDuringBackoff(fixture, engines.mFirst, "/stream/1", kOk) > 0);
}

Test(upstream_backoff, is_honored_without_another_upstream) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.RejectRequests(kBackoff);
  fixture.mB.RejectRequests(kBackoff);
  AwaitRefusal(fixture, fixture.mA, "/look/1");
  AwaitRefusal(fixture, fixture.mB, "/look/1");
  SECTION("callers are refused immediately") {
    CHECK(CallDuringBackoff(fixture, fixture.mA, "/look/1", kUnavailable) > 0);
  }
}

Test(upstream_backoff, is_honored_by_resumed_streams) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mSecond.RejectRequests(kBackoff);
  // Cut by the first engine, the stream is sent to the second.
  engines.mFirst.QueueActions({UpstreamAction::kTruncate});
  CHECK(fixture.Call("/stream/1").mEnd == StreamEnd::kComplete);
  CHECK(engines.mSecond.ArrivalsSince(0) > 0);
  fixture.Wait(kSettleTime);
  const Millis from = SteadyNow();
  for (int i = 0; i < 4; i++) {
    engines.mFirst.QueueActions({UpstreamAction::kTruncate});
    CHECK(fixture.Call("/stream/1").mEnd == StreamEnd::kComplete);
  }
  CHECK(engines.mSecond.ArrivalsSince(from) <= kMaxDuringBackoff);
}

Test(upstream_backoff, is_not_required_to_try_another_engine_after_a_refusal) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mFirst.RejectRequests(0);
  const Millis from = SteadyNow();
  constexpr int kCalls = 10;
  for (int i = 0; i < kCalls; i++) {
    CHECK(fixture.Call("/stream/1").mStatus == kOk);
  }
  CHECK(engines.mFirst.ArrivalsSince(from) <= kCalls / 2);
}

Test(upstream_backoff, of_the_only_engine_makes_a_started_stream_wait) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mFirst.QueueActions({UpstreamAction::kStall});
  const auto open = fixture.Open("/stream/1", "begun");
  REQUIRE(fixture.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  fixture.SendEngineHeartbeat(engines.mFirst, {0, 8}, UpstreamState::kLeaving);
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 3;
  }));
  SECTION("the engine refuses for a moment without asking for a back-off") {
    engines.mSecond.RejectRequests(0);
    engines.mFirst.Crash();
    fixture.Wait(kSettleTime);
    engines.mSecond.AcceptRequests();
    CHECK(fixture.RunUntil([&open] { return open->mEnded; }));
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
    CHECK(engines.mSecond.Runs("begun") == 1);
  }
}
