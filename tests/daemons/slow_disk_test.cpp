/// Controls whose disks take long to sync elect a leader that lasts: the
/// messages of the others don't wait for the disk.
#include <filesystem>
#include <string>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/control_threads.h"
#include "tests/daemons/relay_fixture.h"
#include "tests/slow_disk.h"

using namespace spindleweir;

namespace {

constexpr unsigned kSeed = 65;
/// Service is back this long after all machines are.
constexpr Millis kRecover = 12000;
/// A change is acknowledged within this time.
constexpr Millis kAcknowledge = 4000;

std::string DocumentOf(std::int64_t aVersion) {
  return Document(Traffic(aVersion));
}

std::string VersionOf(const std::optional<std::string>& aDocument) {
  return aDocument.has_value()
             ? "version " + std::to_string(FromJson<TrafficConfiguration>(
                                               ParseJson(*aDocument))
                                               .mVersion)
             : "no answer";
}

struct Fixture {
  /// Goes after all threads that sync.
  SlowDisk mDisk{kSeed};
  ControlThreads mControls;
};

/// Whether a document is one that was sent under its version, from aOldest to
/// aNewest.
bool IsOneOf(const std::optional<std::string>& aDocument, std::int64_t aOldest,
             std::int64_t aNewest) {
  for (std::int64_t version = aOldest; version <= aNewest; version++) {
    if (aDocument == DocumentOf(version)) {
      return true;
    }
  }
  return false;
}

/// All controls end, and come back with slow disks, the first ones empty.
void CheckComesBack(int aEmptyDisks) {
  Fixture fixture;
  SECTION("with quick disks, two configurations are accepted") {
    REQUIRE(fixture.mControls.Publish(DocumentOf(6), kRecover).has_value());
    REQUIRE(fixture.mControls.Publish(DocumentOf(7), kRecover).has_value());
  }
  const Section scope("all controls are killed, and come back with slow disks");
  fixture.mControls.KillAll();
  for (int i = 0; i < aEmptyDisks; i++) {
    std::filesystem::remove_all(fixture.mControls.Data(i));
  }
  fixture.mDisk.SetSyncTime(600, 1200);
  fixture.mControls.StartAll(false);
  SECTION("the newest configuration is read back in time") {
    const std::optional<std::string> found = fixture.mControls.Read(kRecover);
    CHECK_FOUND(found == DocumentOf(7), VersionOf(found));
  }
}

}  // namespace

Test(slow_disk, controls_that_are_all_killed_come_back) {
  CheckComesBack(0);
}

Test(slow_disk, controls_that_are_all_killed_come_back_without_two_disks) {
  CheckComesBack(2);
}

Test(slow_disk, changes_one_after_the_other_are_acknowledged_in_time) {
  constexpr std::int64_t kNewest = 6;
  Fixture fixture;
  SECTION("with quick disks, a configuration is accepted") {
    REQUIRE(fixture.mControls.Publish(DocumentOf(1), kRecover).has_value());
  }
  const Section scope("the disks become slow");
  std::int64_t acknowledged = 1;
  SECTION("for one change, which may take longer, very slow") {
    fixture.mDisk.SetSyncTime(600, 1200);
    if (fixture.mControls.Publish(DocumentOf(2), kAcknowledge).has_value()) {
      acknowledged = 2;
    }
  }
  fixture.mDisk.SetSyncTime(150, 400);
  for (std::int64_t version = 3; version <= kNewest; version++) {
    const std::string text = "change " + std::to_string(version - 2);
    SECTION(text.c_str()) {
      const std::optional<Millis> took =
          fixture.mControls.Publish(DocumentOf(version), kAcknowledge);
      CHECK(took.has_value());
      acknowledged = took.has_value() ? version : acknowledged;
    }
  }
  SECTION("what is read back is not older than the newest acknowledged") {
    const std::optional<std::string> found = fixture.mControls.Read(kRecover);
    CHECK_FOUND(IsOneOf(found, acknowledged, kNewest), VersionOf(found));
  }
}
