#include "spindleweir/servers/membership/forwarder_list.h"

#include <map>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

ForwarderInfo Router(int aNumber, const char* aZone) {
  return {.mAddress = "10.0.0." + std::to_string(aNumber) + ":1",
          .mZone = aZone};
}

}  // namespace

Test(forwarder_offer, holds_routers_of_the_zone_and_of_others) {
  ForwarderOffer offer({.mLocal = 2, .mRemote = 3, .mPollWindow = 1000});
  for (int i = 0; i < 20; i++) {
    offer.OnPolled("r" + std::to_string(i), Router(i, i < 10 ? "y" : "z"), 0);
  }
  const std::vector<ForwarderInfo> found = offer.For("r0", "y", 0);
  SECTION("never the router itself") {
    REQUIRE(found.size() == 5);
    for (const ForwarderInfo& info : found) {
      CHECK(info.mAddress != Router(0, "y").mAddress);
    }
    CHECK(found[0].mZone == "y" && found[1].mZone == "y");
    CHECK(found[2].mZone == "z");
  }
  SECTION("each router is offered to about as many as any other") {
    std::map<std::string, int> offered;
    for (int i = 0; i < 1000; i++) {
      for (const ForwarderInfo& info :
           offer.For("asks" + std::to_string(i), "x", 0)) {
        offered[info.mAddress]++;
      }
    }
    // 3,000 offers of 20 routers: 150 each.
    for (const auto& [address, n] : offered) {
      CHECK(n > 75 && n < 300);
    }
    CHECK(offered.size() == 20);
  }
  SECTION("who forwards nothing any more, or polls no more, is left out") {
    for (int i = 0; i < 10; i++) {
      offer.OnPolled("r" + std::to_string(i), {}, 500);
    }
    CHECK(offer.For("r0", "y", 500).front().mZone == "z");
    CHECK(offer.For("r0", "y", 1001).empty());
  }
}

Test(forwarder_list, puts_those_that_failed_last) {
  ForwarderList list;
  list.Set({Router(1, "y"), Router(2, "z"), Router(3, "z")}, 0);
  double next = 0;
  const auto random = [&next] { return next += 0.1; };
  CHECK(list.Order("y", random, 0).front() == Router(1, "y").mAddress);
  list.OnFailed(Router(1, "y").mAddress, 100);
  SECTION("for a while") {
    CHECK(list.Order("y", random, 100).back() == Router(1, "y").mAddress);
    CHECK(list.Order("y", random, 3000).front() == Router(1, "y").mAddress);
  }
}

Test(forwarder_list, is_renewed_sooner_when_it_is_needed) {
  ForwarderList list;
  CHECK(list.IsDue(false, 0));
  list.Set({}, 0);
  CHECK(!list.IsDue(false, 100) && list.IsDue(false, 600));
  list.Set({Router(1, "y")}, 1000);
  CHECK(!list.IsDue(false, 2000) && list.IsDue(true, 2000));
  CHECK(list.IsDue(false, 12000));
}
