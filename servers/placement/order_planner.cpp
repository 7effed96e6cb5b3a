#include "spindleweir/servers/placement/order_planner.h"

#include <algorithm>
#include <map>

namespace spindleweir {

namespace {

bool Holds(const EngineReport& aEngine, const StagePlacement& aStage) {
  return aEngine.mModel == aStage.mModel &&
         aEngine.mVersion == aStage.mVersion &&
         aEngine.mFirst == aStage.mFirst && aEngine.mLast == aStage.mLast;
}

/// Tokens a second of each stage that stands already, by its first layer.
using StageSpeeds = std::map<std::string, double>;

std::string StageKey(const StagePlacement& aStage) {
  return aStage.mModel + "/" + std::to_string(aStage.mFirst);
}

StageSpeeds SpeedsNow(const OrderInput& aInput) {
  StageSpeeds speeds;
  for (const StagePlacement& stage : aInput.mPlacement) {
    speeds.try_emplace(StageKey(stage), 0);
    for (const EngineReport& engine : aInput.mEngines) {
      if (engine.mEngine == stage.mEngine && Holds(engine, stage) &&
          !engine.mLeaving) {
        speeds[StageKey(stage)] +=
            engine.TokensPerSecond(stage.mLast - stage.mFirst);
      }
    }
  }
  return speeds;
}

}  // namespace

std::vector<EngineOrder> PlanOrders(const OrderInput& aInput) {
  StageSpeeds speeds = SpeedsNow(aInput);
  std::vector<EngineOrder> loads;
  std::vector<EngineOrder> orders;
  int loading = 0;
  for (const EngineReport& engine : aInput.mEngines) {
    loading += engine.mLoading ? 1 : 0;
    if (engine.mLoading || engine.mLeaving) {
      continue;
    }
    const auto it =
        std::find_if(aInput.mPlacement.begin(), aInput.mPlacement.end(),
                     [&engine](const StagePlacement& aStage) {
                       return aStage.mEngine == engine.mEngine;
                     });
    if (it == aInput.mPlacement.end()) {
      if (!engine.mModel.empty()) {
        orders.push_back(
            {.mKind = OrderKind::kDrop,
             .mStage = {.mEngine = engine.mEngine, .mZone = engine.mZone}});
      }
      continue;
    }
    if (!Holds(engine, *it)) {
      const double own = engine.TokensPerSecond(it->mLast - it->mFirst);
      loads.push_back({OrderKind::kLoad, *it, own});
    }
  }
  // One at a time to the stage that holds back the whole, as it will be with
  // the loads already chosen.
  while (!loads.empty() && loading < aInput.mMaximumLoads) {
    const auto it = std::min_element(
        loads.begin(), loads.end(),
        [&speeds](const EngineOrder& aLeft, const EngineOrder& aRight) {
          const double left = speeds[StageKey(aLeft.mStage)];
          const double right = speeds[StageKey(aRight.mStage)];
          return left != right ? left < right : aLeft.mGain > aRight.mGain;
        });
    speeds[StageKey(it->mStage)] += it->mGain;
    orders.push_back(*it);
    loads.erase(it);
    loading++;
  }
  return orders;
}

}  // namespace spindleweir
