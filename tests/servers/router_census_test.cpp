/// The count of all routers. Guards against routers that count at two controls:
/// after a start each of them reports to two within moments, and after a
/// control has ended its last number was added for a minute to the routers that
/// report elsewhere by then. Three counted as six, and each had half of the
/// retries that it should have.
#include "spindleweir/servers/routing/router_census.h"
#include "spindleweir/servers/routing/load_aggregator.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kRetention = 60000;

RouterNumbers Numbers(const std::vector<std::string>& aRouters) {
  RouterNumbers numbers;
  for (const std::string& router : aRouters) {
    numbers.push_back(RouterNumber(router));
  }
  return numbers;
}

}  // namespace

Test(router_census, routers_that_leave_an_ended_control_count_once) {
  RouterCensus census(kRetention);
  census.SetLocal(Numbers({"r0"}));
  census.OnContact("c1", 1, 0);
  census.OnList("c1", Numbers({"r1"}));
  census.OnContact("c2", 1, 0);
  census.OnList("c2", Numbers({"r2"}));
  CHECK(census.Total(0) == 3);
  SECTION("control c2 ends, its router reports here") {
    census.SetLocal(Numbers({"r0", "r2"}));
    census.OnContact("c1", 1, 500);
    CHECK(census.Total(500) == 3);
  }
  SECTION("or to c1") {
    census.SetLocal(Numbers({"r0"}));
    census.OnContact("c1", 2, 1000);
    census.OnList("c1", Numbers({"r1", "r2"}));
    CHECK(census.Total(1000) == 3);
  }
  SECTION("beyond a cut the routers of c2 go on, and new ones start here") {
    census.SetLocal(Numbers({"r0", "r3", "r4"}));
    CHECK(census.Total(1500) == 5);
  }
  SECTION("a minute without contact") {
    CHECK(census.Total(1000 + kRetention) == 5);
    CHECK(census.Total(1001 + kRetention) == 3);
  }
}

Test(router_census, a_control_without_a_list_counts_by_its_number) {
  RouterCensus census(kRetention);
  census.SetLocal(Numbers({"r0"}));
  census.OnContact("old", 4, 0);
  CHECK(census.Total(0) == 5);
  SECTION("a list that does not match its number is not used") {
    census.OnList("old", Numbers({"r0"}));
    CHECK(census.Total(0) == 5);
    census.OnContact("old", 1, 100);
    CHECK(census.Total(100) == 1);
  }
  SECTION("lists are known by their content") {
    CHECK(RouterListTag({}) == 0 && census.TagOf("unknown") == 0);
    CHECK(census.TagOf("old") == RouterListTag(Numbers({"r0"})));
    CHECK(census.TagOf("old") != RouterListTag(Numbers({"r1"})));
  }
}

Test(router_census, a_router_that_moved_on_is_dropped_at_once) {
  LoadAggregator here({.mReportRetention = 2500});
  LoadShares work;
  work["u"] = {.mInstance = "u", .mRequests = 3};
  here.OnRouterReport("r0/a", 1, work, 0);
  here.OnRouterReport("r1/a", 1, work, 0);
  here.OnControlReport("c1", {}, 1, 100);
  here.OnControlRouters("c1", Numbers({"r1"}));
  SECTION("while it is in both lists it counts once") {
    CHECK(here.AllRouters(100) == 2);
  }
  SECTION("its next poll shows that it reports elsewhere") {
    here.OnRouterMoved("r1/a");
    CHECK(here.LocalRouters(100) == 1);
    CHECK(here.AllRouters(100) == 2);
    CHECK(UnpackLoads(here.PackedLocal(200).mText).at("u").mRequests == 3);
  }
  SECTION("a poll of an earlier process says nothing about the one now") {
    here.OnRouterMoved("r0/z");
    CHECK(here.LocalRouters(100) == 1);
  }
}
