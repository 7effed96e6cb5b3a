#include "spindleweir/servers/routes/traffic_change.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kMost = 1024 * 1024;

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

std::string Text(const TrafficConfiguration& aConfiguration) {
  return DumpJson(ToJson(aConfiguration));
}

}  // namespace

Test(packing, texts_come_back_as_they_were) {
  SECTION("a long one becomes shorter") {
    const std::string text(100000, 'a');
    CHECK(Pack(text).size() < 1000);
    CHECK(Unpack(Pack(text), kMost) == text);
  }
  SECTION("short ones, odd bytes and what looks packed") {
    for (const std::string& text :
         {std::string(), std::string("{}"), std::string("z1:abc"),
          std::string("\0\xff\n", 3), std::string("ab"),
          std::string(97, 'b')}) {
      CHECK(Unpack(Pack(text), kMost) == text);
    }
  }
  SECTION("a document that an earlier build wrote is read as it stands") {
    CHECK(Unpack("{\"version\":1}", kMost) == "{\"version\":1}");
  }
  SECTION("what is broken or too long is refused") {
    const std::string packed = Pack(std::string(5000, 'a'));
    const auto code = [](const std::string& aText, std::size_t aMost) {
      return CodeThrownBy([&] { Unpack(aText, aMost); });
    };
    CHECK(code(packed, 4999) == ResultCode::kDataCorrupt);
    CHECK(code(packed.substr(0, packed.size() - 4), kMost) ==
          ResultCode::kDataCorrupt);
    CHECK(code("z1:", kMost) == ResultCode::kDataCorrupt);
    CHECK(code("z1:????", kMost) == ResultCode::kDataCorrupt);
  }
}

Test(traffic, a_router_comes_to_the_newest_version_by_changes) {
  TrafficHistory history;
  const TrafficConfiguration one =
      Version(1, {Route("/a/", 10), Route("/b/", 10)});
  history.Add(one);
  SECTION("one that has nothing takes the whole") {
    const auto news = history.UpdatesSince(0);
    REQUIRE(news.size() == 1);
    CHECK(Text(ApplyTrafficUpdate(nullptr, news[0])) == Text(one));
  }
  TrafficConfiguration three = Version(3, {Route("/b/", 20), Route("/c/", 5)});
  three.mWorkspaces.clear();
  history.Add(three);
  history.Add(Version(7, {Route("/b/", 20), Route("/c/", 6)}));
  SECTION("one that has the first takes both ways in order") {
    const auto news = history.UpdatesSince(1);
    REQUIRE(news.size() == 2);
    TrafficConfiguration held = ApplyTrafficUpdate(&one, news[0]);
    CHECK(Text(held) == Text(three));
    held = ApplyTrafficUpdate(&held, news[1]);
    CHECK(Text(held) == Text(history.Current()));
  }
  SECTION("a way from another version is not taken") {
    const auto news = history.UpdatesSince(3);
    REQUIRE(news.size() == 1);
    CHECK(CodeThrownBy([&] { ApplyTrafficUpdate(&one, news[0]); }) ==
          ResultCode::kBadConfiguration);
  }
  SECTION("a version that control never had is answered with the whole") {
    const auto news = history.UpdatesSince(2);
    REQUIRE(news.size() == 1);
    CHECK(news[0].mBaseVersion == 0);
  }
  SECTION("the newest needs nothing, and an older one is not taken back") {
    history.Add(one);
    CHECK(history.Current().mVersion == 7);
    CHECK(history.UpdatesSince(7).empty());
    CHECK(history.UpdatesSince(9).empty());
  }
}

Test(traffic, a_change_of_one_route_of_many_is_small) {
  // Found on the users' platform, grown: each router took all of 1,400 routes
  // for each new version, and control did nothing else any more.
  std::vector<TrafficRoute> routes;
  for (int i = 0; i < 1400; i++) {
    routes.push_back(Route("/" + std::to_string(i) + "/", 10));
  }
  TrafficHistory history;
  history.Add(Version(1, routes));
  routes[700].mTimeout = 11;
  history.Add(Version(2, routes));
  const auto change = history.UpdatesSince(1);
  const auto whole = history.UpdatesSince(0);
  REQUIRE(change.size() == 1 && whole.size() == 1);
  const auto size = [](const TrafficUpdate& aUpdate) {
    std::size_t n = aUpdate.mPacked.size();
    for (const std::string& piece : aUpdate.mRoutes) {
      n += piece.size();
    }
    return n;
  };
  CHECK(size(change[0]) < 1000);
  CHECK(size(whole[0]) < Text(history.Current()).size() / 8);
  SECTION("many routes come in pieces, so that none is large when it is read") {
    CHECK(whole[0].mRoutes.size() == 14);
    for (const std::string& piece : whole[0].mRoutes) {
      CHECK(Unpack(piece, kMost).size() < 30000);
    }
    CHECK(Text(ApplyTrafficUpdate(nullptr, whole[0])) ==
          Text(history.Current()));
  }
  SECTION("so do those of a change") {
    const TrafficConfiguration held = history.Current();
    for (TrafficRoute& route : routes) {
      route.mTimeout += 5;
    }
    history.Add(Version(3, routes));
    const auto large = history.UpdatesSince(2);
    REQUIRE(large.size() == 1);
    CHECK(large[0].mRoutes.size() == 14);
    // In another order, which says nothing.
    const TrafficConfiguration read = ApplyTrafficUpdate(&held, large[0]);
    const TrafficChange left = ChangeBetween(read, history.Current());
    CHECK(read.mRoutes.size() == 1400);
    CHECK(left.mRoutes.empty() && left.mRemoved.empty());
  }
}
