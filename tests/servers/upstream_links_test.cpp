#include "spindleweir/servers/routing/upstream_links.h"

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr UpstreamLinksOptions kOptions{
    .mRetention = 3000, .mLinksToCutOff = 3, .mTrialInterval = 250};

}  // namespace

Test(upstream_links, are_lost_where_another_router_connects) {
  UpstreamLinks links(kOptions);
  links.OnFailed("a", 100);
  SECTION("a failure alone proves nothing") {
    CHECK(!links.IsLost("a", 100));
  }
  links.OnForwarded("a", 200);
  SECTION("that of one upstream says nothing of another") {
    CHECK(links.IsLost("a", 200));
    CHECK(!links.IsLost("b", 200));
    CHECK(!links.IsCutOff(200));
  }
  SECTION("the proof expires") {
    CHECK(links.IsLost("a", 3199));
    CHECK(!links.IsLost("a", 3200));
  }
  SECTION("a connection ends it at once") {
    links.OnConnected("a", 300);
    CHECK(!links.IsLost("a", 300));
  }
}

Test(upstream_links, are_all_lost_if_three_fail_and_none_connects) {
  UpstreamLinks links(kOptions);
  links.OnFailed("a", 100);
  links.OnFailed("a", 110);
  links.OnForwarded("b", 120);
  SECTION("two upstreams are not enough, however often they fail") {
    CHECK(!links.IsCutOff(120));
  }
  SECTION("a connection in between shows that the router has links") {
    UpstreamLinks linked = links;
    linked.OnConnected("x", 125);
    linked.OnFailed("c", 130);
    CHECK(!linked.IsCutOff(130));
    CHECK(linked.IsLost("b", 130));
  }
  SECTION("a third one is, for upstreams not tried as well") {
    UpstreamLinks cut = links;
    cut.OnFailed("c", 130);
    CHECK(cut.IsCutOff(130));
    CHECK(cut.IsLost("d", 130));
    SECTION("until a connection to any upstream") {
      cut.OnConnected("d", 140);
      CHECK(!cut.IsCutOff(140));
      CHECK(!cut.IsLost("b", 140));
    }
  }
  SECTION("failures long ago do not count") {
    links.OnFailed("c", 3110);
    CHECK(!links.IsCutOff(3110));
  }
}

Test(upstream_links, are_tried_now_and_then) {
  UpstreamLinks links(kOptions);
  CHECK(links.StartTrial(0));
  CHECK(!links.StartTrial(249));
  CHECK(links.StartTrial(250));
}
