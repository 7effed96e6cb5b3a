#include <filesystem>

#include "daemons/control/start_stamp.h"
#include "daemons/control/upstream_store.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/relay_story.h"

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

Test(restart, after_a_stop_of_all_upstreams_are_known_before_they_report) {
  RelayStory story(kLongStart);
  story.Begin();
  REQUIRE(story.RunUntil([&story] {
    return ReadFile(story.mFolder.Path("data/upstreams")).has_value();
  }));
  // The file may be older than the second upstream.
  story.Wait(2600);
  story.mRouter.reset();
  story.mControl.reset();
  story.StartControl();
  story.StartRouter();
  SECTION("no heartbeat came since, and requests are served") {
    CHECK(story.Call("/pay/x").mStatus == 200);
    CHECK(story.RunsOfLast() == 1);
    CHECK(story.Call("/look/x").mStatus == 200);
  }
}

Test(restart, the_file_of_upstreams_is_a_start_and_no_promise) {
  const TemporaryFolder folder;
  UpstreamRegistry before;
  before.ApplyHeartbeat(Record("1", UpstreamState::kReady), 0);
  before.ApplyHeartbeat(Record("2", UpstreamState::kReady), 0);
  before.ApplyHeartbeat(Record("3", UpstreamState::kLeaving), 0);
  UpstreamStore store(folder.Path("upstreams"));
  store.Save(before, 100);
  UpstreamRegistry after;
  SECTION("those that leave are not brought back") {
    CHECK(UpstreamStore(folder.Path("upstreams")).Load(after, 5000) == 2);
    CHECK(after.Find("1")->mLayers.Count() == 3);
    CHECK(after.Find("3") == nullptr);
  }
  SECTION("one that does not report is silent after the usual time") {
    UpstreamRecord heartbeat = Record("1", UpstreamState::kReady);
    heartbeat.mSequence = 8;
    after.ApplyHeartbeat(heartbeat, 6000);
    CHECK(after.Expire(3600, 8601).size() == 1);
    CHECK(after.Find("2")->mState == UpstreamState::kSilent);
  }
  SECTION("a new incarnation at an address ends the one of the file") {
    UpstreamRecord next = Record("1b", UpstreamState::kReady);
    next.mAddress = "10.0.0.1:1";
    after.ApplyHeartbeat(next, 9000);
    CHECK(after.Find("1")->mState == UpstreamState::kGone);
  }
  SECTION("it is written again only where something changed") {
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
  SECTION("a torn file is nothing") {
    const std::string text = *ReadFile(folder.Path("upstreams"));
    ReplaceFile(folder.Path("upstreams"), text.substr(0, text.size() / 2));
    UpstreamRegistry torn;
    CHECK(UpstreamStore(folder.Path("upstreams")).Load(torn, 0) == 0);
    CHECK(torn.Size() == 0);
    CHECK(UpstreamStore(folder.Path("none")).Load(torn, 0) == 0);
  }
}

Test(restart, a_list_that_is_old_is_not_used) {
  // A leader does not write: what its disk has may be as old as its leadership.
  const TemporaryFolder folder;
  constexpr Millis kWall = 1700000000000;
  StartStamp stamp(folder.Path("stamp"));
  SECTION("nothing kept is nothing known") {
    CHECK(!stamp.Load(kWall).mUpstreamsFresh);
    CHECK(stamp.Load(kWall).mRouters == 0);
  }
  stamp.Save(83, kWall, 100);
  SECTION("one of a few seconds ago is used, also after a jump of the clock") {
    CHECK(stamp.Load(kWall + 4000).mUpstreamsFresh);
    CHECK(stamp.Load(kWall - 2000).mUpstreamsFresh);
    CHECK(stamp.Load(kWall + 4000).mRouters == 83);
  }
  SECTION("one of half a minute ago tells the routers only") {
    CHECK(!stamp.Load(kWall + 30000).mUpstreamsFresh);
    CHECK(stamp.Load(kWall + 30000).mRouters == 83);
  }
  SECTION("it is written each five seconds at most") {
    stamp.Save(90, kWall + 3000, 3100);
    CHECK(stamp.Load(kWall + 3000).mRouters == 83);
    stamp.Save(90, kWall + 5000, 5100);
    CHECK(stamp.Load(kWall + 5000).mRouters == 90);
  }
  SECTION("a torn one is nothing") {
    ReplaceFile(folder.Path("stamp"), "8");
    CHECK(!stamp.Load(kWall).mUpstreamsFresh);
  }
}

Test(restart, engines_that_left_before_a_long_leadership_do_not_come_back) {
  RelayStory story(kLongStart);
  story.Begin();
  REQUIRE(story.RunUntil([&story] {
    return ReadFile(story.mFolder.Path("data/upstreams")).has_value();
  }));
  story.mRouter.reset();
  story.mControl.reset();
  // As on the disk of one that has led since.
  ReplaceFile(story.mFolder.Path("data/stamp"), "1 1700000000000");
  story.StartControl();
  SECTION("none of the list is ready before it reports") {
    story.mControl->RefreshGauges();
    CHECK(story.mControl->OwnCounters().Value("upstreams_known") == 0);
  }
}

Test(restart, an_operator_is_answered_by_the_leader_that_comes) {
  RelayStory story(kLongStart);
  // Nobody leads yet: an answer now would send the operator away, to come back
  // after a pause that grows each time.
  OperatorAnswer answer;
  int answers = 0;
  story.mControl->Publish(Document(Traffic(3)),
                          [&](const OperatorAnswer& aAnswer) {
                            answer = aAnswer;
                            answers++;
                          });
  CHECK(answers == 0);
  REQUIRE(story.RunUntil([&] { return answers > 0; }));
  SECTION("its change is taken with the first call") {
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

Test(restart, what_waited_for_a_router_is_let_in_by_what_engines_read) {
  RelayStory story(kLongStart);
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
  SECTION("it is served, and each decision is counted") {
    CHECK(story.Call("/stream/x").mStatus == 200);
    CHECK(story.mRouter->OwnCounters().Value("opening", "outcome=\"let_in\"") ==
          1);
  }
  SECTION("a call to a plain service passes without a turn") {
    CHECK(story.Call("/pay/x").mStatus == 200);
    CHECK(story.mRouter->OwnCounters().Value("opening", "outcome=\"let_in\"") <=
          1);
  }
}

Test(restart, who_has_come_back_is_kept_until_there_is_room) {
  RelayStory story;
  story.Begin();
  ScriptedUpstream engine(story.mLoop, "engine");
  story.BeginEngine(engine);
  constexpr Millis kFirst = 4000;
  CHECK(story.Call("/stream/x", "key", kFirst).mStatus == 200);
  const std::vector<UpstreamAct> refusals(5, UpstreamAct::kRefuse);
  SECTION("a first try is refused at once, to come back") {
    engine.Next({refusals.begin(), refusals.begin() + 4});
    CHECK(story.Call("/stream/x", "key", kFirst).mStatus == 503);
    CHECK(story.RunsOfLast() + engine.Runs(story.Last()) == 0);
  }
  // On a busy machine it would be silent by now.
  story.BeatEngine(engine);
  SECTION("a later one, which has less time left, is served") {
    engine.Next(refusals);
    CHECK(story.Call("/stream/x", "key", kFirst / 2).mStatus == 200);
    CHECK(engine.Runs(story.Last()) == 1);
  }
}

Test(restart, one_deadline_beyond_the_time_out_makes_no_others_later_tries) {
  RelayStory story;
  story.Begin();
  ScriptedUpstream engine(story.mLoop, "engine");
  story.BeginEngine(engine);
  constexpr Millis kDay = 86400000;
  CHECK(story.Call("/stream/x", "key", kDay).mStatus == 200);
  engine.Next(std::vector<UpstreamAct>(4, UpstreamAct::kRefuse));
  SECTION("a first try is refused at once, to come back") {
    // All the time that the route gives.
    CHECK(story.Call("/stream/x", "key", 5000).mStatus == 503);
    CHECK(story.RunsOfLast() + engine.Runs(story.Last()) == 0);
  }
}

Test(restart, a_call_that_has_come_back_is_not_held) {
  // One retry a minute.
  RelayStory story(
      kShortStart,
      {.mRatio = 0, .mWindow = 60000, .mSlack = 1, .mUsableShare = 1});
  story.Begin();
  constexpr Millis kFirst = 2000;
  CHECK(story.Call("/look/x", "key", kFirst).mStatus == 200);
  const std::vector<UpstreamAct> refusals(3, UpstreamAct::kRefuse);
  story.mA.Next(refusals);
  story.mB.Next(refusals);
  constexpr Millis kLeft = kFirst / 2;
  const Millis startedAt = SteadyNow();
  CHECK(story.Call("/look/x", "key", kLeft).mStatus == 503);
  CHECK(story.RunsOfLast() == 0);
  SECTION("it has a second at most, and half of that would be lost") {
    CHECK(SteadyNow() - startedAt < kLeft / 4);
  }
}
