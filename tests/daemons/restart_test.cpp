#include <filesystem>

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
  before.Beat(Record("1", UpstreamState::kReady), 0);
  before.Beat(Record("2", UpstreamState::kReady), 0);
  before.Beat(Record("3", UpstreamState::kLeaving), 0);
  UpstreamStore store(folder.Path("upstreams"));
  store.Save(before, 100);
  UpstreamRegistry after;
  SECTION("those that leave are not brought back") {
    CHECK(UpstreamStore(folder.Path("upstreams")).Load(after, 5000) == 2);
    CHECK(after.Find("1")->mLayers.Count() == 3);
    CHECK(after.Find("3") == nullptr);
  }
  SECTION("one that does not report is silent after the usual time") {
    UpstreamRecord beat = Record("1", UpstreamState::kReady);
    beat.mSequence = 8;
    after.Beat(beat, 6000);
    CHECK(after.Expire(3600, 8601).size() == 1);
    CHECK(after.Find("2")->mState == UpstreamState::kSilent);
  }
  SECTION("a new incarnation at an address ends the one of the file") {
    UpstreamRecord next = Record("1b", UpstreamState::kReady);
    next.mAddress = "10.0.0.1:1";
    after.Beat(next, 9000);
    CHECK(after.Find("1")->mState == UpstreamState::kGone);
  }
  SECTION("it is written again only where something changed") {
    UpstreamRecord beat = Record("1", UpstreamState::kReady);
    beat.mSequence = 9;
    before.Beat(beat, 4000);
    std::filesystem::remove(folder.Path("upstreams"));
    store.Save(before, 9000);
    CHECK(!ReadFile(folder.Path("upstreams")).has_value());
    before.Leave("2", 9500);
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
