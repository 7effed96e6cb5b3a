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

ResultCode CodeOfCheck(
    const std::function<void(TrafficConfiguration&)>& aModify) {
  TrafficConfiguration configuration = Configuration();
  aModify(configuration);
  return CodeThrownBy([&] { CheckTrafficConfiguration(configuration); });
}

}  // namespace

Test(routes, a_configuration_is_checked) {
  using Traffic = TrafficConfiguration;
  constexpr ResultCode kRejected = ResultCode::kBadConfiguration;
  CHECK(CodeOfCheck([](Traffic&) {}) == ResultCode::kOk);
  SECTION("invalid routes") {
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mTargets[0].mService = "unknown";
          }) == kRejected);
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[1].mPrefix = "/";
          }) == kRejected);
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mTimeout = 0;
          }) == kRejected);
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mTargets[0].mWeight = 0;
          }) == kRejected);
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mTargets.clear();
          }) == kRejected);
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mPrefix = "/x";
          }) == kRejected);
  }
  SECTION("a key that two workspaces share") {
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mWorkspaces.push_back({"other", {"k2"}});
          }) == kRejected);
  }
  SECTION("a version below 1") {
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mVersion = 0;
          }) == kRejected);
  }
}

/// Guards against routes of which one hides the other: both match the same
/// requests, though their hosts are written differently.
Test(routes, two_ways_to_write_a_host_are_one_host) {
  using Traffic = TrafficConfiguration;
  constexpr ResultCode kRejected = ResultCode::kBadConfiguration;
  for (const char* host : {"SHOP.example", "shop.example:80"}) {
    CHECK(CodeOfCheck([host](Traffic& aConfiguration) {
            aConfiguration.mRoutes[1].mHost = host;
            aConfiguration.mRoutes[1].mPrefix = "/";
          }) == kRejected);
    CHECK(CodeOfCheck([host](Traffic& aConfiguration) {
            aConfiguration.mRoutes[1].mHost = host;
          }) == ResultCode::kOk);
  }
  SECTION("host and prefix are not run together") {
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mHost = "h";
            aConfiguration.mRoutes[0].mPrefix = "/x/";
            aConfiguration.mRoutes[1].mHost = "h/x";
            aConfiguration.mRoutes[1].mPrefix = "/";
          }) == ResultCode::kOk);
  }
  SECTION("IPv6 addresses differ though they have colons") {
    CHECK(CodeOfCheck([](Traffic& aConfiguration) {
            aConfiguration.mRoutes[0].mHost = "[::1]";
            aConfiguration.mRoutes[1].mHost = "[::2]";
            aConfiguration.mRoutes[1].mPrefix = "/";
          }) == ResultCode::kOk);
    CHECK(NormalizedHost("[::1]:80") == "[::1]");
  }
}

/// Guards against a key with two owners: the later one took it.
Test(routes, two_workspaces_of_one_name_may_not_share_a_key) {
  CHECK(CodeOfCheck([](TrafficConfiguration& aConfiguration) {
          aConfiguration.mWorkspaces.push_back({"school", {"k2"}, 2});
        }) == ResultCode::kBadConfiguration);
  SECTION("one that lists a key twice has it") {
    CHECK(CodeOfCheck([](TrafficConfiguration& aConfiguration) {
            aConfiguration.mWorkspaces[0].mKeys = {"k1", "k1"};
          }) == ResultCode::kOk);
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

/// Guards against a public route as the way to another one: an upstream that
/// resolves dot segments answered what needs a key.
Test(routes, a_path_does_not_lead_out_of_its_route) {
  TrafficConfiguration configuration = Configuration();
  configuration.mRoutes = {Route("open", "/open/"),
                           Route("orders", "/orders/")};
  const RouteTable table(configuration);
  const auto route = [&table](const char* aTarget) {
    const TrafficRoute* found = table.FindRoute("shop.example", aTarget);
    return found == nullptr ? std::string() : found->mName;
  };
  for (const char* target :
       {"/open/../orders/7", "/open/%2e%2E/orders/7", "/open/.%2e/orders/7",
        "/open/x/../../orders/7", "/open/..", "/open/../open/../orders/",
        "/open/../../../etc"}) {
    CHECK(route(target).empty());
  }
  SECTION("within its route it may") {
    for (const char* target : {"/open/x/../y", "/open/./x", "/open/../open/x",
                               "/open/x/%2e%2e", "/open/?/../orders/"}) {
      CHECK(route(target) == "open");
    }
  }
  SECTION("segments with other characters are none") {
    for (const char* target :
         {"/open/...", "/open/..x", "/open/.x/y", "/open/%2ex", "/open/%2"}) {
      CHECK(route(target) == "open");
    }
  }
}

// A request without a key ran in a workspace that holds an empty one.
Test(routes, an_empty_key_admits_no_request) {
  TrafficConfiguration configuration = Configuration();
  configuration.mWorkspaces[0].mKeys = {"", "k1"};
  const RouteTable table(configuration);
  CHECK(table.FindWorkspace("") == nullptr);
  CHECK(table.FindWorkspace("k1")->mName == "school");
  SECTION("though it is the only one") {
    configuration.mWorkspaces[0].mKeys = {""};
    const RouteTable single(configuration);
    CHECK(single.FindWorkspace("") == nullptr);
    CHECK(single.NeedsKeys());
  }
}

Test(routes, a_lease_runs_from_the_time_of_the_poll) {
  ConfigurationLease lease(4000);
  CHECK(!lease.IsValid(0));
  SECTION("the age of the leader's confirmation is subtracted") {
    lease.Confirm(5, 5, 1000, 200);
    CHECK(lease.IsValid(4799));
    CHECK(!lease.IsValid(4800));
  }
  SECTION("a newer version than the router's does not renew it") {
    lease.Confirm(6, 5, 3000, 0);
    CHECK(!lease.IsValid(4800));
  }
  SECTION("an answer that arrives out of order does not shorten it") {
    lease.Confirm(5, 5, 2000, 0);
    lease.Confirm(5, 5, 1500, 0);
    CHECK(lease.IsValid(5999));
  }
}
