/// A voter whose disk fails for long, beside a control that could take its
/// place.
#include <cerrno>

#include "tests/daemons/control_group.h"
#include "tests/failing_disk.h"

using namespace spindleweir;

namespace {

/// A voter that ends is replaced within this time.
constexpr Millis kReplacementTime = 12000;
constexpr Millis kLearningTime = 2000;
/// A change is acknowledged within this time.
constexpr Millis kChangeTime = 4000;

}  // namespace

/// Guards against a voter that holds nothing new, but answers polls: nobody
/// takes its place, and the loss of one more ends the majority.
Test(full_disk_voter, is_replaced_by_a_control_whose_disk_works) {
  FailingDisk disk;
  ControlGroup controls;
  REQUIRE(controls.Publish(Document(Traffic(3))).mCode == ResultCode::kOk);
  ControlOptions options = controls.OptionsOf(2, false);
  options.mRpcListen = FreeEndpoint();
  options.mData = controls.mFolder.Path("spare");
  JoinedControl spare(controls.mLoop, options);
  controls.Wait(kLearningTime);
  disk.Fail({controls.Data(2)}, CallsOfFullDisk(), ENOSPC);
  REQUIRE(controls.Publish(Document(Traffic(4))).mCode == ResultCode::kOk);
  controls.Wait(kReplacementTime);
  controls.Kill(0);
  ResultCode code = ResultCode::kNoQuorum;
  const Millis end = SteadyNow() + kChangeTime;
  for (int i = 0; code != ResultCode::kOk && SteadyNow() < end; i++) {
    bool isAnswered = false;
    JoinedControl& asked = i % 2 == 0 ? spare : controls.Control(1);
    asked.Publish(Document(Traffic(5)), [&](const OperatorAnswer& aAnswer) {
      code = aAnswer.mCode;
      isAnswered = true;
    });
    REQUIRE(RunLoopUntil(controls.mLoop, [&] { return isAnswered; }));
    controls.Wait(20);
  }
  CHECK(code == ResultCode::kOk);
}
