#include "spindleweir/servers/routes/traffic_change.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/routes/route_table.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kMaxBytes = 1024 * 1024;

TrafficRoute Route(const std::string& aPrefix, Millis aTimeout) {
  return {.mName = "r" + aPrefix,
          .mHost = "shop.example",
          .mPrefix = aPrefix,
          .mTimeout = aTimeout,
          .mTargets = {{"s", 1}}};
}

TrafficConfiguration Version(std::int64_t aVersion,
                             std::vector<TrafficRoute> aRoutes) {
  TrafficConfiguration configuration;
  configuration.mVersion = aVersion;
  configuration.mRoutes = std::move(aRoutes);
  configuration.mServices = {{.mName = "s"}};
  configuration.mWorkspaces = {{"school", {"k1"}, 1}};
  return configuration;
}

std::string ToText(const TrafficConfiguration& aConfiguration) {
  return DumpJson(ToJson(aConfiguration));
}

}  // namespace

Test(packing, unpacking_restores_the_text) {
  SECTION("a long text is compressed") {
    const std::string text(100000, 'a');
    CHECK(Pack(text).size() < 1000);
    CHECK(Unpack(Pack(text), kMaxBytes) == text);
  }
  SECTION("short texts, binary bytes and texts that look packed") {
    for (const std::string& text :
         {std::string(), std::string("{}"), std::string("z1:abc"),
          std::string("\0\xff\n", 3), std::string("ab"),
          std::string(97, 'b')}) {
      CHECK(Unpack(Pack(text), kMaxBytes) == text);
    }
  }
  SECTION("an unpacked document of an earlier build is read unchanged") {
    CHECK(Unpack("{\"version\":1}", kMaxBytes) == "{\"version\":1}");
  }
  SECTION("damaged or too long texts are rejected") {
    const std::string packed = Pack(std::string(5000, 'a'));
    const auto code = [](const std::string& aText, std::size_t aMaxBytes) {
      return CodeThrownBy([&] { Unpack(aText, aMaxBytes); });
    };
    CHECK(code(packed, 4999) == ResultCode::kDataCorrupt);
    CHECK(code(packed.substr(0, packed.size() - 4), kMaxBytes) ==
          ResultCode::kDataCorrupt);
    CHECK(code("z1:", kMaxBytes) == ResultCode::kDataCorrupt);
    CHECK(code("z1:????", kMaxBytes) == ResultCode::kDataCorrupt);
  }
}

Test(traffic, updates_bring_a_router_to_the_newest_version) {
  TrafficHistory history;
  const TrafficConfiguration first =
      Version(1, {Route("/a/", 10), Route("/b/", 10)});
  history.Add(first);
  SECTION("a router without a configuration receives the full one") {
    const auto updates = history.UpdatesSince(0);
    REQUIRE(updates.size() == 1);
    CHECK(ToText(ApplyTrafficUpdate(nullptr, updates[0])) == ToText(first));
  }
  TrafficConfiguration third = Version(3, {Route("/b/", 20), Route("/c/", 5)});
  third.mWorkspaces.clear();
  history.Add(third);
  history.Add(Version(7, {Route("/b/", 20), Route("/c/", 6)}));
  SECTION("a router with the first version receives both changes in order") {
    const auto updates = history.UpdatesSince(1);
    REQUIRE(updates.size() == 2);
    TrafficConfiguration current = ApplyTrafficUpdate(&first, updates[0]);
    CHECK(ToText(current) == ToText(third));
    current = ApplyTrafficUpdate(&current, updates[1]);
    CHECK(ToText(current) == ToText(history.Current()));
  }
  SECTION("a change from another version is rejected") {
    const auto updates = history.UpdatesSince(3);
    REQUIRE(updates.size() == 1);
    CHECK(CodeThrownBy([&] { ApplyTrafficUpdate(&first, updates[0]); }) ==
          ResultCode::kBadConfiguration);
  }
  SECTION("for a version that control never had, the full one is sent") {
    const auto updates = history.UpdatesSince(2);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].mBaseVersion == 0);
  }
  SECTION("the newest version needs no update, and an older one is ignored") {
    history.Add(first);
    CHECK(history.Current().mVersion == 7);
    CHECK(history.UpdatesSince(7).empty());
    CHECK(history.UpdatesSince(9).empty());
  }
}

namespace {

/// What a router holds that has the first version, or none, and is brought to
/// the newest one.
TrafficConfiguration Updated(TrafficHistory& aHistory,
                             const TrafficConfiguration* aHeld) {
  const auto updates =
      aHistory.UpdatesSince(aHeld == nullptr ? 0 : aHeld->mVersion);
  REQUIRE(!updates.empty());
  TrafficConfiguration current;
  for (const TrafficUpdate& update : updates) {
    // Each update travels as JSON.
    const auto received = FromJson<TrafficUpdate>(ToJson(update));
    current = ApplyTrafficUpdate(aHeld, received);
    aHeld = &current;
  }
  return current;
}

}  // namespace

// A version whose list of workspaces is empty opened routers to every key.
Test(traffic, an_empty_list_of_workspaces_needs_keys_at_routers) {
  TrafficHistory history;
  const TrafficConfiguration first = Version(1, {Route("/a/", 10)});
  history.Add(first);
  TrafficConfiguration next = Version(2, {Route("/a/", 10)});
  next.mWorkspaces.clear();
  next.mStatesWorkspaces = true;
  history.Add(next);
  const auto needsKeys = [&history](const TrafficConfiguration* aHeld) {
    const RouteTable table(Updated(history, aHeld));
    CHECK(table.Version() == history.Current().mVersion);
    CHECK(table.FindWorkspace("k1") == nullptr);
    return table.NeedsKeys();
  };
  SECTION("by a change and by the full configuration") {
    CHECK(needsKeys(&first));
    CHECK(needsKeys(nullptr));
  }
  SECTION("a later version that changes a route keeps it") {
    next.mVersion = 3;
    next.mRoutes[0].mTimeout = 20;
    history.Add(next);
    CHECK(needsKeys(&first));
    CHECK(needsKeys(nullptr));
  }
  const TrafficConfiguration third = history.Current();
  SECTION("one without a list needs none") {
    next.mVersion = 4;
    next.mStatesWorkspaces = false;
    history.Add(next);
    CHECK(!needsKeys(&third));
    CHECK(!needsKeys(&first));
    CHECK(!needsKeys(nullptr));
  }
  const TrafficConfiguration fourth = history.Current();
  SECTION("and an empty list needs them again") {
    next.mVersion = 5;
    next.mStatesWorkspaces = true;
    history.Add(next);
    CHECK(needsKeys(&fourth));
    CHECK(needsKeys(&third));
    CHECK(needsKeys(nullptr));
  }
}

// Routers and controls of an earlier build send lists, but not whether they
// were stated: those with workspaces were, and a router must not open.
Test(traffic, a_list_with_workspaces_needs_keys_from_any_build) {
  TrafficConfiguration sent = Version(1, {Route("/a/", 10)});
  CHECK(!sent.mStatesWorkspaces);
  CHECK(RouteTable(sent).NeedsKeys());
  SECTION("a change that leaves the workspaces alone keeps an empty list") {
    sent.mWorkspaces.clear();
    sent.mStatesWorkspaces = true;
    const auto change = FromJson<TrafficChange>(
        ParseJson(R"({"base":1,"version":2,"services":[],"workspaces":[]})"));
    CHECK(RouteTable(ApplyTrafficChange(sent, change)).NeedsKeys());
  }
}

// Routers kept the services of the version before one without any.
Test(traffic, a_version_without_services_removes_them_at_routers) {
  TrafficHistory history;
  const TrafficConfiguration first = Version(1, {Route("/a/", 10)});
  history.Add(first);
  TrafficConfiguration none = Version(2, {});
  none.mServices.clear();
  CheckTrafficConfiguration(none);
  history.Add(none);
  CHECK(Updated(history, &first).mServices.empty());
  CHECK(Updated(history, nullptr).mServices.empty());
  SECTION("and a later one brings them back") {
    history.Add(Version(3, {Route("/a/", 10)}));
    CHECK(Updated(history, &first).mServices.size() == 1);
  }
}

Test(traffic, an_update_for_one_route_of_many_is_small) {
  // Guards against sending the full configuration for each new version: with
  // 1,400 routes on a grown copy of the users' platform, control had no time
  // for anything else.
  std::vector<TrafficRoute> routes;
  for (int i = 0; i < 1400; i++) {
    routes.push_back(Route("/" + std::to_string(i) + "/", 10));
  }
  TrafficHistory history;
  history.Add(Version(1, routes));
  routes[700].mTimeout = 11;
  history.Add(Version(2, routes));
  const auto change = history.UpdatesSince(1);
  const auto full = history.UpdatesSince(0);
  REQUIRE(change.size() == 1 && full.size() == 1);
  const auto size = [](const TrafficUpdate& aUpdate) {
    std::size_t n = aUpdate.mPacked.size();
    for (const std::string& chunk : aUpdate.mRouteChunks) {
      n += chunk.size();
    }
    return n;
  };
  CHECK(size(change[0]) < 1000);
  CHECK(size(full[0]) < ToText(history.Current()).size() / 8);
  SECTION("many routes are sent in chunks, so that parsing one is cheap") {
    CHECK(full[0].mRouteChunks.size() == 14);
    for (const std::string& chunk : full[0].mRouteChunks) {
      CHECK(Unpack(chunk, kMaxBytes).size() < 30000);
    }
    CHECK(ToText(ApplyTrafficUpdate(nullptr, full[0])) ==
          ToText(history.Current()));
  }
  SECTION("the routes of a change are sent in chunks as well") {
    const TrafficConfiguration current = history.Current();
    for (TrafficRoute& route : routes) {
      route.mTimeout += 5;
    }
    history.Add(Version(3, routes));
    const auto large = history.UpdatesSince(2);
    REQUIRE(large.size() == 1);
    CHECK(large[0].mRouteChunks.size() == 14);
    // The order of the routes differs, which has no meaning.
    const TrafficConfiguration read = ApplyTrafficUpdate(&current, large[0]);
    const TrafficChange left = ChangeBetween(read, history.Current());
    CHECK(read.mRoutes.size() == 1400);
    CHECK(left.mRoutes.empty() && left.mRemoved.empty());
  }
}
