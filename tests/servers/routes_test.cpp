#include "spindleweir/servers/routes/configuration_lease.h"
#include "spindleweir/servers/routes/route_table.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

TrafficRoute Route(const std::string& aName, const std::string& aPrefix) {
  return {.mName = aName,
          .mHost = "shop.example",
          .mPrefix = aPrefix,
          .mTimeout = 100,
          .mTargets = {{"s", 1}}};
}

TrafficConfiguration Configuration() {
  TrafficConfiguration configuration;
  configuration.mVersion = 3;
  configuration.mRoutes = {Route("all", "/"), Route("orders", "/orders/")};
  configuration.mServices = {{.mName = "s"}};
  configuration.mWorkspaces = {{"school", {"k1", "k2"}, 1}};
  return configuration;
}

ResultCode Check(const std::function<void(TrafficConfiguration&)>& aChange) {
  TrafficConfiguration configuration = Configuration();
  aChange(configuration);
  return CodeThrownBy([&] { CheckTrafficConfiguration(configuration); });
}

}  // namespace

Test(routes, a_configuration_is_checked) {
  using Traffic = TrafficConfiguration;
  constexpr ResultCode kBad = ResultCode::kBadConfiguration;
  CHECK(Check([](Traffic&) {}) == ResultCode::kOk);
  SECTION("what the routes say") {
    CHECK(Check([](Traffic& aC) {
            aC.mRoutes[0].mTargets[0].mService = "unknown";
          }) == kBad);
    CHECK(Check([](Traffic& aC) { aC.mRoutes[1].mPrefix = "/"; }) == kBad);
    CHECK(Check([](Traffic& aC) { aC.mRoutes[0].mTimeout = 0; }) == kBad);
    CHECK(Check([](Traffic& aC) { aC.mRoutes[0].mTargets[0].mWeight = 0; }) ==
          kBad);
    CHECK(Check([](Traffic& aC) { aC.mRoutes[0].mTargets.clear(); }) == kBad);
    CHECK(Check([](Traffic& aC) { aC.mRoutes[0].mPrefix = "/x"; }) == kBad);
  }
  SECTION("a key of two workspaces") {
    CHECK(Check([](Traffic& aC) {
            aC.mWorkspaces.push_back({"other", {"k2"}});
          }) == kBad);
  }
  SECTION("a version below 1") {
    CHECK(Check([](Traffic& aC) { aC.mVersion = 0; }) == kBad);
  }
}

Test(routes, the_longest_prefix_of_the_host_wins) {
  const RouteTable table(Configuration());
  CHECK(table.FindRoute("shop.example", "/orders/7")->mName == "orders");
  CHECK(table.FindRoute("SHOP.example:8080", "/orders/7?x=/y")->mName ==
        "orders");
  CHECK(table.FindRoute("shop.example", "/order")->mName == "all");
  CHECK(table.FindRoute("shop.example", "/x?/orders/")->mName == "all");
  CHECK(table.FindRoute("other.example", "/orders/7") == nullptr);
  CHECK(table.FindWorkspace("k2")->mName == "school");
  CHECK(table.FindWorkspace("") == nullptr);
}

Test(routes, a_lease_lasts_from_when_it_was_asked_for) {
  ConfigurationLease lease(4000);
  CHECK(!lease.IsValid(0));
  SECTION("the age that the leader tells is taken off") {
    lease.Confirm(5, 5, 1000, 200);
    CHECK(lease.IsValid(4799));
    CHECK(!lease.IsValid(4800));
  }
  SECTION("a newer version that is not held here confirms nothing") {
    lease.Confirm(6, 5, 3000, 0);
    CHECK(!lease.IsValid(4800));
  }
  SECTION("an answer that was overtaken does not shorten it") {
    lease.Confirm(5, 5, 2000, 0);
    lease.Confirm(5, 5, 1500, 0);
    CHECK(lease.IsValid(5999));
  }
}
