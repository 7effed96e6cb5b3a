/// Routers that lose their links to all upstreams, while callers, control and
/// the other routers still reach them, must serve their callers nevertheless.
/// They refused nearly all requests: each had one way, a connection of the
/// router's own.
#include "tests/daemons/link_cut.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kCalls = 6;
/// What callers of the shortest calls wait for.
constexpr Millis kDeadline = 1500;
/// Time for the routers to hear of each other.
constexpr Millis kAcquaintance = 1500;

/// Two routers, one of which can be cut off from the upstreams.
struct CutOffVm {
  CutOffVm() : mFixture(kLongWarmUp) {
    mRouter = mFixture.MakeRouter("cut", mCut.Hook());
  }

  /// Serves calls by both upstreams, then cuts the router off.
  void CutOff(CutMode aMode) {
    mFixture.Begin();
    REQUIRE(mFixture.RunUntil([this] { return mRouter->Ready(); }));
    mFixture.Wait(kAcquaintance);
    CHECK(CallAtCutRouter("/look/x").mStatus == 200);
    mCut.Cut(aMode, {mFixture.mA.Address(), mFixture.mB.Address()});
  }

  Answer CallAtCutRouter(const std::string& aTarget) {
    return mFixture.CallAt(*mRouter, aTarget, "key", kDeadline);
  }

  /// The number of kCalls calls that are answered 200, each run once.
  int ServedOnce(const std::string& aTarget) {
    int served = 0;
    for (int i = 0; i < kCalls; i++) {
      const Answer answer = CallAtCutRouter(aTarget);
      served += answer.mStatus == 200 && mFixture.RunsOfLast() == 1 ? 1 : 0;
    }
    return served;
  }

  RelayFixture mFixture;
  LinkCut mCut;
  std::unique_ptr<RelayRouter> mRouter;
};

void CheckPlainCalls(CutMode aMode) {
  CutOffVm vm;
  vm.CutOff(aMode);
  SECTION("calls that may not be repeated run once and are answered") {
    CHECK(vm.ServedOnce("/pay/x") == kCalls);
  }
  SECTION("calls that may be repeated are answered") {
    CHECK(vm.ServedOnce("/look/x") == kCalls);
  }
  SECTION("streams are answered") {
    CHECK(vm.ServedOnce("/stream/x") == kCalls);
  }
}

void CheckEngineStreams(CutMode aMode) {
  CutOffVm vm;
  RelayFixture& fixture = vm.mFixture;
  fixture.PublishModel();
  fixture.SendEngineHeartbeat(fixture.mA);
  fixture.SendEngineHeartbeat(fixture.mB);
  fixture.AwaitCall(fixture.mA);
  REQUIRE(fixture.RunUntil([&vm] { return vm.mRouter->Ready(); }));
  fixture.Wait(kAcquaintance);
  REQUIRE(vm.CallAtCutRouter("/stream/x").mStatus == 200);
  vm.mCut.Cut(aMode, {fixture.mA.Address(), fixture.mB.Address()});
  SECTION("streams of engines are answered") {
    CHECK(vm.ServedOnce("/stream/x") == kCalls);
  }
}

}  // namespace

// Refused after three connections of 0.5 s each that nobody answered.
Test(cut_off_vm, serves_its_callers_while_its_connections_hang) {
  CheckPlainCalls(CutMode::kHang);
}

// Refused within milliseconds, after three connections that were refused.
Test(cut_off_vm, serves_its_callers_while_its_connections_are_reset) {
  CheckPlainCalls(CutMode::kReset);
}

Test(cut_off_vm, serves_its_callers_while_only_new_connections_fail) {
  CheckPlainCalls(CutMode::kRefuseNew);
}

Test(cut_off_vm, serves_streams_of_engines_while_its_connections_hang) {
  CheckEngineStreams(CutMode::kHang);
}

Test(cut_off_vm, serves_streams_of_engines_while_its_connections_are_reset) {
  CheckEngineStreams(CutMode::kReset);
}
