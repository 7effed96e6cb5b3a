/// What users saw around planned stops of routers: streams taken after the
/// signal and cut at the end of the grace, requests that were closed without an
/// answer, and nothing in the logs but that their callers had left. The order
/// of events: the signal; callers still come, by the balancer or on connections
/// that they kept; the grace ends. The causes: any request was taken for 2.8 s
/// whatever time it needs, the process ended while it listened and while
/// answers were unread, and what it cut was logged as left by its caller.
///
/// The evidence: 11 streams of one day cut 7.7 s after the signal, most of them
/// taken after it, each logged 1 ms after "stopped".
#include <algorithm>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

/// Of a router that is about to stop: shorter than a late answer takes.
constexpr Millis kShortGrace = 2300;
static_assert(kShortGrace - ScriptedUpstream::kLateBy < 300);

std::int64_t EndedAs(RelayRouter& aRouter, const char* aRoute,
                     const char* aOutcome, int aStatus) {
  return aRouter.OwnCounters().Value(
      "requests", std::string("route=\"") + aRoute + "\",outcome=\"" +
                      aOutcome + "\",status=\"" + std::to_string(aStatus) +
                      "\"");
}

/// A fixture whose router has a short grace.
struct StopFixture : RelayFixture {
  StopFixture() {
    mStopGrace = kShortGrace;
    mRouter.reset();
    StartRouter();
    Begin();
  }
};

}  // namespace

Test(planned_stop, what_cannot_end_in_time_is_sent_elsewhere_at_once) {
  StopFixture fixture;
  constexpr int kLateCalls = 8;
  fixture.mA.Next(std::vector<UpstreamAct>(kLateCalls, UpstreamAct::kLate));
  fixture.mB.Next(std::vector<UpstreamAct>(kLateCalls, UpstreamAct::kLate));
  std::vector<std::unique_ptr<OpenCall>> late;
  for (int i = 0; i < kLateCalls; i++) {
    late.push_back(fixture.Open("/pay/1", "late" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&late] {
    return std::all_of(late.begin(), late.end(),
                       [](const auto& aOpen) { return aOpen->mEnded; });
  }));
  fixture.mA.Next({});
  fixture.mB.Next({});
  fixture.mRouter->Stop();
  SECTION("a call of a service that takes longer than is left") {
    const Answer answer = fixture.Call("/pay/1");
    CHECK(answer.mStatus == 503);
    CHECK(fixture.RunsOfLast() == 0);
    const std::string* after = FindHeader(answer.mHeaders, "Retry-After");
    CHECK(after != nullptr && std::stod(*after) == 0);
  }
  SECTION("one whose caller waits for less than what is left is served") {
    CHECK(fixture.Call("/look/1", "key", 1000).mStatus == 200);
  }
}

Test(planned_stop, what_is_left_at_the_end_gets_an_answer) {
  StopFixture fixture;
  fixture.mA.Next({UpstreamAct::kSilent});
  fixture.mB.Next({UpstreamAct::kSilent});
  const auto open = fixture.Open("/pay/1", "left");
  REQUIRE(fixture.RunUntil([&fixture] {
    return fixture.mA.Runs("left") + fixture.mB.Runs("left") == 1;
  }));
  fixture.mRouter->Stop();
  CHECK(fixture.RunUntil([&open] { return open->mEnded; }));
  SECTION("it may have run: no promise that it did not") {
    CHECK(open->mAnswer.mStatus == 502);
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
  }
}

Test(planned_stop, it_ends_after_its_slowest_caller_has_the_answer) {
  constexpr std::size_t kBytes = 4 * 1000 * 1000;
  StopFixture fixture;
  fixture.mA.SetBytes(kBytes);
  fixture.mB.SetBytes(kBytes);
  const auto open = fixture.Open("/pay/1", "slow");
  open->mCall->Pause(true);
  REQUIRE(fixture.RunUntil([&fixture] {
    return EndedAs(*fixture.mRouter, "pay", "served", 200) == 1;
  }));
  fixture.mRouter->Stop();
  const auto resume =
      fixture.mLoop.After(1200, [&open] { open->mCall->Pause(false); });
  SECTION("it would have nothing more to do before its caller reads") {
    fixture.RunUntil([&open] { return open->mEnded; });
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
    CHECK(open->mAnswer.mBody == ScriptedUpstream::BodyOf("slow", kBytes));
  }
}

Test(planned_stop, a_stream_that_is_cut_is_known_to_be_cut_by_the_router) {
  StopFixture fixture;
  ScriptedUpstream engine(fixture.mLoop, "engine");
  fixture.BeginEngine(engine);
  engine.Next({UpstreamAct::kStall});
  const auto open = fixture.Open("/stream/1", "cut");
  REQUIRE(fixture.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  fixture.mRouter->Stop();
  CHECK(fixture.RunUntil([&open] { return open->mEnded; }));
  CHECK(open->mAnswer.mEnd == StreamEnd::kLost);
  CHECK(EndedAs(*fixture.mRouter, "stream", "router_ended", 0) == 1);
  CHECK(EndedAs(*fixture.mRouter, "stream", "caller_gone", 0) == 0);
}
