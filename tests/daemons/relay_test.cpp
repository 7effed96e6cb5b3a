#include <map>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

Test(relay, configurations_are_accepted_by_their_version) {
  RelayFixture story;
  CHECK(story.Call("/look/x").mStatus == 503);
  const std::string seven = Document(Traffic(7));
  CHECK(story.Publish(seven).mCode == ResultCode::kOk);
  CHECK(story.Read().mDocument == seven);
  SECTION("sent again it is acknowledged again") {
    CHECK(story.Publish(seven).mCode == ResultCode::kOk);
  }
  SECTION("other content under its version is refused") {
    TrafficConfiguration other = Traffic(7);
    other.mRoutes.pop_back();
    CHECK(story.Publish(Document(other)).mCode == ResultCode::kVersionTaken);
    CHECK(story.Read().mDocument == seven);
  }
  SECTION("an older one is acknowledged and changes nothing") {
    CHECK(story.Publish(Document(Traffic(6))).mCode == ResultCode::kOk);
    CHECK(story.Read().mDocument == seven);
  }
  SECTION("one that cannot be used is refused, whatever its version") {
    TrafficConfiguration bad = Traffic(3);
    bad.mServices.clear();
    CHECK(story.Publish(Document(bad)).mCode == ResultCode::kBadConfiguration);
    CHECK(story.Publish("{").mCode == ResultCode::kMalformedJson);
  }
  SECTION("it is there again after a start from the disk") {
    story.mControl.reset();
    story.StartControl();
    for (int i = 0; i < 400 && story.Read().mDocument != seven; i++) {
      story.Wait(10);
    }
    CHECK(story.Read().mDocument == seven);
  }
}

Test(relay, a_start_from_the_disk_reads_the_newest_configuration_only) {
  constexpr int kVersions = 20;
  RelayFixture story;
  for (int version = 1; version <= kVersions; version++) {
    REQUIRE(story.Publish(Document(Traffic(version))).mCode == ResultCode::kOk);
  }
  story.mControl.reset();
  story.mDocumentsRead = 0;
  story.StartControl();
  const std::string newest = Document(Traffic(kVersions));
  for (int i = 0; story.Read().mDocument != newest; i++) {
    REQUIRE(i < 500);
    story.Wait(20);
  }
  story.Beat(story.mA, UpstreamState::kReady);
  for (int i = 0; story.Call("/look/x").mStatus != 200; i++) {
    REQUIRE(i < 500);
    story.Wait(20);
  }
  CHECK(story.mDocumentsRead <= 2);
}

Test(relay, a_router_that_has_just_started_keeps_requests_for_a_while) {
  SECTION("one that is told what it lacks serves them") {
    RelayFixture story(kLongWarmUp);
    const std::string document = Document(Traffic(7));
    const auto publisher = story.mLoop.Every(20, [&] {
      story.mControl->Publish(document, [](const OperatorAnswer&) {});
    });
    const auto beats = story.mLoop.Every(50, [&] {
      story.mControl->ApplyHeartbeat({.mInstance = story.mA.Instance(),
                                      .mService = "counter",
                                      .mAddress = story.mA.Address(),
                                      .mZone = "z",
                                      .mSlots = 6,
                                      .mSequence = ++story.mSequence},
                                     [](const HeartbeatAnswer&) {});
    });
    CHECK(story.Call("/pay/x").mStatus == 200);
    CHECK(story.RunsOfLast() == 1);
  }
  SECTION("one that is told nothing refuses them") {
    RelayFixture story(kShortWarmUp);
    CHECK(story.Call("/pay/x").mStatus == 503);
    CHECK(story.RunsOfLast() == 0);
  }
}

Test(relay, requests_go_where_the_routes_say) {
  RelayFixture story;
  story.Begin();
  const Answer good = story.Call("/pay/1");
  CHECK(good.mStatus == 200 && good.mBody.starts_with("by "));
  CHECK(FindHeader(good.mHeaders, "X-Signature") != nullptr);
  CHECK(story.RunsOfLast() == 1);
  CHECK(story.Call("/other/1").mStatus == 404);
  CHECK(story.Call("/pay/1", "wrong").mStatus == 401);
  CHECK(story.RunsOfLast() == 0);
}

Test(relay, what_may_not_be_repeated_runs_at_most_once) {
  RelayFixture story;
  story.Begin();
  const auto next = [&story](UpstreamAct aAct) {
    story.mA.Next({aAct});
    story.mB.Next({aAct});
  };
  SECTION("cut after it ran: no promise, and no second run") {
    next(UpstreamAct::kCut);
    const Answer answer = story.Call("/pay/1");
    CHECK(answer.mStatus == 502);
    CHECK(story.RunsOfLast() == 1);
  }
  SECTION("refused by both: a promise, and when to come back") {
    // A refusal is no run: it is tried again a few times, then given up.
    const std::vector<UpstreamAct> refusals(4, UpstreamAct::kRefuse);
    story.mA.Next(refusals);
    story.mB.Next(refusals);
    const Answer answer = story.Call("/pay/1");
    CHECK(answer.mStatus == 503);
    CHECK(FindHeader(answer.mHeaders, "Retry-After") != nullptr);
    CHECK(story.RunsOfLast() == 0);
  }
  SECTION("a failure that ran is handed on as it is") {
    story.mA.Next({});
    story.mB.Next({});
    next(UpstreamAct::kFail);
    CHECK(story.Call("/pay/1").mStatus == 500);
    CHECK(story.RunsOfLast() == 1);
  }
}

Test(relay, what_may_be_repeated_is_sent_once_more) {
  RelayFixture story;
  story.Begin();
  for (UpstreamAct act : {UpstreamAct::kCut, UpstreamAct::kFail}) {
    // Whichever is chosen first fails; the other one answers.
    story.mA.Next({act});
    const Answer answer = story.Call("/look/1");
    CHECK(answer.mStatus == 200);
    story.mA.Next({});
  }
}

Test(relay, a_stream_goes_on_after_its_last_event) {
  RelayFixture story;
  story.Begin();
  story.mA.Next({UpstreamAct::kCut});
  story.mB.Next({UpstreamAct::kCut});
  const Answer answer = story.Call("/stream/1");
  CHECK(answer.mEnd == StreamEnd::kLost || answer.mStatus == 200);
  story.mA.Next({});
  story.mB.Next({});
  SECTION("whole events only, each once and in order") {
    for (int i = 0; i < 10; i++) {
      story.mA.Next({UpstreamAct::kCut});
      const Answer next = story.Call("/stream/1");
      story.mA.Next({});
      std::string wanted;
      for (int id = 1; id <= ScriptedUpstream::kEvents; id++) {
        wanted += "id: " + std::to_string(id) + "\ndata: x\n\n";
      }
      CHECK(next.mEnd == StreamEnd::kComplete);
      CHECK(next.mBody == wanted);
    }
  }
}

Test(relay, a_stream_that_has_begun_waits_until_its_retry_is_paid) {
  // One retry in 400 ms, and it is spent.
  RelayFixture story(
      kShortWarmUp,
      {.mRatio = 0, .mWindow = 400, .mSlack = 1, .mUsableShare = 1});
  story.Begin();
  // Before, it keeps back what a process before it may have spent.
  story.Wait(400);
  story.mA.Next({UpstreamAct::kCut});
  story.mB.Next({UpstreamAct::kCut});
  CHECK(story.Call("/look/1").mStatus == 502);
  CHECK(story.RunsOfLast() == 2);
  SECTION("whichever upstream cuts it, it ends at the other") {
    const auto watch = story.CutNextOnce();
    const Answer answer = story.Call("/stream/1");
    CHECK(answer.mStatus == 200);
    CHECK(answer.mEnd == StreamEnd::kComplete);
    CHECK(story.RunsOfLast() == 2);
  }
}

Test(relay, who_leaves_gets_no_new_work) {
  RelayFixture story;
  story.Begin();
  story.Beat(story.mA, UpstreamState::kLeaving);
  const Millis toldAt = SteadyNow();
  REQUIRE(story.RunUntil([&] { return SteadyNow() - toldAt > 1000; }));
  const int before = story.mA.AllRuns();
  for (int i = 0; i < 20; i++) {
    CHECK(story.Call("/look/1").mStatus == 200);
  }
  CHECK(story.mA.AllRuns() == before);
}

Test(relay, without_control_keys_are_soon_of_no_use) {
  RelayFixture story;
  story.Begin();
  story.mControl.reset();
  REQUIRE(story.RunUntil([&] { return !story.mRouter->Ready(); }));
  const Answer answer = story.Call("/pay/1");
  CHECK(answer.mStatus == 503);
  CHECK(story.RunsOfLast() == 0);
  SECTION("and of use again when it is back") {
    story.StartControl();
    REQUIRE(story.RunUntil([&] { return story.mRouter->Ready(); }));
  }
}

Test(relay, a_caller_that_leaves_frees_its_upstream) {
  RelayFixture story;
  story.Begin();
  story.mA.Next({UpstreamAct::kSilent});
  story.mB.Next({UpstreamAct::kSilent});
  StreamCallOptions options;
  options.mServer = story.mRouter->Address();
  options.mTarget = "/look/1";
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", "gone"}, {"X-Key", "key"}};
  auto call = StartStreamCall(story.mLoop, std::move(options));
  const auto runs = [&] {
    return story.mA.Runs("gone") + story.mB.Runs("gone");
  };
  REQUIRE(story.RunUntil([&] { return runs() == 1; }));
  call.reset();
  CHECK(story.RunUntil(
      [&] { return story.mA.Closed() + story.mB.Closed() >= 1; }));
}

Test(relay, a_planned_stop_ends_what_is_in_flight) {
  RelayFixture story;
  story.Begin();
  story.mRouter->Stop();
  CHECK(!story.mRouter->Ready());
  SECTION("who still comes is served, on a connection that closes") {
    const Answer answer = story.Call("/look/1");
    CHECK(answer.mStatus == 200);
    const std::string* header = FindHeader(answer.mHeaders, "Connection");
    CHECK(header != nullptr && *header == "close");
  }
}

Test(relay, a_router_may_end_with_requests_in_flight) {
  // Found on the users' platform, grown: at the end of the grace the requests
  // that were left outlived the parts that they use.
  RelayFixture story;
  ScriptedUpstream engine(story.mLoop, "engine");
  story.Begin();
  story.BeginEngine(engine);
  engine.Next({UpstreamAct::kSilent});
  StreamCallOptions options;
  options.mServer = story.mRouter->Address();
  options.mTarget = "/stream/1";
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", "left"}, {"X-Key", "key"}};
  bool ended = false;
  options.mOnEnd = [&ended](StreamEnd) { ended = true; };
  const auto call = StartStreamCall(story.mLoop, std::move(options));
  REQUIRE(story.RunUntil([&] { return engine.Runs("left") == 1; }));
  story.mRouter.reset();
  CHECK(story.RunUntil([&] { return ended; }));
  CHECK(story.RunUntil([&] { return engine.Closed() == 1; }));
}
