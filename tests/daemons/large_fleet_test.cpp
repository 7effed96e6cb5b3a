// A service of a large fleet that all routers refused for a whole day.
//
// Callers saw each of their calls refused as "full" within a millisecond, at
// any router, from the first second to the last, while the service's upstreams
// got nothing; routes that a later configuration added to it were refused
// alike. No upstream, VM or link was at fault.
//
// Cause: a router takes the others for asked as much as itself, and counted the
// very request that asks as what it was asked before. One call in four seconds
// is then one in two, times all routers, times the age of the news: 13 to 171
// requests at an upstream that holds 12 and had none. How long they last was
// learnt from answers only, so that who refused its first call refused all.
//
// Evidence: of 894 such refusals all had told work of 0, a rate of at least one
// call in two seconds and no known time; with the rate alone mended 6 were left
// on the same day, and the upstreams got 1,106 calls in place of none.
#include "spindleweir/core/json_codec.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

std::int64_t AttemptsTold(RelayRouter& aRouter) {
  aRouter.RefreshGauges();
  return aRouter.OwnCounters().Value("attempts_told");
}

}  // namespace

Test(large_fleet, a_service_that_never_answered_is_sent_its_first_request) {
  RelayFixture fixture;
  REQUIRE(fixture.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
  fixture.SendHeartbeat(fixture.mA, UpstreamState::kReady);
  REQUIRE(fixture.RunUntil([&fixture] { return fixture.mRouter->Ready(); }));
  fixture.ReportRouters(300);
  REQUIRE(fixture.RunUntil(
      [&fixture] { return KnownRouters(*fixture.mRouter) > 290; }));
  SECTION("though hundreds of routers share it, and none knows its time") {
    CHECK(fixture.Call("/look/x").mStatus == 200);
    CHECK(fixture.Call("/pay/x").mStatus == 200);
  }
  SECTION("nor is one that comes by a route of a later configuration") {
    TrafficConfiguration traffic = Traffic(8);
    traffic.mRoutes.push_back(traffic.mRoutes.front());
    traffic.mRoutes.back().mName = "added";
    traffic.mRoutes.back().mPrefix = "/added/";
    REQUIRE(fixture.Publish(Document(traffic)).mCode == ResultCode::kOk);
    int status = 404;
    for (int i = 0; status == 404; i++) {
      REQUIRE(i < 200);
      status = fixture.Call("/added/x").mStatus;
      fixture.Wait(10);
    }
    CHECK(status == 200);
  }
  SECTION("what ended is not told as work that goes on") {
    CHECK(AttemptsTold(*fixture.mRouter) == 0);
  }
}

// Each router held the greatest number of routers that any control had ever
// told it. After a start routers tell two controls within moments and count
// twice: 342 for 195, until the processes ended. Evidence: the routers' figure
// at all 195 routers from the first reading to the last.
Test(large_fleet, routers_that_ended_are_not_counted_for_ever) {
  RelayFixture fixture(kShortWarmUp, {.mWindow = 500});
  fixture.Begin();
  std::unique_ptr<RelayRouter> second = fixture.MakeRouter("second");
  REQUIRE(fixture.RunUntil(
      [&fixture] { return KnownRouters(*fixture.mRouter) == 2; }));
  second.reset();
  CHECK(fixture.RunUntil(
      [&fixture] { return KnownRouters(*fixture.mRouter) == 1; }));
}
