#include "spindleweir/servers/placement/placement_planner.h"

#include <algorithm>
#include <random>

#include "spindleweir/servers/placement/order_planner.h"
#include "spindleweir/servers/placement/stage_split.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

EngineReport Engine(const std::string& aName, double aMicros, int aMemory,
                    const std::string& aZone = "z") {
  EngineReport engine;
  engine.mEngine = aName;
  engine.mZone = aZone;
  engine.mAccelerator = aMicros < 1500 ? "a100" : "l40s";
  engine.mLayerMicros = aMicros;
  engine.mMemoryLayers = aMemory;
  engine.mBatch = 8;
  return engine;
}

/// The best throughput over all boundaries and assignments of engines.
double BestByExhaustiveSearch(std::span<const EngineReport> aEngines,
                              int aLayers) {
  double best = 0;
  const auto count = static_cast<int>(aEngines.size());
  for (int mask = 0; mask < 1 << (aLayers - 1); mask++) {
    std::vector<int> bounds = {0};
    for (int layer = 1; layer < aLayers; layer++) {
      if ((mask >> (layer - 1) & 1) != 0) {
        bounds.push_back(layer);
      }
    }
    bounds.push_back(aLayers);
    const int stages = static_cast<int>(bounds.size()) - 1;
    if (stages > count) {
      continue;
    }
    std::vector<int> stageOf(aEngines.size(), 0);
    while (true) {
      std::vector<double> speed(static_cast<std::size_t>(stages), 0);
      for (std::size_t i = 0; i < aEngines.size(); i++) {
        const auto n = static_cast<std::size_t>(stageOf[i]);
        const int layers = bounds[n + 1] - bounds[n];
        if (layers <= aEngines[i].mMemoryLayers) {
          speed[n] += aEngines[i].TokensPerSecond(layers);
        }
      }
      best = std::max(best, *std::min_element(speed.begin(), speed.end()));
      std::size_t at = 0;
      while (at < stageOf.size() && ++stageOf[at] == stages) {
        stageOf[at++] = 0;
      }
      if (at == stageOf.size()) {
        break;
      }
    }
  }
  return best;
}

Intent OneModel(int aLayers) {
  Intent intent;
  intent.mModels.push_back({.mName = "m", .mLayers = aLayers});
  return intent;
}

std::vector<EngineReport> ZoneOf(int aCount) {
  std::vector<EngineReport> engines;
  for (int i = 0; i < aCount; i++) {
    engines.push_back(
        Engine("e" + std::to_string(10 + i), i % 2 == 0 ? 1000 : 2000, 8));
  }
  return engines;
}

Configuration Accepted(const Plan& aPlan) {
  Configuration configuration;
  configuration.mVersion = 1;
  configuration.mIntent = aPlan.mIntent;
  configuration.mPlacement = aPlan.mPlacement;
  return configuration;
}

}  // namespace

Test(placement, splits_reach_95_percent_of_the_best_throughput) {
  std::mt19937 random(3);
  const auto pick = [&random](int aLeast, int aMost) {
    return std::uniform_int_distribution<int>(aLeast, aMost)(random);
  };
  double sum = 0;
  int rounds = 0;
  for (int round = 0; round < 40; round++) {
    std::vector<EngineReport> engines;
    const int count = pick(3, 6);
    for (int i = 0; i < count; i++) {
      engines.push_back(Engine("e", 500.0 * pick(1, 4), pick(2, 6)));
    }
    const double best = BestByExhaustiveSearch(engines, 6);
    const StageSplit split = SplitStages(engines, 6);
    CHECK((best > 0) == (split.mTokensPerSecond > 0));
    if (best > 0) {
      // A split that survives a loss counts as best, since it is preferred to a
      // higher throughput.
      sum += split.mMinEnginesPerStage >= 2 ? 1 : split.mTokensPerSecond / best;
      rounds++;
    }
  }
  CHECK(sum / rounds >= 0.95);
}

Test(placement, a_plan_covers_all_layers_and_lists_shortages) {
  const std::vector<EngineReport> engines = ZoneOf(6);
  const Intent intent = OneModel(12);
  const Configuration none;
  const std::set<std::string> unusable;
  const Plan plan = MakePlan({.mIntent = intent,
                              .mCurrent = none,
                              .mEngines = engines,
                              .mUnusable = unusable});
  REQUIRE(plan.mCapacity.size() == 1 && plan.mRejectionReasons.empty());
  CHECK(plan.mCapacity[0].mSurvivesOneLoss && plan.mWarnings.empty());
  SECTION("two engines hold each layer, within their memory") {
    std::vector<int> held(12, 0);
    for (const StagePlacement& stage : plan.mPlacement) {
      CHECK(stage.mLast - stage.mFirst <= 8);
      for (int layer = stage.mFirst; layer < stage.mLast; layer++) {
        held[static_cast<std::size_t>(layer)]++;
      }
    }
    CHECK(*std::min_element(held.begin(), held.end()) >= 2);
  }
  SECTION("planning again moves nothing") {
    const Configuration accepted = Accepted(plan);
    const Plan again = MakePlan({.mIntent = intent,
                                 .mCurrent = accepted,
                                 .mEngines = engines,
                                 .mUnusable = unusable});
    for (const PlanChange& change : again.mChanges) {
      CHECK(change.mAction == "keep");
    }
  }
  SECTION("a plan for a model that fits nowhere cannot be confirmed") {
    const Intent large = OneModel(100);
    const Plan refused = MakePlan({.mIntent = large,
                                   .mCurrent = none,
                                   .mEngines = engines,
                                   .mUnusable = unusable});
    CHECK(!refused.mRejectionReasons.empty());
  }
}

Test(placement, plans_avoid_lost_engines_and_survive_repeated_losses) {
  std::vector<EngineReport> engines = ZoneOf(8);
  const Intent intent = OneModel(12);
  const Configuration none;
  std::set<std::string> gone;
  Plan plan = MakePlan({.mIntent = intent,
                        .mCurrent = none,
                        .mEngines = engines,
                        .mUnusable = gone});
  for (int loss = 0; loss < 4; loss++) {
    const Configuration accepted = Accepted(plan);
    gone.insert(plan.mPlacement.front().mEngine);
    plan = MakePlan({.mIntent = intent,
                     .mCurrent = accepted,
                     .mEngines = engines,
                     .mUnusable = gone});
    REQUIRE(plan.mCapacity.size() == 1);
    CHECK(plan.mCapacity[0].mTokensPerSecond > 0);
    CHECK(plan.mCapacity[0].mSurvivesOneLoss || !plan.mWarnings.empty());
    for (const StagePlacement& stage : plan.mPlacement) {
      CHECK(!gone.contains(stage.mEngine));
    }
  }
}

Test(placement, a_partitioned_zone_keeps_its_stages) {
  std::vector<EngineReport> engines = ZoneOf(6);
  for (int i = 0; i < 6; i++) {
    engines.push_back(Engine("y" + std::to_string(i), 1000, 8, "y"));
  }
  const Intent intent = OneModel(12);
  const Configuration none;
  const std::set<std::string> unusable;
  const Plan plan = MakePlan({.mIntent = intent,
                              .mCurrent = none,
                              .mEngines = engines,
                              .mUnusable = unusable});
  const Configuration accepted = Accepted(plan);
  engines.resize(6);
  const Plan partitioned = MakePlan({.mIntent = intent,
                                     .mCurrent = accepted,
                                     .mEngines = engines,
                                     .mUnusable = unusable});
  const auto inY = std::count_if(
      partitioned.mPlacement.begin(), partitioned.mPlacement.end(),
      [](const StagePlacement& aStage) { return aStage.mZone == "y"; });
  CHECK(inY == 6 && !partitioned.mWarnings.empty());
}

Test(placement, zone_and_hardware_limits_are_respected) {
  std::vector<EngineReport> engines = ZoneOf(6);
  Intent intent = OneModel(6);
  intent.mModels[0].mHardware = {"a100"};
  const Configuration none;
  const std::set<std::string> unusable;
  const PlacementInput input{.mIntent = intent,
                             .mCurrent = none,
                             .mEngines = engines,
                             .mUnusable = unusable};
  for (const StagePlacement& stage : MakePlan(input).mPlacement) {
    const auto it = std::find_if(engines.begin(), engines.end(),
                                 [&stage](const EngineReport& aEngine) {
                                   return aEngine.mEngine == stage.mEngine;
                                 });
    CHECK(it->mAccelerator == "a100");
  }
  intent.mModels[0].mZones = {"elsewhere"};
  CHECK(MakePlan(input).mPlacement.empty());
  CHECK(!MakePlan(input).mRejectionReasons.empty());
}

Test(orders, loads_go_to_the_slowest_stage_first) {
  std::vector<EngineReport> engines = {
      Engine("a", 1000, 8), Engine("b", 1000, 8), Engine("c", 1000, 8)};
  engines[0].mModel = "m";
  engines[0].mVersion = "1";
  engines[0].mLast = 6;
  const std::vector<StagePlacement> wanted = {{"a", "z", "m", "1", 0, 6},
                                              {"b", "z", "m", "1", 0, 6},
                                              {"c", "z", "m", "1", 6, 12}};
  SECTION("the stage without any engine comes first") {
    const auto orders =
        PlanOrders({.mPlacement = wanted, .mEngines = engines, .mMaxLoads = 1});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].mStage.mEngine == "c");
  }
  SECTION("loads in progress count against the maximum") {
    engines[2].mLoading = true;
    CHECK(
        PlanOrders({.mPlacement = wanted, .mEngines = engines, .mMaxLoads = 1})
            .empty());
  }
  SECTION("unwanted weights are dropped") {
    const auto orders = PlanOrders({.mPlacement = {}, .mEngines = engines});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].mKind == OrderKind::kDrop);
  }
}
