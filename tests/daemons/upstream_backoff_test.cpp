/// Upstreams that turn requests away and ask for rest are left alone for that
/// time, whoever else is there.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr Millis kBackoff = 3000;
/// After this time of a rest at most kMaxDuringBackoff requests may come.
constexpr Millis kTold = 500;
constexpr int kMaxDuringBackoff = 2;
constexpr Millis kPause = 20;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Calls again and again until the rest that was asked for is nearly over.
/// Returns how many were answered so.
int CallDuringBackoff(RelayFixture& aFixture, const ScriptedUpstream& aResting,
                      const std::string& aTarget, int aStatus) {
  const Millis told = SteadyNow();
  int answered = 0;
  for (int calls = 0; SteadyNow() < told + kBackoff - kTold; calls++) {
    answered += aFixture.Call(aTarget).mStatus == aStatus ? 1 : 0;
    aFixture.Wait(kPause);
  }
  CHECK(aResting.ArrivalsSince(told + kTold) <= kMaxDuringBackoff);
  return answered;
}

/// Calls until this upstream has turned one away.
void AwaitRefusal(RelayFixture& aFixture, const ScriptedUpstream& aUpstream,
                  const std::string& aTarget) {
  const Millis from = SteadyNow();
  for (int i = 0; aUpstream.ArrivalsSince(from) == 0; i++) {
    REQUIRE(i < 200);
    aFixture.Call(aTarget);
    aFixture.Wait(kPause);
  }
}

/// Two engines that hold all layers; of two that have no work the first is
/// asked.
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

Test(upstream_backoff, of_a_plain_service_is_kept) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.TurnAway(kBackoff);
  AwaitRefusal(fixture, fixture.mA, "/look/1");
  CHECK(CallDuringBackoff(fixture, fixture.mA, "/look/1", kOk) > 0);
  SECTION("it gets requests again after it") {
    fixture.mA.TakeAgain();
    const int before = fixture.mA.AllRuns();
    for (int i = 0; fixture.mA.AllRuns() == before; i++) {
      REQUIRE(i < 200);
      fixture.Call("/look/1");
      fixture.Wait(kPause);
    }
  }
}

Test(upstream_backoff, of_an_engine_that_begins_paths_is_kept) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mFirst.TurnAway(kBackoff);
  AwaitRefusal(fixture, engines.mFirst, "/stream/1");
  CHECK(CallDuringBackoff(fixture, engines.mFirst, "/stream/1", kOk) > 0);
}

Test(upstream_backoff, is_kept_though_nobody_else_is_there) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.TurnAway(kBackoff);
  fixture.mB.TurnAway(kBackoff);
  AwaitRefusal(fixture, fixture.mA, "/look/1");
  AwaitRefusal(fixture, fixture.mB, "/look/1");
  SECTION("who calls is told at once that it did not run") {
    CHECK(CallDuringBackoff(fixture, fixture.mA, "/look/1", kUnavailable) > 0);
  }
}

Test(upstream_backoff, is_kept_by_streams_that_go_on_elsewhere) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mSecond.TurnAway(kBackoff);
  // Cut by the first, it is sent to the second.
  engines.mFirst.Next({UpstreamAct::kCut});
  CHECK(fixture.Call("/stream/1").mEnd == StreamEnd::kComplete);
  CHECK(engines.mSecond.ArrivalsSince(0) > 0);
  fixture.Wait(kTold);
  const Millis from = SteadyNow();
  for (int i = 0; i < 4; i++) {
    engines.mFirst.Next({UpstreamAct::kCut});
    CHECK(fixture.Call("/stream/1").mEnd == StreamEnd::kComplete);
  }
  CHECK(engines.mSecond.ArrivalsSince(from) <= kMaxDuringBackoff);
}

Test(upstream_backoff,
     is_not_needed_for_a_request_to_go_elsewhere_after_a_refusal) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mFirst.TurnAway(0);
  const Millis from = SteadyNow();
  constexpr int kCalls = 10;
  for (int i = 0; i < kCalls; i++) {
    CHECK(fixture.Call("/stream/1").mStatus == kOk);
  }
  CHECK(engines.mFirst.ArrivalsSince(from) <= kCalls / 2);
}

Test(upstream_backoff, of_the_only_engine_is_waited_for_by_a_begun_stream) {
  RelayFixture fixture;
  TwoEngines engines(fixture);
  engines.mFirst.Next({UpstreamAct::kStall});
  const auto open = fixture.Open("/stream/1", "begun");
  REQUIRE(fixture.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  fixture.SendEngineHeartbeat(engines.mFirst, {0, 8}, UpstreamState::kLeaving);
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 3;
  }));
  SECTION("which refuses for a moment, without asking for any") {
    engines.mSecond.TurnAway(0);
    engines.mFirst.Crash();
    fixture.Wait(kTold);
    engines.mSecond.TakeAgain();
    CHECK(fixture.RunUntil([&open] { return open->mEnded; }));
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
    CHECK(engines.mSecond.Runs("begun") == 1);
  }
}
