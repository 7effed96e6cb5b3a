#include <map>

#include "spindleweir/servers/placement/layer_planner.h"
#include "spindleweir/servers/routing/inter_zone_budget.h"
#include "spindleweir/servers/routing/layer_path.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

EngineProfile Profile() {
  EngineProfile profile;
  profile.mLayers = 80;
  profile.mLayerMb = 1750;
  profile.mTokenBytes = 918000;
  profile.mActivationBytes = 45900;
  profile.mIntraZoneMbps = 400000;
  profile.mInterZoneMbps = 26000;
  profile.mStepMillis = 1.02;
  profile.mRequestMillis = 0.00714;
  profile.mContextMillis = 0.00956;
  profile.mPromptTokensPerSecond = 105000;
  profile.mPairMillis = 0.309;
  profile.mLoadSeconds = 14;
  profile.mZoneDelayMillis = 0.75;
  profile.mKinds = {{"fast", 72000, 2.4, 3.2},
                    {"middle", 43200, 5.6, 2.7},
                    {"slow", 21600, 16, 8.2}};
  return profile;
}

/// Engines of a test. Orders are carried out at once.
struct EngineSet {
  void Add(const std::string& aZone, const std::string& aKind, int aCount) {
    for (int i = 0; i < aCount; i++) {
      UpstreamRecord record;
      record.mInstance =
          aZone + "-" + aKind + "-" + std::to_string(mRecords.size());
      record.mAddress = "10.0.0." + std::to_string(mRecords.size()) + ":1";
      record.mZone = aZone;
      record.mKind = aKind;
      mRecords.push_back(record);
    }
  }
  std::vector<const UpstreamRecord*> Views() const {
    std::vector<const UpstreamRecord*> views;
    for (const UpstreamRecord& record : mRecords) {
      views.push_back(&record);
    }
    return views;
  }
  std::size_t Place(const EngineProfile& aProfile) {
    const std::vector<LayerOrder> orders = PlanLayers(aProfile, Views());
    for (const LayerOrder& order : orders) {
      for (UpstreamRecord& record : mRecords) {
        if (record.mInstance == order.mInstance) {
          record.mLayers = order.mLayers;
        }
      }
    }
    return orders.size();
  }
  void Remove(const std::string& aInstance) {
    std::erase_if(mRecords, [&](const UpstreamRecord& aRecord) {
      return aRecord.mInstance == aInstance;
    });
  }
  const UpstreamRecord* Find(const std::string& aInstance) const {
    for (const UpstreamRecord& record : mRecords) {
      if (record.mInstance == aInstance) {
        return &record;
      }
    }
    return nullptr;
  }
  /// Whether the engines of a zone together hold each layer.
  bool CoversAllLayers(const std::string& aZone, int aLayers) const {
    std::vector<bool> held(static_cast<std::size_t>(aLayers), false);
    for (const UpstreamRecord& record : mRecords) {
      for (int i = record.mLayers.mFrom; i < record.mLayers.mTo; i++) {
        held[static_cast<std::size_t>(i)] =
            held[static_cast<std::size_t>(i)] || record.mZone == aZone;
      }
    }
    return std::find(held.begin(), held.end(), false) == held.end();
  }
  std::vector<UpstreamRecord> mRecords;
};

/// Engines as in a typical zone.
EngineSet TypicalZone() {
  EngineSet engines;
  engines.Add("z", "fast", 1);
  engines.Add("z", "middle", 3);
  engines.Add("z", "slow", 8);
  return engines;
}

PathQuery Question(const EngineProfile& aProfile, const EngineSet& aEngines) {
  PathQuery question;
  question.mProfile = &aProfile;
  question.mZone = "z";
  question.mTokens = 1000;
  question.mPrefillTokens = 800;
  question.mAnswerTokens = 200;
  question.mEngines = aEngines.Views();
  question.mLoadOf = [](const std::string&) { return EngineLoad{}; };
  return question;
}

/// Whether the path covers each layer once and in order.
bool IsWhole(const LayerPath& aPath, int aLayers) {
  int reached = 0;
  std::set<std::string> used;
  for (const PathStage& part : aPath) {
    if (part.mLayers.mFrom != reached || part.mLayers.Count() <= 0 ||
        !used.insert(part.mInstance).second) {
      return false;
    }
    reached = part.mLayers.mTo;
  }
  return reached == aLayers;
}

}  // namespace

Test(layers, a_zone_holds_all_layers_within_memory) {
  const EngineProfile profile = Profile();
  EngineSet engines = TypicalZone();
  engines.Place(profile);
  CHECK(engines.CoversAllLayers("z", profile.mLayers));
  for (const UpstreamRecord& record : engines.mRecords) {
    const EngineModel model(profile, *profile.FindKind(record.mKind));
    CHECK(record.mLayers.Count() > 0);
    CHECK(record.mLayers.Count() <= model.MaxLayers());
    CHECK(model.RequestCapacity(record.mLayers.Count()) > 0);
  }
  SECTION("a second plan moves nothing") {
    CHECK(engines.Place(profile) == 0);
  }
  SECTION("after the loss of any engine the others hold all layers") {
    for (const UpstreamRecord& record : engines.mRecords) {
      EngineSet rest = engines;
      rest.Remove(record.mInstance);
      CHECK(rest.CoversAllLayers("z", profile.mLayers));
    }
  }
}

Test(layers, an_engine_that_reports_layers_beyond_the_model_is_placed_again) {
  const EngineProfile profile = Profile();
  EngineSet engines;
  engines.Add("a", "fast", 12);
  while (engines.Place(profile) > 0) {
  }
  UpstreamRecord& engine = engines.mRecords.front();
  for (const LayerRange& reported :
       {LayerRange{70, 90}, LayerRange{80, 9000}}) {
    engine.mLayers = reported;
    const std::vector<LayerOrder> orders = PlanLayers(profile, engines.Views());
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].mInstance == engine.mInstance);
    CHECK(orders[0].mLayers.Count() > 0 && orders[0].mLayers.mTo <= 80);
  }
}

Test(layers, gaps_are_filled_by_the_remaining_engines) {
  const EngineProfile profile = Profile();
  EngineSet engines = TypicalZone();
  engines.Place(profile);
  SECTION("the gaps after the loss of any two engines are filled") {
    for (std::size_t i = 0; i < engines.mRecords.size(); i++) {
      for (std::size_t k = 0; k < i; k++) {
        EngineSet rest = engines;
        rest.Remove(engines.mRecords[i].mInstance);
        rest.Remove(engines.mRecords[k].mInstance);
        for (int step = 0; step < 6 && rest.Place(profile) > 0; step++) {
        }
        CHECK(rest.CoversAllLayers("z", profile.mLayers));
      }
    }
  }
  SECTION("an engine that rejoins without layers gets layers again") {
    engines.mRecords[0].mLayers = {};
    CHECK(engines.Place(profile) == 1);
    CHECK(engines.mRecords[0].mLayers.Count() > 0);
  }
}

namespace {

/// Engines with little memory: the zone has memory for one and a half copies of
/// the weights.
EngineProfile SmallEngines() {
  EngineProfile profile = Profile();
  profile.mTokenBytes = 426000;
  profile.mCapacityTokens = 100000;
  profile.mKinds = {{"fast", 36000, 3.1, 3.2},
                    {"middle", 21600, 16, 8.2},
                    {"slow", 14400, 15, 15}};
  return profile;
}

EngineSet SmallZone() {
  EngineSet engines;
  engines.Add("z", "fast", 1);
  engines.Add("z", "middle", 7);
  engines.Add("z", "slow", 5);
  return engines;
}

/// The number of engines after whose loss the zone still holds all layers.
int CountRedundant(const EngineSet& aEngines, int aLayers) {
  int redundant = 0;
  for (const UpstreamRecord& record : aEngines.mRecords) {
    EngineSet rest = aEngines;
    rest.Remove(record.mInstance);
    redundant += rest.CoversAllLayers("z", aLayers) ? 1 : 0;
  }
  return redundant;
}

/// Capacity in tokens of the layer with the least.
double MinCapacity(const EngineProfile& aProfile, const EngineSet& aEngines) {
  double minimum = 1e12;
  for (int layer = 0; layer < aProfile.mLayers; layer++) {
    double room = 0;
    for (const UpstreamRecord& record : aEngines.mRecords) {
      const EngineModel model(aProfile, *aProfile.FindKind(record.mKind));
      const LayerRange& layers = record.mLayers;
      if (layers.mFrom <= layer && layer < layers.mTo) {
        room += model.RequestCapacity(layers.Count()) / layers.Count();
      }
    }
    minimum = std::min(minimum, room);
  }
  return minimum;
}

}  // namespace

Test(layers,
     engines_share_layers_in_a_zone_with_memory_for_one_and_a_half_copies) {
  const EngineProfile profile = SmallEngines();
  EngineSet engines = SmallZone();
  engines.Place(profile);
  CHECK(engines.CoversAllLayers("z", profile.mLayers));
  // A single pipeline with spare engines for the layers held least leaves 5 of
  // these 13 engines redundant.
  CHECK(CountRedundant(engines, profile.mLayers) >= 7);
  CHECK(MinCapacity(profile, engines) >= 0.8 * profile.mCapacityTokens);
  SECTION("a gap is filled by as many redundant engines as needed") {
    // The lost engine is the only one with memory for this many layers.
    EngineSet rest = engines;
    rest.Remove(rest.mRecords.front().mInstance);
    CHECK(!rest.CoversAllLayers("z", profile.mLayers));
    CHECK(rest.Place(profile) >= 2);
    CHECK(rest.CoversAllLayers("z", profile.mLayers));
  }
  SECTION("an engine that rejoins adds redundancy") {
    EngineSet rest = engines;
    rest.mRecords.back().mLayers = {};
    const int before = CountRedundant(rest, profile.mLayers);
    CHECK(rest.Place(profile) == 1);
    CHECK(CountRedundant(rest, profile.mLayers) > before);
  }
  SECTION("successive losses are repaired without endless moves") {
    EngineSet rest = engines;
    for (int lost = 0; lost < 3; lost++) {
      rest.Remove(rest.mRecords[rest.mRecords.size() / 2].mInstance);
      int steps = 0;
      while (rest.Place(profile) > 0) {
        REQUIRE(++steps < 20);
      }
      CHECK(rest.CoversAllLayers("z", profile.mLayers));
      CHECK(MinCapacity(profile, rest) >= 0.5 * profile.mCapacityTokens);
    }
  }
  SECTION("an incomplete zone is left with a single gap, at an end") {
    // A path then crosses to another zone once. With two gaps inside the range
    // it would cross four times and overload the link between zones.
    EngineSet rest = engines;
    while (rest.mRecords.size() > 6) {
      rest.Remove(rest.mRecords[rest.mRecords.size() / 2].mInstance);
      for (int step = 0; step < 20 && rest.Place(profile) > 0; step++) {
      }
    }
    CHECK(!rest.CoversAllLayers("z", profile.mLayers));
    CHECK(rest.Place(profile) == 0);
    std::vector<bool> held(static_cast<std::size_t>(profile.mLayers), false);
    for (const UpstreamRecord& record : rest.mRecords) {
      for (int i = record.mLayers.mFrom; i < record.mLayers.mTo; i++) {
        held[static_cast<std::size_t>(i)] = true;
      }
    }
    int edges = 0;
    for (std::size_t i = 1; i < held.size(); i++) {
      edges += held[i] != held[i - 1] ? 1 : 0;
    }
    CHECK(edges <= 1);
  }
  SECTION("no other engine moves while an order is in progress") {
    // Two pairs hold the same layers, so one of these engines could take over
    // the layers of an engine that is now unpaired.
    EngineSet rest = engines;
    std::vector<UpstreamRecord*> spares;
    for (UpstreamRecord& record : rest.mRecords) {
      EngineSet without = engines;
      without.Remove(record.mInstance);
      const bool spare = record.mKind == "middle" &&
                         without.CoversAllLayers("z", profile.mLayers);
      if (spare) {
        spares.push_back(&record);
      }
    }
    REQUIRE(spares.size() >= 4);
    spares[1]->mLayers = spares[2]->mLayers;
    REQUIRE(rest.CoversAllLayers("z", profile.mLayers));
    EngineSet busy = rest;
    busy.mRecords.front().mBusy = true;
    CHECK(busy.Place(profile) == 0);
    CHECK(rest.Place(profile) == 1);
  }
}

Test(layers, a_path_covers_each_layer_once_and_in_order) {
  const EngineProfile profile = Profile();
  EngineSet engines = TypicalZone();
  engines.Add("other", "fast", 2);
  engines.Add("other", "middle", 2);
  engines.Place(profile);
  PathQuery question = Question(profile, engines);
  const PathResult answer = ChoosePath(question);
  CHECK(IsWhole(answer.mPath, profile.mLayers));
  SECTION("each single engine can be avoided") {
    for (const UpstreamRecord& record : engines.mRecords) {
      question.mExcludedEngines = {record.mInstance};
      const LayerPath path = ChoosePath(question).mPath;
      CHECK(IsWhole(path, profile.mLayers));
      for (const PathStage& part : path) {
        CHECK(part.mInstance != record.mInstance);
      }
    }
  }
  SECTION("full engines are skipped; if all are full, the answer says so") {
    question.mExcludedEngines.clear();
    const std::string first = answer.mPath.front().mInstance;
    question.mLoadOf = [&](const std::string& aInstance) {
      return EngineLoad{.mTokenLayers = aInstance == first ? 1e12 : 0};
    };
    CHECK(ChoosePath(question).mPath.front().mInstance != first);
    question.mLoadOf = [](const std::string&) {
      return EngineLoad{.mTokenLayers = 1e12};
    };
    CHECK(ChoosePath(question).mPath.empty());
    CHECK(ChoosePath(question).mLacksRoom);
  }
  SECTION("if the local zone is full, the whole path is in another zone") {
    // Guards against paths that cross to another zone midway, which the link
    // between zones slows down for all.
    const auto full = [&engines](const std::string& aInstance, int aFrom) {
      const UpstreamRecord* record = engines.Find(aInstance);
      const bool counts = record->mZone == "z" && record->mLayers.mTo > aFrom;
      return EngineLoad{.mTokenLayers = counts ? 1e12 : 0};
    };
    for (int from : {0, 40}) {
      question.mLoadOf = [&](const std::string& aInstance) {
        return full(aInstance, from);
      };
      const LayerPath path = ChoosePath(question).mPath;
      CHECK(IsWhole(path, profile.mLayers));
      for (const PathStage& part : path) {
        CHECK(engines.Find(part.mInstance)->mZone == "other");
      }
    }
  }
  SECTION("a path crosses zones midway only if allowed") {
    // The local zone lacks the upper layers, the other zone the lower ones.
    question.mLoadOf = [&engines](const std::string& aInstance) {
      const UpstreamRecord* record = engines.Find(aInstance);
      const bool upper = record->mLayers.mTo > 40;
      const bool full = upper == (record->mZone == "z");
      return EngineLoad{.mTokenLayers = full ? 1e12 : 0};
    };
    const PathResult over = ChoosePath(question);
    CHECK(over.mPath.empty() || over.mZoneCrossings == 1);
    question.mMayCrossZones = false;
    CHECK(ChoosePath(question).mPath.empty());
    CHECK(ChoosePath(question).mLacksRoom);
    question.mMayCrossZones = true;
  }
  SECTION("a path for a part of the layers") {
    question.mLoadOf = [](const std::string&) { return EngineLoad{}; };
    question.mLayers = {20, 50};
    const LayerPath path = ChoosePath(question).mPath;
    REQUIRE(!path.empty());
    CHECK(path.front().mLayers.mFrom == 20 && path.back().mLayers.mTo == 50);
  }
}

Test(layers, the_engine_model_matches_its_formulas) {
  const EngineProfile profile = Profile();
  const EngineModel fast(profile, *profile.FindKind("fast"));
  CHECK(fast.MaxLayers() == 41);
  // 72,000 MB minus 40 layers, at 11,475 bytes per token and layer.
  CHECK(std::abs(fast.RequestCapacity(40) - 2000e6 / 11475) < 1);
  CHECK(std::abs(fast.StepMillis(40, {}) - 0.5 * 2.4 * 1.02) < 1e-9);
  CHECK(std::abs(fast.LoadMillis(40) - 7000) < 1e-9);
}

Test(layers, the_bandwidth_between_zones_is_shared) {
  // Guards against an overloaded link between zones: streams that crossed it
  // paused for 0.5 s and more, all others for 0.1 s.
  EngineProfile profile = Profile();
  profile.mInterZoneMbps = 10;
  profile.mActivationBytes = 1000;
  InterZoneBudget pipe({.mShare = 0.5, .mBurst = 1000});
  SECTION("each router has a share and waits until a debt is paid") {
    // 5 Mbit/s for 10 routers: 0.5 Mbit/s each.
    CHECK(pipe.Allows(profile, 10, 0));
    pipe.Spend(profile, 125, 1);
    CHECK(!pipe.Allows(profile, 10, 900));
    CHECK(pipe.Allows(profile, 10, 1100));
  }
  SECTION("traffic within a zone costs nothing") {
    pipe.Spend(profile, 1e9, 0);
    CHECK(pipe.Allows(profile, 10, 1200));
  }
  SECTION("unused allowance accumulates up to the burst only") {
    CHECK(pipe.Allows(profile, 10, 100000));
    pipe.Spend(profile, 63, 1);
    CHECK(pipe.Allows(profile, 10, 101000));
    pipe.Spend(profile, 63, 1);
    CHECK(!pipe.Allows(profile, 10, 101000));
  }
}

// Each start had a second of its part of the bandwidth saved up.
Test(layers, a_router_that_starts_has_saved_no_bandwidth_between_zones) {
  EngineProfile profile = Profile();
  profile.mInterZoneMbps = 10;
  profile.mActivationBytes = 1000;
  constexpr Millis kLength = 10000;
  /// Half of 10 Mbit/s for 10 routers.
  constexpr double kBitsPerMilli = 500;
  constexpr double kBitsPerToken = 8000;
  double spent = 0;
  for (Millis start = 0; start < kLength; start += 500) {
    InterZoneBudget pipe({.mShare = 0.5, .mBurst = 1000, .mStartedAt = start});
    for (Millis now = start; now < start + 500; now++) {
      if (pipe.Allows(profile, 10, now)) {
        pipe.Spend(profile, 1, 1);
        spent += kBitsPerToken;
      }
    }
  }
  CHECK_FOUND(spent <= kBitsPerMilli * (kLength + 1000), std::to_string(spent));
}
