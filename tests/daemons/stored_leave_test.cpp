/// Leaves that were acknowledged are on disk: after a stop of all processes the
/// upstream gets no new work.
#include <filesystem>
#include <utility>

#include "daemons/control/leave_store.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

/// The answer to a leave that may still be outstanding.
struct LeaveAnswer {
  HeartbeatDone Hook() {
    return [this](const HeartbeatAnswer& aAnswer) {
      mEnded = true;
      mAccepted = aAnswer.mAccepted;
    };
  }

  bool mEnded = false;
  bool mAccepted = false;
};

UpstreamRecord HeartbeatOf(const std::string& aInstance, UpstreamState aState,
                           std::int64_t aSequence) {
  return {.mInstance = aInstance,
          .mService = "counter",
          .mAddress = "10.0.0.1:80",
          .mZone = "z",
          .mSlots = 6,
          .mState = aState,
          .mSequence = aSequence};
}

UpstreamRecord LeaveOf(const ScriptedUpstream& aUpstream,
                       std::int64_t aSequence) {
  UpstreamRecord record =
      HeartbeatOf(aUpstream.Instance(), UpstreamState::kLeaving, aSequence);
  record.mAddress = aUpstream.Address();
  return record;
}

/// A control and a router, which are both killed once a leave of the first
/// upstream is acknowledged.
struct Restart {
  Restart() {
    mStory.Begin();
    REQUIRE(mStory.RunUntil([this] {
      return ReadFile(mStory.mFolder.Path("data/upstreams")).has_value();
    }));
    // Waits for the next save: the file may not have the second upstream yet.
    mStory.Wait(2600);
  }

  void CheckNotUsed() {
    REQUIRE(mStory.RunUntil([this] { return mAnswer.mEnded; }));
    CHECK(mAnswer.mAccepted);
    mStory.mRouter.reset();
    mStory.mControl.reset();
    mStory.StartControl();
    mStory.StartRouter();
    const int before = mStory.mA.TotalRuns();
    for (int i = 0; i < kCalls; i++) {
      CHECK(mStory.Call("/look/x").mStatus == 200);
    }
    CHECK(mStory.mA.TotalRuns() == before);
  }

  static constexpr int kCalls = 20;
  RelayFixture mStory{kLongWarmUp};
  LeaveAnswer mAnswer;
};

/// A disk that completes writes when it is told to.
struct SlowFile {
  ReplaceHook Hook() {
    return [this](const std::string& aPath, const std::string& aBytes,
                  ReplacedHook aDone) {
      mWrites++;
      mOpen = [aPath, aBytes, done = std::move(aDone)] {
        ReplaceAndWait(aPath, aBytes, done);
      };
    };
  }
  void Complete() { std::exchange(mOpen, nullptr)(); }

  int mWrites = 0;
  std::function<void()> mOpen;
};

/// Many upstreams leave while the first of them is being stored.
struct Release {
  static constexpr int kLeaves = 500;

  Release() {
    for (int i = 0; i < kLeaves; i++) {
      const std::string instance = "i-" + std::to_string(i);
      UpstreamRecord record = HeartbeatOf(instance, UpstreamState::kLeaving, 7);
      record.mAddress = "10.0.0.1:" + std::to_string(1000 + i);
      mRegistry.ApplyHeartbeat(record, SteadyNow());
      mStore.Store({instance}, [this](bool aIsDurable) {
        (aIsDurable ? mDurable : mFailed)++;
      });
    }
  }

  /// Number of leaves that a control restores.
  int OnDisk() const {
    UpstreamRegistry after;
    return static_cast<int>(
        LeaveStore(mPath, after).Load(after, SteadyNow(), WallNow()));
  }

  TemporaryFolder mFolder;
  std::string mPath = mFolder.Path("leaves");
  UpstreamRegistry mRegistry;
  SlowFile mFile;
  LeaveStore mStore{mPath, mRegistry, mFile.Hook()};
  int mDurable = 0;
  int mFailed = 0;
};

}  // namespace

/// Guards against leaves that were held in memory only: after a kill of all
/// processes the upstream was restored as ready and got requests.
Test(stored_leave, an_acknowledged_leave_outlasts_a_kill_of_all_processes) {
  SECTION("one that control was told of") {
    Restart restart;
    restart.mStory.mControl->Leave(restart.mStory.mA.Instance(),
                                   restart.mAnswer.Hook(), 0);
    restart.CheckNotUsed();
  }
  SECTION("a heartbeat that says so") {
    Restart restart;
    restart.mStory.mControl->ApplyHeartbeat(LeaveOf(restart.mStory.mA, 100),
                                            restart.mAnswer.Hook());
    restart.CheckNotUsed();
  }
  SECTION("one that a router was told of, which has no disk") {
    Restart restart;
    restart.mStory.mRouter->ApplyHeartbeat(LeaveOf(restart.mStory.mA, 100),
                                           restart.mAnswer.Hook());
    restart.CheckNotUsed();
  }
}

/// Guards against one write for each upstream of a release that drains many,
/// and against leaves that are called durable by a write that lacks them.
Test(stored_leave, leaves_that_come_during_a_write_share_the_next) {
  Release release;
  CHECK(release.mFile.mWrites == 1 && release.mDurable == 0);
  SECTION("two writes store all of them") {
    release.mFile.Complete();
    CHECK(release.mFile.mWrites == 2 && release.mDurable == 1);
    release.mFile.Complete();
    CHECK(release.mDurable == Release::kLeaves);
    CHECK(release.OnDisk() == Release::kLeaves);
  }
  SECTION("one that is stored is not written again") {
    release.mStore.Store({"i-3"}, [](bool aIsDurable) { CHECK(aIsDurable); });
    release.mStore.Save(SteadyNow());
    CHECK(release.mFile.mWrites == 2);
  }
}

/// Guards against leaves that are called durable by a write that failed.
Test(stored_leave, a_write_that_fails_stores_no_leave) {
  Release release;
  release.mFile.Complete();
  std::filesystem::remove_all(release.mPath);
  std::filesystem::create_directory(release.mPath);
  release.mFile.Complete();
  CHECK(release.mFailed == Release::kLeaves - 1 && release.mDurable == 1);
  SECTION("they are written again later") {
    std::filesystem::remove_all(release.mPath);
    release.mStore.Save(SteadyNow());
    REQUIRE(release.mFile.mOpen != nullptr);
    release.mFile.Complete();
    CHECK(release.OnDisk() == Release::kLeaves);
  }
}

/// Guards against names that stay barred: an upstream without a start may take
/// its name again once its leave is a minute old.
Test(stored_leave, leaves_are_restored_for_a_minute) {
  const TemporaryFolder folder;
  const std::string path = folder.Path("leaves");
  UpstreamRegistry before;
  const Millis now = SteadyNow();
  before.ApplyHeartbeat(HeartbeatOf("i-1", UpstreamState::kLeaving, 7), now);
  before.ApplyLeave("i-2", now);
  LeaveStore store(path, before);
  store.Store({"i-1", "i-2"}, [](bool aIsDurable) { CHECK(aIsDurable); });
  SECTION("a record of before its leave does not bring it back") {
    UpstreamRegistry after;
    CHECK(LeaveStore(path, after).Load(after, now, WallNow() + 3000) == 2);
    after.Merge(HeartbeatOf("i-1", UpstreamState::kReady, 6), now);
    after.Merge(HeartbeatOf("i-2", UpstreamState::kReady, 6), now);
    CHECK(after.Find("i-1")->mState == UpstreamState::kLeaving);
    CHECK(after.Find("i-2")->mState == UpstreamState::kGone);
  }
  SECTION("a successor at its address is ready") {
    UpstreamRegistry after;
    CHECK(LeaveStore(path, after).Load(after, now, WallNow() + 3000) == 2);
    after.Merge(HeartbeatOf("i-3", UpstreamState::kReady, 1), now);
    CHECK(after.Find("i-3")->mState == UpstreamState::kReady);
  }
  SECTION("older ones are not restored") {
    UpstreamRegistry after;
    CHECK(LeaveStore(path, after).Load(after, now, WallNow() + 61000) == 0);
  }
  SECTION("a clock that was set back changes nothing") {
    UpstreamRegistry after;
    CHECK(LeaveStore(path, after).Load(after, now, WallNow() - 3600000) == 2);
  }
  SECTION("a torn or missing file is ignored") {
    UpstreamRegistry after;
    const std::string text = *ReadFile(path);
    ReplaceFile(path, text.substr(0, text.size() / 2));
    CHECK(LeaveStore(path, after).Load(after, now, WallNow()) == 0);
    CHECK(LeaveStore(folder.Path("none"), after).Load(after, now, WallNow()) ==
          0);
  }
}
