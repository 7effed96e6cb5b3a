/// Limits that upstreams advertised are on disk: routers keep to them after a
/// stop of all processes.
#include <utility>

#include "daemons/control/limit_store.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr double kPerSecond = 2;
const RecentLimits::Thousandths kLimits = {{"a", 2000}, {"b", 0}};

std::int64_t LimitsKnownTo(RelayRouter& aRouter) {
  aRouter.RefreshGauges();
  return aRouter.OwnCounters().Value("limits_known");
}

/// A disk that fails as long as it is told to.
struct FailingFile {
  ReplaceHook Hook() {
    return [this](const std::string& aPath, const std::string& aBytes,
                  const ReplacedHook& aDone) {
      mWrites++;
      if (mFails) {
        aDone(Error(ResultCode::kStorageFailed, "full"));
        return;
      }
      ReplaceAndWait(aPath, aBytes, aDone);
    };
  }

  bool mFails = false;
  int mWrites = 0;
};

}  // namespace

/// Guards against limits that no process remembers: after a kill of all, each
/// router sent as much as it liked until the upstream had answered it.
Test(stored_limit, a_limit_outlasts_a_kill_of_all_processes) {
  RelayFixture fixture(kLongWarmUp);
  fixture.Begin();
  fixture.mA.AdvertiseLimit(kPerSecond);
  for (int i = 0; LimitsKnownTo(*fixture.mRouter) == 0; i++) {
    REQUIRE(i < 200);
    CHECK(fixture.Call("/look/x").mStatus == 200);
  }
  REQUIRE(fixture.RunUntil([&fixture] {
    return ReadFile(fixture.mFolder.Path("data/limits")).has_value();
  }));
  fixture.mRouter.reset();
  fixture.mControl.reset();
  fixture.StartControl();
  fixture.StartRouter();
  const int runs = fixture.mA.TotalRuns();
  SECTION("the router knows it before it has asked the upstream") {
    CHECK(fixture.RunUntil(
        [&fixture] { return LimitsKnownTo(*fixture.mRouter) == 1; }));
    CHECK(fixture.mA.TotalRuns() == runs);
  }
  SECTION("an answer without a limit ends it") {
    fixture.mA.AdvertiseLimit(std::nullopt);
    for (int i = 0; LimitsKnownTo(*fixture.mRouter) == 1; i++) {
      REQUIRE(i < 1000);
      CHECK(fixture.Call("/look/x").mStatus == 200);
      fixture.Wait(10);
    }
    CHECK(LimitsKnownTo(*fixture.mRouter) == 0);
  }
}

Test(stored_limit, the_file_has_the_limits_in_force) {
  TemporaryFolder folder;
  const std::string path = folder.Path("limits");
  FailingFile file;
  LimitStore store(path, file.Hook());
  store.Save(kLimits, 0);
  CHECK(LimitStore(path).Load() == kLimits);
  SECTION("it is written only if they change") {
    store.Save(kLimits, 10000);
    CHECK(file.mWrites == 1);
    store.Save({}, 20000);
    CHECK(file.mWrites == 2);
    CHECK(LimitStore(path).Load().empty());
  }
  SECTION("a write that failed is repeated") {
    file.mFails = true;
    store.Save(kLimits, 30000);
    file.mFails = false;
    store.Save(kLimits, 30500);
    CHECK(LimitStore(path).Load().empty());
    store.Save(kLimits, 32000);
    CHECK(LimitStore(path).Load() == kLimits);
  }
  SECTION("a torn file has none") {
    const std::string whole = ReadFile(path).value_or("");
    ReplaceFile(path, whole.substr(0, whole.size() / 2));
    CHECK(LimitStore(path).Load().empty());
  }
}
