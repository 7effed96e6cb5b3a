/// One disk is lost while all other processes lose power: acknowledged changes
/// are kept.
#include <sys/stat.h>

#include <filesystem>

#include "tests/daemons/control_group.h"

using namespace spindleweir;

namespace {

/// Tells a file from one that has replaced it.
ino_t FileNumber(const std::string& aPath) {
  struct stat file {};
  REQUIRE(stat(aPath.c_str(), &file) == 0);
  return file.st_ino;
}

}  // namespace

Test(lost_disk, acknowledged_changes_survive_a_power_loss_of_all_others) {
  for (int lost = 0; lost < ControlGroup::kControls; lost++) {
    ControlGroup controls;
    const std::string document = Document(Traffic(7));
    REQUIRE(controls.Publish(Document(Traffic(6))).mCode == ResultCode::kOk);
    REQUIRE(controls.Publish(document).mCode == ResultCode::kOk);
    controls.StopAll();
    std::filesystem::remove_all(controls.Data(lost));
    controls.StartAll(false);
    SECTION("the others have the configuration, whichever disk is lost") {
      const OperatorAnswer answer = controls.Read();
      CHECK(answer.mCode == ResultCode::kOk);
      CHECK(answer.mDocument == document);
    }
    SECTION("the next change is accepted") {
      CHECK(controls.Publish(Document(Traffic(8))).mCode == ResultCode::kOk);
    }
  }
}

// A control that was started on the folder of another one replaced that one's
// log, which went on writing to a file without a name.
Test(lost_disk, a_control_on_the_folder_of_another_leaves_its_log_alone) {
  ControlGroup controls;
  REQUIRE(controls.Publish(Document(Traffic(6))).mCode == ResultCode::kOk);
  ControlOptions options = controls.OptionsOf(0, false);
  options.mRpcListen = FreeEndpoint();
  const std::string log = controls.Data(0) + "/raft.log";
  const ino_t before = FileNumber(log);
  SECTION("it is refused") {
    CHECK(CodeThrownBy([&] {
            const JoinedControl other(controls.mLoop, options);
          }) == ResultCode::kDataCorrupt);
  }
  SECTION("the owner's log is still the file that it writes to") {
    CHECK(FileNumber(log) == before);
  }
}
