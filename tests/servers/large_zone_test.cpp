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

/// A zone with a typical mix of accelerator kinds, but with many more engines.
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

  /// Plans once and carries out the orders at once. Returns their number.
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

  /// Capacity in tokens of the layer with the least.
  double MinCapacity() const {
    std::vector<double> capacity(kLayers, 0.0);
    for (const UpstreamRecord& record : mRecords) {
      const int n = record.mLayers.Count();
      for (int i = record.mLayers.mFrom; i < record.mLayers.mTo; i++) {
        const AcceleratorKind* kind = mProfile.FindKind(record.mKind);
        capacity[static_cast<std::size_t>(i)] +=
            EngineModel(mProfile, *kind).RequestCapacity(n) / n;
      }
    }
    return *std::min_element(capacity.begin(), capacity.end());
  }

  EngineProfile mProfile = Profile();
  std::vector<UpstreamRecord> mRecords;
};

}  // namespace

Test(large_zone, capacity_grows_with_the_number_of_engines) {
  // Guards against placing a large zone as one cell: capacity beyond the demand
  // of one path didn't count, and all remaining engines got the same few
  // layers.
  LargeZone one(40);
  one.Place();
  const double capacityOfOne = one.MinCapacity();
  for (const int times : {2, 5, 25}) {
    LargeZone zone(40 * times);
    CHECK(zone.Place() == zone.mRecords.size());
    CHECK(zone.MinCapacity() > 0.9 * capacityOfOne * times);
    SECTION("a second plan moves nothing") {
      CHECK(zone.Place() == 0);
    }
  }
}

Test(large_zone, engines_that_join_together_form_their_own_cells) {
  LargeZone zone(200);
  zone.Place();
  const double before = zone.MinCapacity();
  for (UpstreamRecord more : LargeZone(120).mRecords) {
    more.mInstance = "late-" + more.mInstance;
    zone.mRecords.push_back(more);
  }
  CHECK(zone.Place() == 120);
  CHECK(zone.MinCapacity() > 1.5 * before);
}

Test(large_zone, all_layers_stay_held_after_losses) {
  LargeZone zone(400);
  zone.Place();
  const double before = zone.MinCapacity();
  for (int lost = 0; lost < 40; lost++) {
    zone.mRecords.erase(zone.mRecords.begin() + lost * 7);
  }
  zone.Place();
  CHECK(zone.MinCapacity() > 0.8 * before);
}
