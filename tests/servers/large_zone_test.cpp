#include <algorithm>
#include <map>

#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/placement/layer_planner.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kLayers = 80;

EngineProfile Profile() {
  EngineProfile profile;
  profile.mLayers = kLayers;
  profile.mLayerMb = 1750;
  profile.mTokenBytes = 918000;
  profile.mCapacityTokens = 100000;
  profile.mKinds = {{"fast", 36000, 3.1, 3.2},
                    {"middle", 22000, 16, 8.2},
                    {"small", 14000, 15, 15}};
  return profile;
}

/// A zone with the mix of kinds that the users have, ten times over or more.
struct LargeZone {
  explicit LargeZone(int aCount) {
    for (int i = 0; i < aCount; i++) {
      const char* kind = i % 14 == 0 ? "fast" : i % 2 == 0 ? "middle" : "small";
      mRecords.push_back({.mInstance = "e" + std::to_string(1000 + i),
                          .mAddress = "10.0.0.1:" + std::to_string(i),
                          .mZone = "z",
                          .mKind = kind});
    }
  }

  /// Plans once; the orders are carried out at once.
  std::size_t Place() {
    std::vector<const UpstreamRecord*> views;
    for (const UpstreamRecord& record : mRecords) {
      views.push_back(&record);
    }
    std::map<std::string, LayerRange> orders;
    for (const LayerOrder& order : PlanLayers(mProfile, views)) {
      orders[order.mInstance] = order.mLayers;
    }
    for (UpstreamRecord& record : mRecords) {
      const auto it = orders.find(record.mInstance);
      if (it != orders.end()) {
        record.mLayers = it->second;
      }
    }
    return orders.size();
  }

  /// Tokens that the zone has room for at the layer with the least.
  double LeastRoom() const {
    std::vector<double> room(kLayers, 0.0);
    for (const UpstreamRecord& record : mRecords) {
      const int n = record.mLayers.Count();
      for (int i = record.mLayers.mFrom; i < record.mLayers.mTo; i++) {
        const AcceleratorKind* kind = mProfile.FindKind(record.mKind);
        room[static_cast<std::size_t>(i)] +=
            EngineModel(mProfile, *kind).RequestCapacity(n) / n;
      }
    }
    return *std::min_element(room.begin(), room.end());
  }

  EngineProfile mProfile = Profile();
  std::vector<UpstreamRecord> mRecords;
};

}  // namespace

Test(large_zone, its_room_grows_with_its_engines) {
  // Placed as one cell, the zone's room beyond the demand of one path counted
  // for nothing: left-over engines all took the same few layers.
  LargeZone one(40);
  one.Place();
  const double roomOfOne = one.LeastRoom();
  for (const int times : {2, 5, 25}) {
    LargeZone zone(40 * times);
    CHECK(zone.Place() == zone.mRecords.size());
    CHECK(zone.LeastRoom() > 0.9 * roomOfOne * times);
    SECTION("what is placed stays where it is") {
      CHECK(zone.Place() == 0);
    }
  }
}

Test(large_zone, many_engines_that_come_together_make_cells_of_their_own) {
  LargeZone zone(200);
  zone.Place();
  const double before = zone.LeastRoom();
  for (UpstreamRecord more : LargeZone(120).mRecords) {
    more.mInstance = "late-" + more.mInstance;
    zone.mRecords.push_back(more);
  }
  CHECK(zone.Place() == 120);
  CHECK(zone.LeastRoom() > 1.5 * before);
}

Test(large_zone, a_loss_leaves_every_layer_held) {
  LargeZone zone(400);
  zone.Place();
  const double before = zone.LeastRoom();
  for (int lost = 0; lost < 40; lost++) {
    zone.mRecords.erase(zone.mRecords.begin() + lost * 7);
  }
  zone.Place();
  CHECK(zone.LeastRoom() > 0.8 * before);
}
