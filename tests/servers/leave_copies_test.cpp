/// When a leave may be acknowledged: how many controls have it on their disks.
#include "spindleweir/servers/membership/leave_copies.h"

#include <optional>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// A leave that some controls were asked to store.
struct Leave {
  explicit Leave(int aControls)
      : mCopies(aControls, [this](bool aIsAcknowledged) {
          CHECK(!mDecision.has_value());
          mDecision = aIsAcknowledged;
        }) {}

  bool IsOpen() const { return !mDecision.has_value(); }
  bool IsAcknowledged() const { return mDecision == true; }
  bool IsRefused() const { return mDecision == false; }

  std::optional<bool> mDecision;
  LeaveCopies mCopies;
};

}  // namespace

/// Guards against a leave that was acknowledged on a single disk of several,
/// which may be the one that is lost.
Test(leave_copies, a_leave_is_acknowledged_on_most_of_the_voters_disks) {
  SECTION("three voters: on the second disk") {
    Leave leave(3);
    leave.mCopies.OnStored(3);
    CHECK(leave.IsOpen());
    leave.mCopies.OnStored(3);
    CHECK(leave.IsAcknowledged());
    leave.mCopies.OnFailed();
    leave.mCopies.Refuse();
    CHECK(leave.IsAcknowledged());
  }
  SECTION("five voters: on the third") {
    Leave leave(5);
    leave.mCopies.OnStored(5);
    leave.mCopies.OnStored(5);
    leave.mCopies.OnFailed();
    CHECK(leave.IsOpen());
    leave.mCopies.OnStored(5);
    CHECK(leave.IsAcknowledged());
  }
  SECTION("one voter: on its own") {
    Leave leave(1);
    leave.mCopies.OnStored(1);
    CHECK(leave.IsAcknowledged());
  }
  SECTION("two voters: on both") {
    Leave leave(2);
    leave.mCopies.OnStored(2);
    CHECK(leave.IsOpen());
    leave.mCopies.OnStored(2);
    CHECK(leave.IsAcknowledged());
  }
  SECTION("a control that knows of fewer voters does not lower the number") {
    Leave leave(3);
    leave.mCopies.OnStored(5);
    leave.mCopies.OnStored(1);
    CHECK(leave.IsOpen());
  }
  SECTION("without any number of voters two disks are needed") {
    Leave leave(2);
    leave.mCopies.OnStored(0);
    CHECK(leave.IsOpen());
    leave.mCopies.OnStored(0);
    CHECK(leave.IsAcknowledged());
  }
}

/// Guards against an upstream that waits for good for controls whose disks
/// accept nothing.
Test(leave_copies, a_leave_on_too_few_disks_is_refused) {
  SECTION("once all have answered") {
    Leave leave(3);
    leave.mCopies.OnStored(3);
    leave.mCopies.OnFailed();
    CHECK(leave.IsOpen());
    leave.mCopies.OnFailed();
    CHECK(leave.IsRefused());
  }
  SECTION("once the time is over, also if another disk has it later") {
    Leave leave(3);
    leave.mCopies.OnStored(3);
    leave.mCopies.Refuse();
    CHECK(leave.IsRefused());
    leave.mCopies.OnStored(3);
    CHECK(leave.IsRefused());
  }
}

/// Guards against a repeated leave that is acknowledged since it is known, not
/// since it is on disk.
Test(leave_copies, only_the_incarnation_that_left_is_acknowledged_again) {
  AcknowledgedLeaves leaves;
  UpstreamRegistry registry;
  registry.ApplyLeave("a", 0, 100);
  leaves.Add("a", 100);
  CHECK(leaves.Contains("a", 100));
  CHECK(!leaves.Contains("a", 200) && !leaves.Contains("b", 100));
  leaves.RemoveUnknown(registry);
  CHECK(leaves.Contains("a", 100));
  registry.Expire(1000, 70000);
  leaves.RemoveUnknown(registry);
  CHECK(!leaves.Contains("a", 100));
}
