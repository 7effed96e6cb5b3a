/// Streams that lose their engine must resume instead of being cut. They were
/// cut 1.5 s after their last event if their router had no retry left: each
/// router had an equal share of the limit on retries, 3 to 7 in ten seconds,
/// while the loss of one upstream may need 9 at one router and none at others.
#include <algorithm>
#include <chrono>
#include <thread>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kStreams = 24;
constexpr Millis kWindow = 2000;
/// Longer than the stall timeout of an engine.
constexpr Millis kSuspension = 1300;
/// Long enough for a control to report an engine that ended, and shorter than
/// callers wait for an event.
constexpr Millis kEngineGap = 500;

std::string FullBody() {
  std::string body;
  for (int id = 1; id <= ScriptedUpstream::kEvents; id++) {
    body += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return body;
}

bool IsComplete(const OpenCall& aStream) {
  return aStream.mAnswer.mEnd == StreamEnd::kComplete &&
         aStream.mAnswer.mBody == FullBody();
}

}  // namespace

Test(cut_streams, one_router_may_use_more_retries_than_its_equal_share) {
  // Ten routers share 40 retries per window; an equal part would be 4.
  RelayFixture fixture(
      kShortWarmUp,
      {.mRatio = 0, .mWindow = kWindow, .mSlack = 40, .mUsableShare = 1});
  // Either upstream has slots for all streams, so that capacity does not
  // matter.
  fixture.mSlots = 2 * kStreams;
  fixture.Begin();
  fixture.ReportRouters(9);
  REQUIRE(fixture.RunUntil(
      [&fixture] { return KnownRouters(*fixture.mRouter) == 10; }));
  // Others that ended may have spent the retries of this window.
  fixture.Wait(kWindow);
  fixture.ReportRouters(9);
  SECTION("one upstream cuts its streams, no other router needs a retry") {
    fixture.mA.QueueActions(
        std::vector<UpstreamAction>(kStreams, UpstreamAction::kTruncate));
    std::vector<std::unique_ptr<OpenCall>> streams;
    for (int i = 0; i < kStreams; i++) {
      streams.push_back(fixture.Open("/stream/1", "s" + std::to_string(i)));
    }
    REQUIRE(fixture.RunUntil([&streams] {
      return std::all_of(streams.begin(), streams.end(),
                         [](const auto& aStream) { return aStream->mEnded; });
    }));
    int complete = 0;
    int retries = 0;
    for (int i = 0; i < kStreams; i++) {
      const std::string id = "s" + std::to_string(i);
      complete += IsComplete(*streams[i]) ? 1 : 0;
      retries += fixture.mA.Runs(id) + fixture.mB.Runs(id) - 1;
    }
    CHECK(retries >= 8);
    CHECK(complete == kStreams);
  }
}

// A router's process may be suspended for 0.9 s while it waits for a processor.
// If that time counted as silence of its engines, the router would restart all
// its streams when it wakes, before it reads the events that wait in its
// sockets, and use up their attempts.
Test(cut_streams, a_suspended_router_does_not_consider_engines_silent) {
  RelayFixture fixture;
  ScriptedUpstream first(fixture.mLoop, "first");
  ScriptedUpstream second(fixture.mLoop, "second");
  fixture.Begin();
  fixture.BeginEngine(first);
  fixture.SendEngineHeartbeat(second);
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 4;
  }));
  const std::vector<UpstreamAction> paced(2, UpstreamAction::kSlowStream);
  first.QueueActions(paced);
  second.QueueActions(paced);
  const auto stream = fixture.Open("/stream/1", "paced");
  REQUIRE(
      fixture.RunUntil([&stream] { return !stream->mAnswer.mBody.empty(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(kSuspension));
  CHECK(fixture.RunUntil([&stream] { return stream->mEnded; }));
  CHECK(IsComplete(*stream));
  CHECK(first.Runs("paced") + second.Runs("paced") == 1);
}

// A started stream that lacked a retry, a path or capacity was cut 1.5 s after
// its last event, with 16 to 18 of its 20 s left, though engines came back 3.5
// s later. Callers wait two seconds and more and disconnect by themselves.
Test(cut_streams, a_started_stream_is_not_cut_before_its_deadline) {
  // The limit is one retry per 2 s, and that one is used up.
  RelayFixture fixture(
      kShortWarmUp,
      {.mRatio = 0, .mWindow = kWindow, .mSlack = 1, .mUsableShare = 1});
  fixture.Begin();
  fixture.Wait(kWindow);
  fixture.mA.QueueActions({UpstreamAction::kTruncate});
  fixture.mB.QueueActions({UpstreamAction::kTruncate});
  CHECK(fixture.Call("/look/1").mStatus == 502);
  SECTION(
      "its retry is available 2 s later, within the route's timeout of 5 s") {
    const auto watch = fixture.CutNextOnce();
    const Answer answer = fixture.Call("/stream/1");
    CHECK(answer.mEnd == StreamEnd::kComplete);
    CHECK(answer.mBody == FullBody());
  }
}

// A started stream whose only engine had ended was sent to it three more times
// within a millisecond, since no other engine was known, and then cut: attempts
// that could not be sent were limited, however fast they failed.
Test(cut_streams, a_started_stream_waits_while_its_only_engine_is_unreachable) {
  RelayFixture fixture;
  ScriptedUpstream ending(fixture.mLoop, "ending");
  ScriptedUpstream joining(fixture.mLoop, "joining");
  fixture.Begin();
  fixture.BeginEngine(ending);
  ending.QueueActions({UpstreamAction::kStall});
  const auto stream = fixture.Open("/stream/1", "begun");
  REQUIRE(
      fixture.RunUntil([&stream] { return !stream->mAnswer.mBody.empty(); }));
  ending.Crash();
  SECTION("no other engine is known yet") {
    fixture.Wait(kEngineGap);
    CHECK(!stream->mEnded);
  }
  SECTION("an engine joins") {
    fixture.SendEngineHeartbeat(joining);
    REQUIRE(fixture.RunUntil([&stream] { return stream->mEnded; }));
    CHECK(IsComplete(*stream));
    CHECK(joining.Runs("begun") == 1);
  }
}

// A retry that was spent before a wait for an engine reached the next one in
// another window, in which it was not counted.
Test(cut_streams, a_retry_that_waited_for_an_engine_is_spent_when_it_is_sent) {
  // The limit is one retry per 2 s.
  RelayFixture fixture(
      kShortWarmUp,
      {.mRatio = 0, .mWindow = kWindow, .mSlack = 1, .mUsableShare = 1});
  ScriptedUpstream ending(fixture.mLoop, "ending");
  ScriptedUpstream joining(fixture.mLoop, "joining");
  fixture.Begin();
  fixture.BeginEngine(ending);
  ending.QueueActions({UpstreamAction::kStall});
  const auto stream = fixture.Open("/stream/1", "begun");
  REQUIRE(
      fixture.RunUntil([&stream] { return !stream->mAnswer.mBody.empty(); }));
  Counters& counters = fixture.mRouter->OwnCounters();
  ending.Crash();
  REQUIRE(fixture.RunUntil(
      [&counters] { return counters.Value("retries_granted") == 1; }));
  SECTION("another engine joins when the retry has been spent for a while") {
    fixture.Wait(kMaxRetrySendDelay + kEngineGap / 2);
    fixture.SendEngineHeartbeat(joining);
    fixture.Wait(kEngineGap);
    CHECK(joining.Runs("begun") == 0);
  }
  SECTION("the stream goes on with the next retry that the limit allows") {
    REQUIRE(fixture.RunUntil([&stream] { return stream->mEnded; }));
    CHECK(IsComplete(*stream));
    CHECK(joining.Runs("begun") == 1);
    CHECK(counters.Value("retries_granted") == 2);
  }
}
