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

/// A story whose router has a short grace.
struct StopStory : RelayFixture {
  StopStory() {
    mStopGrace = kShortGrace;
    mRouter.reset();
    StartRouter();
    Begin();
  }
};

}  // namespace

Test(planned_stop, what_cannot_end_in_time_is_sent_elsewhere_at_once) {
  StopStory story;
  constexpr int kLateCalls = 8;
  story.mA.Next(std::vector<UpstreamAct>(kLateCalls, UpstreamAct::kLate));
  story.mB.Next(std::vector<UpstreamAct>(kLateCalls, UpstreamAct::kLate));
  std::vector<std::unique_ptr<OpenCall>> late;
  for (int i = 0; i < kLateCalls; i++) {
    late.push_back(story.Open("/pay/1", "late" + std::to_string(i)));
  }
  REQUIRE(story.RunUntil([&late] {
    return std::all_of(late.begin(), late.end(),
                       [](const auto& aOpen) { return aOpen->mEnded; });
  }));
  story.mA.Next({});
  story.mB.Next({});
  story.mRouter->Stop();
  SECTION("a call of a service that takes longer than is left") {
    const Answer answer = story.Call("/pay/1");
    CHECK(answer.mStatus == 503);
    CHECK(story.RunsOfLast() == 0);
    const std::string* after = FindHeader(answer.mHeaders, "Retry-After");
    CHECK(after != nullptr && std::stod(*after) == 0);
  }
  SECTION("one whose caller waits for less than what is left is served") {
    CHECK(story.Call("/look/1", "key", 1000).mStatus == 200);
  }
}

Test(planned_stop, what_is_left_at_the_end_gets_an_answer) {
  StopStory story;
  story.mA.Next({UpstreamAct::kSilent});
  story.mB.Next({UpstreamAct::kSilent});
  const auto open = story.Open("/pay/1", "left");
  REQUIRE(story.RunUntil(
      [&story] { return story.mA.Runs("left") + story.mB.Runs("left") == 1; }));
  story.mRouter->Stop();
  CHECK(story.RunUntil([&open] { return open->mEnded; }));
  SECTION("it may have run: no promise that it did not") {
    CHECK(open->mAnswer.mStatus == 502);
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
  }
}

Test(planned_stop, it_ends_after_its_slowest_caller_has_the_answer) {
  constexpr std::size_t kBytes = 4 * 1000 * 1000;
  StopStory story;
  story.mA.SetBytes(kBytes);
  story.mB.SetBytes(kBytes);
  const auto open = story.Open("/pay/1", "slow");
  open->mCall->Pause(true);
  REQUIRE(story.RunUntil(
      [&story] { return EndedAs(*story.mRouter, "pay", "served", 200) == 1; }));
  story.mRouter->Stop();
  const auto resume =
      story.mLoop.After(1200, [&open] { open->mCall->Pause(false); });
  SECTION("it would have nothing more to do before its caller reads") {
    story.RunUntil([&open] { return open->mEnded; });
    CHECK(open->mAnswer.mEnd == StreamEnd::kComplete);
    CHECK(open->mAnswer.mBody == ScriptedUpstream::BodyOf("slow", kBytes));
  }
}

Test(planned_stop, a_stream_that_is_cut_is_known_to_be_cut_by_the_router) {
  StopStory story;
  ScriptedUpstream engine(story.mLoop, "engine");
  story.BeginEngine(engine);
  engine.Next({UpstreamAct::kStall});
  const auto open = story.Open("/stream/1", "cut");
  REQUIRE(story.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  story.mRouter->Stop();
  CHECK(story.RunUntil([&open] { return open->mEnded; }));
  CHECK(open->mAnswer.mEnd == StreamEnd::kLost);
  CHECK(EndedAs(*story.mRouter, "stream", "router_ended", 0) == 1);
  CHECK(EndedAs(*story.mRouter, "stream", "caller_gone", 0) == 0);
}
