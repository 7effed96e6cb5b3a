#include <filesystem>

#include "daemons/control/start_stamp.h"
#include "daemons/control/upstream_store.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

UpstreamRecord Record(const std::string& aInstance, UpstreamState aState) {
  return {.mInstance = aInstance,
          .mService = "s",
          .mAddress = "10.0.0.1:" + aInstance,
          .mZone = "z",
          .mState = aState,
          .mSequence = 7,
          .mLayers = {2, 5}};
}

}  // namespace

Test(restart, upstreams_are_known_before_they_report_after_a_full_stop) {
  RelayFixture story(kLongWarmUp);
  story.Begin();
  REQUIRE(story.RunUntil([&story] {
    return ReadFile(story.mFolder.Path("data/upstreams")).has_value();
  }));
  // Waits for the next save: the file may not have the second upstream yet.
  story.Wait(2600);
  story.mRouter.reset();
  story.mControl.reset();
  story.StartControl();
  story.StartRouter();
  SECTION("requests are served without any heartbeat since the restart") {
    CHECK(story.Call("/pay/x").mStatus == 200);
    CHECK(story.RunsOfLast() == 1);
    CHECK(story.Call("/look/x").mStatus == 200);
  }
}

Test(restart, the_stored_upstreams_are_not_authoritative) {
  const TemporaryFolder folder;
  UpstreamRegistry before;
  before.ApplyHeartbeat(Record("1", UpstreamState::kReady), 0);
  before.ApplyHeartbeat(Record("2", UpstreamState::kReady), 0);
  before.ApplyHeartbeat(Record("3", UpstreamState::kLeaving), 0);
  UpstreamStore store(folder.Path("upstreams"));
  store.Save(before, 100);
  UpstreamRegistry after;
  SECTION("upstreams that are leaving are not restored") {
    CHECK(UpstreamStore(folder.Path("upstreams")).Load(after, 5000) == 2);
    CHECK(after.Find("1")->mLayers.Count() == 3);
    CHECK(after.Find("3") == nullptr);
  }
  SECTION(
      "a restored upstream without heartbeats is silent after the timeout") {
    UpstreamRecord heartbeat = Record("1", UpstreamState::kReady);
    heartbeat.mSequence = 8;
    after.ApplyHeartbeat(heartbeat, 6000);
    CHECK(after.Expire(3600, 8601).size() == 1);
    CHECK(after.Find("2")->mState == UpstreamState::kSilent);
  }
  SECTION("a new incarnation at an address ends the restored one") {
    UpstreamRecord next = Record("1b", UpstreamState::kReady);
    next.mAddress = "10.0.0.1:1";
    after.ApplyHeartbeat(next, 9000);
    CHECK(after.Find("1")->mState == UpstreamState::kGone);
  }
  SECTION("the file is written again only if the registry has changed") {
    UpstreamRecord heartbeat = Record("1", UpstreamState::kReady);
    heartbeat.mSequence = 9;
    before.ApplyHeartbeat(heartbeat, 4000);
    std::filesystem::remove(folder.Path("upstreams"));
    store.Save(before, 9000);
    CHECK(!ReadFile(folder.Path("upstreams")).has_value());
    before.ApplyLeave("2", 9500);
    store.Save(before, 12000);
    UpstreamRegistry last;
    CHECK(UpstreamStore(folder.Path("upstreams")).Load(last, 12000) == 1);
  }
  SECTION("a torn or missing file is ignored") {
    const std::string text = *ReadFile(folder.Path("upstreams"));
    ReplaceFile(folder.Path("upstreams"), text.substr(0, text.size() / 2));
    UpstreamRegistry torn;
    CHECK(UpstreamStore(folder.Path("upstreams")).Load(torn, 0) == 0);
    CHECK(torn.Size() == 0);
    CHECK(UpstreamStore(folder.Path("none")).Load(torn, 0) == 0);
  }
}

Test(restart, an_old_list_of_upstreams_is_not_used) {
  // A leader does not write the list, so its file may be as old as its
  // leadership.
  const TemporaryFolder folder;
  constexpr Millis kWall = 1700000000000;
  StartStamp stamp(folder.Path("stamp"));
  SECTION("without a stamp the list is not used") {
    CHECK(!stamp.Load(kWall).mUpstreamsFresh);
    CHECK(stamp.Load(kWall).mRouters == 0);
  }
  stamp.Save(83, kWall, 100);
  SECTION("a list of a few seconds ago is used, also if the clock jumped") {
    CHECK(stamp.Load(kWall + 4000).mUpstreamsFresh);
    CHECK(stamp.Load(kWall - 2000).mUpstreamsFresh);
    CHECK(stamp.Load(kWall + 4000).mRouters == 83);
  }
  SECTION("of a stamp half a minute old only the router count is used") {
    CHECK(!stamp.Load(kWall + 30000).mUpstreamsFresh);
    CHECK(stamp.Load(kWall + 30000).mRouters == 83);
  }
  SECTION("the stamp is written every five seconds at most") {
    stamp.Save(90, kWall + 3000, 3100);
    CHECK(stamp.Load(kWall + 3000).mRouters == 83);
    stamp.Save(90, kWall + 5000, 5100);
    CHECK(stamp.Load(kWall + 5000).mRouters == 90);
  }
  SECTION("a torn stamp is ignored") {
    ReplaceFile(folder.Path("stamp"), "8");
    CHECK(!stamp.Load(kWall).mUpstreamsFresh);
  }
}

Test(restart, a_long_time_leader_does_not_restore_upstreams_that_left) {
  RelayFixture story(kLongWarmUp);
  story.Begin();
  REQUIRE(story.RunUntil([&story] {
    return ReadFile(story.mFolder.Path("data/upstreams")).has_value();
  }));
  story.mRouter.reset();
  story.mControl.reset();
  // As on the disk of a control that has led for a long time.
  ReplaceFile(story.mFolder.Path("data/stamp"), "1 1700000000000");
  story.StartControl();
  SECTION("no upstream of the list is known before it reports") {
    story.mControl->RefreshGauges();
    CHECK(story.mControl->OwnCounters().Value("upstreams_known") == 0);
  }
}

Test(restart, an_operator_call_waits_for_the_first_leader) {
  RelayFixture story(kLongWarmUp);
  // There is no leader yet. An immediate refusal would make the operator retry
  // with a back-off that grows each time.
  OperatorAnswer answer;
  int answers = 0;
  story.mControl->Publish(Document(Traffic(3)),
                          [&](const OperatorAnswer& aAnswer) {
                            answer = aAnswer;
                            answers++;
                          });
  CHECK(answers == 0);
  REQUIRE(story.RunUntil([&] { return answers > 0; }));
  SECTION("its change is accepted with the first call") {
    CHECK(answer.mCode == ResultCode::kOk);
    CHECK(answers == 1);
  }
  SECTION("a read waits the same way after a restart") {
    story.mControl.reset();
    story.StartControl();
    OperatorAnswer read;
    bool ended = false;
    story.mControl->Read([&](const OperatorAnswer& aAnswer) {
      read = aAnswer;
      ended = true;
    });
    REQUIRE(story.RunUntil([&] { return ended; }));
    CHECK(read.mCode == ResultCode::kOk);
    CHECK(read.mDocument == Document(Traffic(3)));
  }
}

Test(restart, waiting_requests_are_admitted_by_the_prefill_capacity) {
  RelayFixture story(kLongWarmUp);
  story.Begin();
  ScriptedUpstream engine(story.mLoop, "engine");
  story.BeginEngine(engine);
  REQUIRE(story.RunUntil([&story] {
    return ReadFile(story.mFolder.Path("data/stamp")).has_value();
  }));
  story.Wait(2600);
  story.mRouter.reset();
  story.mControl.reset();
  story.StartControl();
  story.StartRouter();
  SECTION("the request is served, and the decision is counted") {
    const Answer answer = story.Call("/stream/x");
    CHECK_FOUND(answer.mStatus == 200, std::to_string(answer.mStatus));
    CHECK(story.mRouter->OwnCounters().Value("opening", "outcome=\"let_in\"") ==
          1);
  }
  SECTION("a call to a service without engines does not wait") {
    CHECK(story.Call("/pay/x").mStatus == 200);
    CHECK(story.mRouter->OwnCounters().Value("opening", "outcome=\"let_in\"") <=
          1);
  }
}

Test(restart, a_retried_request_is_held_until_there_is_capacity) {
  RelayFixture story;
  story.Begin();
  ScriptedUpstream engine(story.mLoop, "engine");
  story.BeginEngine(engine);
  constexpr Millis kFirstDeadline = 4000;
  CHECK(story.Call("/stream/x", "key", kFirstDeadline).mStatus == 200);
  const std::vector<UpstreamAction> refusals(5, UpstreamAction::kRefuse);
  SECTION("a first try is refused at once, for the caller to retry") {
    engine.QueueActions({refusals.begin(), refusals.begin() + 4});
    CHECK(story.Call("/stream/x", "key", kFirstDeadline).mStatus == 503);
    CHECK(story.RunsOfLast() + engine.Runs(story.Last()) == 0);
  }
  // Keeps the engine from counting as silent on a busy machine.
  story.SendEngineHeartbeat(engine);
  SECTION("a later try, which has less time left, is served") {
    engine.QueueActions(refusals);
    CHECK(story.Call("/stream/x", "key", kFirstDeadline / 2).mStatus == 200);
    CHECK(engine.Runs(story.Last()) == 1);
  }
}

Test(restart, a_very_long_deadline_does_not_make_later_requests_retries) {
  RelayFixture story;
  story.Begin();
  ScriptedUpstream engine(story.mLoop, "engine");
  story.BeginEngine(engine);
  constexpr Millis kDay = 86400000;
  CHECK(story.Call("/stream/x", "key", kDay).mStatus == 200);
  engine.QueueActions(std::vector<UpstreamAction>(4, UpstreamAction::kRefuse));
  SECTION("a first try is refused at once, for the caller to retry") {
    // The whole timeout of the route.
    CHECK(story.Call("/stream/x", "key", 5000).mStatus == 503);
    CHECK(story.RunsOfLast() + engine.Runs(story.Last()) == 0);
  }
}

Test(restart, a_retried_call_to_a_service_without_engines_is_not_held) {
  // A budget of one retry per minute.
  RelayFixture story(
      kShortWarmUp,
      {.mRatio = 0, .mWindow = 60000, .mSlack = 1, .mUsableShare = 1});
  story.Begin();
  constexpr Millis kFirstDeadline = 2000;
  CHECK(story.Call("/look/x", "key", kFirstDeadline).mStatus == 200);
  const std::vector<UpstreamAction> refusals(3, UpstreamAction::kRefuse);
  story.mA.QueueActions(refusals);
  story.mB.QueueActions(refusals);
  constexpr Millis kTimeLeft = kFirstDeadline / 2;
  const Millis startedAt = SteadyNow();
  CHECK(story.Call("/look/x", "key", kTimeLeft).mStatus == 503);
  CHECK(story.RunsOfLast() == 0);
  SECTION("it is refused at once: holding it costs half of its last second") {
    CHECK(SteadyNow() - startedAt < kTimeLeft / 4);
  }
}
