/// A control that starts while its disk fails waits for the disk; it used to
/// end with 4008, and where nobody started it again, the newest version was
/// lost.
#include <cerrno>
#include <fstream>
#include <vector>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/control_group.h"
#include "tests/failing_disk.h"

using namespace spindleweir;

namespace {

/// A waiting start has tried again by then.
constexpr Millis kNextAttempt = 700;

std::string DocumentOf(std::int64_t aVersion) {
  return Document(Traffic(aVersion));
}

/// Three controls with a disk each that can be made to fail.
struct Fixture : ControlGroup {
  /// Starts all of them for the first time, unless aStarts is false.
  explicit Fixture(bool aStarts = true) : ControlGroup(false) {
    if (aStarts) {
      StartAll(true);
    }
  }

  /// The data folders of the first controls.
  std::vector<std::string> DataOfFirst(int aCount) const {
    std::vector<std::string> folders;
    for (int i = 0; i < aCount; i++) {
      folders.push_back(Data(i));
    }
    return folders;
  }

  bool AwaitAllStarted() {
    return RunLoopUntil(mLoop, [this] { return AllStarted(); });
  }

  std::int64_t FailedGauge(int aWhich) {
    return Control(aWhich).OwnCounters().Value("storage_failed");
  }

  std::string IdentityOf(int aWhich) const {
    return ReadFile(Data(aWhich) + "/identity").value_or("");
  }

  std::string LogOf(int aWhich) const {
    return ReadFile(Data(aWhich) + "/raft.log").value_or("");
  }

  FailingDisk mDisk;
};

/// A way in which a disk fails.
struct Failure {
  const char* mName;
  std::set<DiskCall> mCalls;
  int mError;
};

const std::vector<Failure>& Failures() {
  static const std::vector<Failure> failures = {
      {"full", CallsOfFullDisk(), ENOSPC},
      {"full, no file can be created", {DiskCall::kOpen}, ENOSPC},
      {"full, nothing can be written", {DiskCall::kWrite}, ENOSPC},
      {"full, nothing can be synced", {DiskCall::kSync}, ENOSPC},
      {"over its quota", {DiskCall::kWrite}, EDQUOT},
      {"broken, nothing can be synced", {DiskCall::kSync}, EIO},
      {"broken, nothing can be renamed", {DiskCall::kRename}, EIO},
  };
  return failures;
}

}  // namespace

Test(full_disk_start, controls_killed_before_wait_and_come_back) {
  for (int waiting = 1; waiting <= ControlGroup::kControls; waiting++) {
    Fixture fixture;
    REQUIRE(fixture.Publish(DocumentOf(6)).mCode == ResultCode::kOk);
    REQUIRE(fixture.Publish(DocumentOf(7)).mCode == ResultCode::kOk);
    std::int64_t newest = 7;
    for (const Failure& failure : Failures()) {
      const Section scope(failure.mName);
      fixture.mDisk.Fail(fixture.DataOfFirst(waiting), failure.mCalls,
                         failure.mError);
      for (int i = 0; i < waiting; i++) {
        fixture.Kill(i);
      }
      for (int i = 0; i < waiting; i++) {
        fixture.Start(i, false);
      }
      SECTION("they wait for as long as it takes, and are seen to") {
        fixture.Wait(kNextAttempt);
        CHECK(fixture.mDisk.Failures() > 0);
        for (int i = 0; i < waiting; i++) {
          CHECK(!fixture.Control(i).HasStarted());
          CHECK(fixture.FailedGauge(i) == 1);
        }
      }
      SECTION("an operator is told at once that nothing was done") {
        CHECK(fixture.ReadAt(0).mCode == ResultCode::kStorageFailed);
      }
      if (waiting == 1) {
        SECTION("the others go on") {
          newest++;
          CHECK(fixture.Publish(DocumentOf(newest)).mCode == ResultCode::kOk);
        }
      }
      SECTION("once the disk is back, all is as it was") {
        fixture.mDisk.Recover();
        REQUIRE(fixture.AwaitAllStarted());
        const OperatorAnswer answer = fixture.Read();
        CHECK(answer.mCode == ResultCode::kOk);
        CHECK(answer.mDocument == DocumentOf(newest));
        CHECK(fixture.FailedGauge(0) == 0);
      }
      SECTION("and the next change is accepted") {
        newest++;
        CHECK(fixture.Publish(DocumentOf(newest)).mCode == ResultCode::kOk);
      }
    }
  }
}

Test(full_disk_start, a_first_start_waits_for_the_disk) {
  for (int waiting = 1; waiting <= ControlGroup::kControls; waiting++) {
    for (const Failure& failure : Failures()) {
      const Section scope(failure.mName);
      Fixture fixture(false);
      fixture.mDisk.Fail(fixture.DataOfFirst(waiting), failure.mCalls,
                         failure.mError);
      fixture.StartAll(true);
      SECTION("seeds that change meanwhile do not change the first voters") {
        fixture.Control(0).SetSeeds(
            {fixture.mAddresses[0], fixture.mAddresses[1]});
      }
      fixture.Wait(kNextAttempt);
      CHECK(!fixture.Control(0).HasStarted());
      fixture.mDisk.Recover();
      REQUIRE(fixture.AwaitAllStarted());
      CHECK(fixture.Publish(DocumentOf(1)).mCode == ResultCode::kOk);
      fixture.Control(0).RefreshGauges();
      CHECK(fixture.Control(0).OwnCounters().Value("voters") == 3);
    }
  }
}

Test(full_disk_start, each_write_of_a_start_may_be_the_first_that_fails) {
  Fixture fixture;
  REQUIRE(fixture.Publish(DocumentOf(1)).mCode == ResultCode::kOk);
  const std::string identity = fixture.IdentityOf(0);
  std::int64_t newest = 1;
  for (const DiskCall call :
       {DiskCall::kOpen, DiskCall::kWrite, DiskCall::kTruncate, DiskCall::kSync,
        DiskCall::kRename}) {
    bool waited = true;
    for (int after = 0; waited; after++) {
      fixture.Kill(0);
      fixture.mDisk.Fail({fixture.Data(0)}, {call}, ENOSPC, after);
      fixture.Start(0, false);
      waited = !fixture.Control(0).HasStarted();
      fixture.mDisk.Recover();
      REQUIRE(fixture.AwaitAllStarted());
      newest++;
      CHECK(fixture.Publish(DocumentOf(newest)).mCode == ResultCode::kOk);
      CHECK(fixture.IdentityOf(0) == identity);
      REQUIRE(after < 10);
    }
  }
}

Test(full_disk_start, a_wait_ends_by_a_stop_and_goes_on_after_a_kill) {
  Fixture fixture;
  REQUIRE(fixture.Publish(DocumentOf(3)).mCode == ResultCode::kOk);
  const std::vector<std::string> all = fixture.DataOfFirst(3);
  fixture.mDisk.Fail(all, CallsOfFullDisk(), ENOSPC);
  fixture.StopAll();
  fixture.StartAll(false);
  SECTION("a planned stop ends the loop") {
    const auto stop =
        fixture.mLoop.After(1, [&fixture] { fixture.Control(0).Stop(); });
    fixture.mLoop.Run();
    fixture.Kill(0);
    fixture.Start(0, false);
  }
  SECTION("controls that are killed while they wait wait again") {
    fixture.Wait(kNextAttempt);
    fixture.StopAll();
    fixture.StartAll(false);
    CHECK(!fixture.AllStarted());
  }
  SECTION("a disk that fails again after the start") {
    fixture.mDisk.Recover();
    REQUIRE(fixture.AwaitAllStarted());
    fixture.mDisk.Fail(all, CallsOfFullDisk(), ENOSPC);
    fixture.Wait(kNextAttempt);
    CHECK(fixture.FailedGauge(0) + fixture.FailedGauge(1) +
              fixture.FailedGauge(2) >
          0);
    fixture.StopAll();
    fixture.StartAll(false);
  }
  fixture.mDisk.Recover();
  REQUIRE(fixture.AwaitAllStarted());
  CHECK(fixture.Read().mDocument == DocumentOf(3));
  CHECK(fixture.Publish(DocumentOf(4)).mCode == ResultCode::kOk);
}

/// Guards against votes and acknowledgements that rest on data whose sync had
/// failed in a process before: the next sync of the same file succeeds without
/// that data.
Test(full_disk_start, what_is_promised_survives_a_loss_of_power) {
  for (const bool killed : {false, true}) {
    Fixture fixture;
    REQUIRE(fixture.Publish(DocumentOf(1)).mCode == ResultCode::kOk);
    SECTION("the syncs of a change fail at all controls") {
      fixture.mDisk.Fail(fixture.DataOfFirst(3), {DiskCall::kSync}, EIO);
      for (int i = 0; i < ControlGroup::kControls; i++) {
        fixture.Control(i).Publish(DocumentOf(2), [](const OperatorAnswer&) {});
      }
      fixture.Wait(kNextAttempt);
    }
    if (killed) {
      SECTION("they are killed, and killed again while they wait") {
        for (int i = 0; i < 2; i++) {
          fixture.StopAll();
          fixture.StartAll(false);
          fixture.Wait(kNextAttempt);
        }
        fixture.StopAll();
        fixture.mDisk.Recover();
        fixture.StartAll(false);
      }
    }
    fixture.mDisk.Recover();
    SECTION("the next change is accepted") {
      CHECK(fixture.Publish(DocumentOf(3)).mCode == ResultCode::kOk);
    }
    // A control that has not written its log anew yet has promised nothing.
    REQUIRE(RunLoopUntil(fixture.mLoop, [&fixture] {
      return fixture.AllStarted() && fixture.FailedGauge(0) == 0 &&
             fixture.FailedGauge(1) == 0 && fixture.FailedGauge(2) == 0;
    }));
    fixture.StopAll();
    for (int i = 0; i < ControlGroup::kControls; i++) {
      SECTION("each control has what it promised after a loss of power") {
        const std::string identity = fixture.IdentityOf(i);
        const std::string log = fixture.LogOf(i);
        fixture.mDisk.LosePower(fixture.Data(i));
        CHECK(fixture.IdentityOf(i) == identity);
        CHECK(fixture.LogOf(i) == log);
      }
    }
    SECTION("and they go on from there") {
      fixture.StartAll(false);
      CHECK(fixture.Read().mDocument == DocumentOf(3));
    }
  }
}

/// Guards against a control that votes under a name which a loss of power takes
/// away.
Test(full_disk_start, an_identity_is_durable_before_anything_rests_on_it) {
  Fixture fixture(false);
  SECTION("the name was written, but its folder could not be synced") {
    // The folder is synced after the file.
    fixture.mDisk.Fail({fixture.Data(0)}, {DiskCall::kSync}, EIO, 1);
    fixture.Start(0, true);
    CHECK(!fixture.IdentityOf(0).empty());
    CHECK(!ReadFile(fixture.Data(0) + "/raft.log").has_value());
  }
  SECTION("a later process finds it, and makes it durable first") {
    fixture.Kill(0);
    fixture.mDisk.Recover();
    fixture.Start(0, false);
    REQUIRE(fixture.Control(0).HasStarted());
    const std::string identity = fixture.IdentityOf(0);
    fixture.Kill(0);
    fixture.mDisk.LosePower(fixture.Data(0));
    CHECK(fixture.IdentityOf(0) == identity);
  }
}

Test(full_disk_start, what_does_not_pass_by_itself_is_an_error_at_once) {
  Fixture fixture;
  REQUIRE(fixture.Publish(DocumentOf(1)).mCode == ResultCode::kOk);
  fixture.Kill(0);
  const auto codeOfStart = [&fixture] {
    return CodeThrownBy([&fixture] { fixture.Start(0, false); });
  };
  const std::string log = fixture.Data(0) + "/raft.log";
  const std::string identity = fixture.Data(0) + "/identity";
  SECTION("damaged data, also while the disk is full") {
    const std::string bytes = ReadFile(log).value();
    std::string damaged = bytes;
    damaged[2] = static_cast<char>(damaged[2] ^ 0x20);
    std::ofstream(log, std::ios::binary) << damaged;
    fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
    CHECK(codeOfStart() == ResultCode::kDataCorrupt);
    fixture.mDisk.Recover();
    CHECK(codeOfStart() == ResultCode::kDataCorrupt);
    std::ofstream(log, std::ios::binary) << bytes;
  }
  SECTION("the disk of another control, also while it is full") {
    const std::string own = ReadFile(identity).value();
    std::ofstream(identity, std::ios::binary) << "127.0.0.9:1#first";
    fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
    CHECK(codeOfStart() == ResultCode::kDataCorrupt);
    fixture.mDisk.Recover();
    CHECK(codeOfStart() == ResultCode::kDataCorrupt);
    std::ofstream(identity, std::ios::binary) << own;
  }
  SECTION("no right to write") {
    for (const int error : {EACCES, EPERM, EROFS}) {
      fixture.mDisk.Fail({fixture.Data(0)}, {DiskCall::kOpen}, error);
      CHECK(codeOfStart() == ResultCode::kDataUnwritable);
      fixture.mDisk.Recover();
    }
  }
  SECTION("a file where the folder should be") {
    ControlOptions options = fixture.OptionsOf(0, false);
    options.mData = identity + "/data";
    CHECK(CodeThrownBy([&] {
            const JoinedControl control(fixture.mLoop, options);
          }) == ResultCode::kDataUnwritable);
  }
  SECTION("after all that it starts as before") {
    fixture.Start(0, false);
    CHECK(fixture.Control(0).HasStarted());
  }
}
