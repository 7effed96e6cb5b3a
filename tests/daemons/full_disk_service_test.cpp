/// Controls and routers of the product's own interface whose disk fails: at a
/// start, while they run, while an empty keeper joins.
#include <cerrno>
#include <filesystem>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/deployment.h"
#include "tests/failing_disk.h"

using namespace spindleweir;

namespace {

constexpr const char* kOperatorKey = "operator-key";

/// A deployment whose controls' disks can be made to fail.
struct Fixture {
  std::string Data(int aIndex) const {
    return mDeployment.mFolder.Path("control-" + std::to_string(aIndex));
  }

  HttpResult Ask(int aIndex, const std::string& aPath) {
    const auto index = static_cast<std::size_t>(aIndex);
    return mDeployment.Fetch(mDeployment.mControls[index]->OperatorAddress(),
                             "GET", aPath, "", kOperatorKey);
  }

  bool AwaitStarted(int aIndex) {
    const auto index = static_cast<std::size_t>(aIndex);
    return mDeployment.RunUntil(
        [&] { return mDeployment.mControls[index]->HasStarted(); });
  }

  bool AwaitReady(int aIndex) {
    return mDeployment.RunUntil(
        [&] { return Ask(aIndex, "/readyz").mStatus == 200; });
  }

  void Restart(int aIndex) {
    mDeployment.mControls[static_cast<std::size_t>(aIndex)].reset();
    mDeployment.StartControl(aIndex);
    mDeployment.WriteEntryVms();
  }

  /// A call that runs at most once.
  std::shared_ptr<CallerResult> Pay(const std::string& aKey) {
    auto answer = mDeployment.Send(
        0, "POST", "/v1/services/kaunter-api/pay", "{}",
        {{"Authorization", "Bearer traveller-key"}, {"Idempotency-Key", aKey}});
    REQUIRE(mDeployment.RunUntil([&] { return answer->mDone; }));
    return answer;
  }

  FailingDisk mDisk;
  Deployment mDeployment;
};

}  // namespace

Test(full_disk_service, a_starting_control_waits_and_operators_see_it) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
  fixture.Restart(0);
  SECTION("it is alive, not ready, and says why") {
    CHECK(fixture.Ask(0, "/healthz").mStatus == 200);
    CHECK(fixture.Ask(0, "/readyz").mStatus == 503);
    const HttpResult state = fixture.Ask(0, "/v1/state");
    CHECK(state.mStatus == 503);
    CHECK(state.mBody.find("4008") != std::string::npos);
    CHECK(
        fixture.Ask(0, "/metrics").mBody.find("spindleweir_storage_failed 1") !=
        std::string::npos);
  }
  SECTION("the others go on") {
    CHECK(fixture.Pay("order-1")->mHttp.mStatus == 200);
  }
  SECTION("once the disk is back, so is the control") {
    fixture.mDisk.Recover();
    REQUIRE(fixture.AwaitReady(0));
    CHECK(
        fixture.Ask(0, "/metrics").mBody.find("spindleweir_storage_failed 0") !=
        std::string::npos);
  }
  SECTION("it keeps claims again: with another one down, calls run") {
    fixture.mDeployment.mControls[2].reset();
    CHECK(fixture.mDeployment.RunUntil(
        [&] { return fixture.Pay("order-2")->mHttp.mStatus == 200; }));
  }
}

Test(full_disk_service, each_write_of_a_start_may_be_the_first_that_fails) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  CHECK(fixture.Pay("order-1")->mHttp.mStatus == 200);
  for (const bool first : {false, true}) {
    const Section scope(first ? "a first start" : "a restart");
    for (const DiskCall call : {DiskCall::kOpen, DiskCall::kWrite,
                                DiskCall::kSync, DiskCall::kRename}) {
      bool waited = true;
      for (int after = 0; waited; after++) {
        fixture.mDeployment.mControls[0].reset();
        if (first) {
          std::filesystem::remove_all(fixture.Data(0));
        }
        fixture.mDisk.Fail({fixture.Data(0)}, {call}, ENOSPC, after);
        fixture.mDeployment.StartControl(0, first);
        waited = !fixture.mDeployment.mControls[0]->HasStarted();
        fixture.mDisk.Recover();
        REQUIRE(fixture.AwaitStarted(0));
        REQUIRE(after < 20);
      }
    }
  }
}

/// Guards against a keeper whose log, once a sync failed, was unusable until a
/// restart.
Test(full_disk_service, claims_and_receipts_of_a_running_control_come_back) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  fixture.mDeployment.mControls[2].reset();
  CHECK(fixture.Pay("order-1")->mHttp.mStatus == 200);
  fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
  SECTION("a call that may run once is refused without its majority") {
    CHECK(fixture.Pay("order-2")->ErrorCode() ==
          static_cast<int>(ResultCode::kNoClaimQuorum));
    CHECK(fixture.Ask(0, "/readyz").mStatus == 503);
  }
  SECTION("once the disk is back, calls run, without a restart") {
    fixture.mDisk.Recover();
    REQUIRE(fixture.AwaitReady(0));
    CHECK(fixture.mDeployment.RunUntil(
        [&] { return fixture.Pay("order-3")->mHttp.mStatus == 200; }));
  }
  SECTION("and an answered call is not run again") {
    const int runs = fixture.mDeployment.ServiceRuns();
    CHECK(fixture.Pay("order-1")->mHttp.mStatus == 200);
    CHECK(fixture.mDeployment.ServiceRuns() == runs);
  }
}

/// Guards against an empty keeper that ended when the disk did not accept the
/// marker of its claims.
Test(full_disk_service, an_empty_keeper_waits_with_its_marker_for_the_disk) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  CHECK(fixture.Pay("order-1")->mHttp.mStatus == 200);
  fixture.mDeployment.mControls[0].reset();
  std::filesystem::remove_all(fixture.Data(0));
  fixture.Restart(0);
  REQUIRE(fixture.AwaitStarted(0));
  fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
  const auto abstains = [&] {
    return fixture.Ask(0, "/v1/state").mBody.find("\"claims_abstain\":true") !=
           std::string::npos;
  };
  fixture.mDeployment.RunFor(2000);
  CHECK(abstains());
  fixture.mDisk.Recover();
  CHECK(fixture.mDeployment.RunUntil([&] { return !abstains(); }));
  CHECK(fixture.AwaitReady(0));
}

/// Guards against processes that ended when the disk did not accept the file
/// that names their ports.
Test(full_disk_service, a_port_file_holds_up_nothing) {
  Fixture fixture;
  const std::string folder = fixture.mDeployment.mFolder.Path("ports");
  std::filesystem::create_directory(folder);
  RouterOptions options;
  options.mId = "router-9";
  options.mZone = "zone-0";
  options.mListen = {"127.0.0.1", 0};
  options.mRpcListen = {"127.0.0.1", 0};
  options.mEntryVms = fixture.mDeployment.mFolder.Path("entry_vms.json");
  options.mPlatform = fixture.mDeployment.mPlatform->Address();
  options.mPortFile = folder + "/router-9.port";
  SECTION("a router serves while it cannot be written, and writes it later") {
    fixture.mDisk.Fail({folder}, CallsOfFullDisk(), ENOSPC);
    const RouterDaemon router(fixture.mDeployment.mLoop, options);
    CHECK(fixture.mDeployment.Fetch(router.CallerAddress(), "GET", "/healthz")
              .mStatus == 200);
    CHECK(!ReadFile(options.mPortFile).has_value());
    fixture.mDisk.Recover();
    CHECK(fixture.mDeployment.RunUntil([&] {
      return ReadFile(options.mPortFile)
                 .value_or("")
                 .find(router.CallerAddress().Text()) != std::string::npos;
    }));
  }
  SECTION("a folder that does not exist is an error at once") {
    options.mPortFile = folder + "/none/router-9.port";
    CHECK(CodeThrownBy([&] {
            const RouterDaemon router(fixture.mDeployment.mLoop, options);
          }) == ResultCode::kDataUnwritable);
  }
}
