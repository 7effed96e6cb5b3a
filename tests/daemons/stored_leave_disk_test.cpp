/// Leaves on the disks of three controls, of which some hang, are full or are
/// lost.
#include <cerrno>

#include "daemons/control/leave_store.h"
#include "tests/daemons/control_group.h"
#include "tests/failing_disk.h"

using namespace spindleweir;

namespace {

/// Within this time an upstream has its answer, or calls another process.
constexpr Millis kAnswerTime = 1000;
constexpr const char* kInstance = "i-1";

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

UpstreamRecord ReadyHeartbeat() {
  return {.mInstance = kInstance,
          .mService = "counter",
          .mAddress = "10.0.0.1:80",
          .mZone = "z",
          .mSlots = 6,
          .mSequence = 1};
}

/// Three controls that elected a leader and know an upstream.
struct Group {
  Group() {
    REQUIRE(mControls.Publish(Document(Traffic(3))).mCode == ResultCode::kOk);
    mControls.Control(0).ApplyHeartbeat(ReadyHeartbeat(),
                                        [](const HeartbeatAnswer&) {});
    // All controls have polled each other.
    mControls.Wait(1000);
  }

  /// Sends a leave to a control and waits for its answer.
  bool IsAccepted(int aWhich) {
    LeaveAnswer answer;
    const Millis began = SteadyNow();
    mControls.Control(aWhich).Leave(kInstance, answer.Hook(), 0);
    REQUIRE(RunLoopUntil(mControls.mLoop, [&] { return answer.mEnded; }));
    CHECK(SteadyNow() - began < kAnswerTime);
    return answer.mAccepted;
  }

  /// Whether a control restores the leave from its disk.
  bool IsOnDisk(int aWhich) const {
    UpstreamRegistry registry;
    LeaveStore(LeavesOf(aWhich), registry)
        .Load(registry, SteadyNow(), WallNow());
    const UpstreamRecord* record = registry.Find(kInstance);
    return record != nullptr && IsLeavingOrGone(record->mState);
  }
  int Copies() const {
    int count = 0;
    for (int i = 0; i < ControlGroup::kControls; i++) {
      count += IsOnDisk(i) ? 1 : 0;
    }
    return count;
  }
  std::string LeavesOf(int aWhich) const {
    return mControls.Data(aWhich) + "/leaves";
  }

  FailingDisk mDisk;
  ControlGroup mControls;
};

}  // namespace

/// Guards against a leave on the disk of one control only, which may be lost
/// while all others lose power.
Test(stored_leave, an_acknowledged_leave_outlasts_the_loss_of_any_disk) {
  for (int asked = 0; asked < ControlGroup::kControls; asked++) {
    Group group;
    REQUIRE(group.IsAccepted(asked));
    group.mControls.StopAll();
    for (int i = 0; i < ControlGroup::kControls; i++) {
      group.mDisk.LosePower(group.mControls.Data(i));
    }
    CHECK(group.Copies() >= 2);
  }
}

/// Guards against an acknowledgement that waits for each disk: one may hang.
Test(stored_leave, one_disk_that_hangs_holds_up_no_acknowledgement) {
  for (int asked = 0; asked < ControlGroup::kControls; asked++) {
    Group group;
    group.mDisk.HoldSyncs({group.mControls.Data(0)});
    CHECK(group.IsAccepted(asked));
    CHECK(!group.IsOnDisk(0) && group.Copies() == 2);
    // Its control waits for the disk when it ends.
    group.mDisk.ReleaseSyncs();
  }
}

/// Guards against acknowledgements that rest on memory while disks hang, and
/// against upstreams that get no answer at all.
Test(stored_leave, disks_that_hang_hold_up_the_acknowledgement_only) {
  Group group;
  group.mDisk.HoldSyncs({group.mControls.Data(1), group.mControls.Data(2)});
  SECTION("it is refused in time") {
    CHECK(!group.IsAccepted(0));
  }
  SECTION("again, though it is known by then") {
    CHECK(!group.IsAccepted(0));
    CHECK(!group.IsAccepted(1));
    CHECK(group.Copies() == 1);
  }
  SECTION("until the disks go on") {
    group.mDisk.ReleaseSyncs();
    group.mControls.Wait(300);
    CHECK(group.IsAccepted(1));
    CHECK(group.Copies() >= 2);
  }
}

/// Guards against an acknowledgement that needs room on each disk.
Test(stored_leave, one_full_disk_holds_up_no_acknowledgement) {
  Group group;
  group.mDisk.Fail({group.mControls.Data(0)}, CallsOfFullDisk(), ENOSPC);
  SECTION("the other two have it") {
    CHECK(group.IsAccepted(0));
    CHECK(group.Copies() == 2);
  }
  SECTION("the third writes it once it has room") {
    group.mDisk.Recover();
    REQUIRE(RunLoopUntil(group.mControls.mLoop,
                         [&group] { return group.Copies() == 3; }));
  }
}

/// Guards against acknowledgements that rest on memory while disks are full.
Test(stored_leave, full_disks_hold_up_the_acknowledgement_only) {
  Group group;
  group.mDisk.Fail({group.mControls.Data(0), group.mControls.Data(1),
                    group.mControls.Data(2)},
                   CallsOfFullDisk(), ENOSPC);
  SECTION("it is refused, again too") {
    CHECK(!group.IsAccepted(0));
    CHECK(!group.IsAccepted(0));
    CHECK(!group.IsAccepted(1));
  }
  SECTION("until the disks have room") {
    group.mDisk.Recover();
    CHECK(group.IsAccepted(2));
    CHECK(group.Copies() >= 2);
  }
}

/// Guards against a control that was down, or was told by a poll, and lacks a
/// leave for as long as it runs: two more disks may be lost in that time.
Test(stored_leave, a_control_that_hears_of_a_leave_later_stores_it) {
  Group group;
  group.mControls.Kill(2);
  REQUIRE(group.IsAccepted(0));
  CHECK(group.Copies() == 2);
  group.mControls.Start(2, false);
  REQUIRE(RunLoopUntil(group.mControls.mLoop,
                       [&group] { return group.IsOnDisk(2); }));
}

/// Guards against a leave that waits for disks longer than its control lives.
Test(stored_leave, a_control_may_end_while_a_leave_waits) {
  Group group;
  group.mDisk.HoldSyncs({group.mControls.Data(1), group.mControls.Data(2)});
  LeaveAnswer answer;
  group.mControls.Control(0).Leave(kInstance, answer.Hook(), 0);
  group.mControls.Wait(100);
  group.mControls.Kill(0);
  group.mControls.Wait(kAnswerTime);
  CHECK(!answer.mAccepted);
  // The others wait for their disks when they end.
  group.mDisk.ReleaseSyncs();
  SECTION("the leave is on its disk for its next start") {
    CHECK(group.IsOnDisk(0));
  }
}
