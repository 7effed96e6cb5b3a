/// A router that stops as planned must not accept requests that it cannot
/// complete, nor close connections without an answer. Any request was accepted
/// for 2.8 s after the signal whatever time it needed, so that streams were cut
/// at the end of the grace period (7.7 s after the signal); the process ended
/// while it listened and while answers were unread; and what it cut was logged
/// as left by its caller.
#include <algorithm>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

/// Of the stopping router: leaves less time than a late answer takes.
constexpr Millis kShortGrace = 2300;
static_assert(kShortGrace - ScriptedUpstream::kAnswerDelay < 300);

std::int64_t EndedAs(RelayRouter& aRouter, const char* aRoute,
                     const char* aOutcome, int aStatus) {
  return aRouter.OwnCounters().Value(
      "requests", std::string("route=\"") + aRoute + "\",outcome=\"" +
                      aOutcome + "\",status=\"" + std::to_string(aStatus) +
                      "\"");
}

/// A fixture whose router has a short grace period.
struct StopFixture : RelayFixture {
  StopFixture() {
    mStopGrace = kShortGrace;
    mRouter.reset();
    StartRouter();
    Begin();
  }
};

}  // namespace

Test(planned_stop, a_request_that_takes_too_long_is_refused_immediately) {
  StopFixture fixture;
  constexpr int kLateCalls = 8;
  fixture.mA.QueueActions(
      std::vector<UpstreamAction>(kLateCalls, UpstreamAction::kDelayedAnswer));
  fixture.mB.QueueActions(
      std::vector<UpstreamAction>(kLateCalls, UpstreamAction::kDelayedAnswer));
  std::vector<std::unique_ptr<OpenCall>> late;
  for (int i = 0; i < kLateCalls; i++) {
    late.push_back(fixture.Open("/pay/1", "late" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&late] {
    return std::all_of(late.begin(), late.end(),
                       [](const auto& aOpen) { return aOpen->mEnded; });
  }));
  fixture.mA.QueueActions({});
  fixture.mB.QueueActions({});
  fixture.mRouter->Stop();
  SECTION("a call of a service that takes longer than the remaining time") {
    const Answer answer = fixture.Call("/pay/1");
    CHECK(answer.mStatus == 503);
    CHECK(fixture.RunsOfLast() == 0);
    const std::string* after = FindHeader(answer.mHeaders, "Retry-After");
    CHECK(after != nullptr && std::stod(*after) == 0);
  }
  SECTION("a call whose deadline is before the end is served") {
    CHECK(fixture.Call("/look/1", "key", 1000).mStatus == 200);
  }
}

Test(planned_stop, a_request_in_flight_at_the_end_gets_an_answer) {
  StopFixture fixture;
  fixture.mA.QueueActions({UpstreamAction::kSilent});
  fixture.mB.QueueActions({UpstreamAction::kSilent});
  const auto open = fixture.Open("/pay/1", "left");
  REQUIRE(fixture.RunUntil([&fixture] {
    return fixture.mA.Runs("left") + fixture.mB.Runs("left") == 1;
  }));
  fixture.mRouter->Stop();
  CHECK(fixture.RunUntil([&open] { return open->mEnded; }));
  SECTION("it may have run: 502 and no refusal") {
    CHECK(open->mAnswer.mStatus == 502);
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
  }
}

Test(planned_stop, the_router_ends_after_its_slowest_caller_has_the_answer) {
  constexpr std::size_t kBytes = 4 * 1000 * 1000;
  StopFixture fixture;
  fixture.mA.SetAnswerBytes(kBytes);
  fixture.mB.SetAnswerBytes(kBytes);
  const auto open = fixture.Open("/pay/1", "slow");
  open->mCall->Pause(true);
  REQUIRE(fixture.RunUntil([&fixture] {
    return EndedAs(*fixture.mRouter, "pay", "served", 200) == 1;
  }));
  fixture.mRouter->Stop();
  const auto resume =
      fixture.mLoop.After(1200, [&open] { open->mCall->Pause(false); });
  SECTION("the router has no other work before the caller reads") {
    fixture.RunUntil([&open] { return open->mEnded; });
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
    CHECK(open->mAnswer.mBody == ScriptedUpstream::BodyOf("slow", kBytes));
  }
}

Test(planned_stop, a_stream_cut_by_the_stop_is_counted_as_router_ended) {
  StopFixture fixture;
  ScriptedUpstream engine(fixture.mLoop, "engine");
  fixture.BeginEngine(engine);
  engine.QueueActions({UpstreamAction::kStall});
  const auto open = fixture.Open("/stream/1", "cut");
  REQUIRE(fixture.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  fixture.mRouter->Stop();
  CHECK(fixture.RunUntil([&open] { return open->mEnded; }));
  CHECK(open->mAnswer.mEnd == StreamEnd::kLost);
  CHECK(EndedAs(*fixture.mRouter, "stream", "router_ended", 0) == 1);
  CHECK(EndedAs(*fixture.mRouter, "stream", "caller_gone", 0) == 0);
}
