#include "spindleweir/servers/placement/order_planner.h"

#include <algorithm>
#include <map>

#include "servers/placement/stage_index.h"

namespace spindleweir {

namespace {

bool Holds(const EngineReport& aEngine, const StagePlacement& aStage) {
  return aEngine.mModel == aStage.mModel &&
         aEngine.mVersion == aStage.mVersion &&
         aEngine.mFirst == aStage.mFirst && aEngine.mLast == aStage.mLast;
}

/// Tokens per second of each stage that engines already hold, by model and
/// first layer.
using StageSpeeds = std::map<std::string, double>;

std::string StageKey(const StagePlacement& aStage) {
  return aStage.mModel + "/" + std::to_string(aStage.mFirst);
}

StageSpeeds CurrentSpeeds(const OrderInput& aInput, const StageIndex& aWanted) {
  StageSpeeds speeds;
  for (const StagePlacement& stage : aInput.mPlacement) {
    speeds.try_emplace(StageKey(stage), 0);
  }
  for (const EngineReport& engine : aInput.mEngines) {
    const StagePlacement* stage = aWanted.Find(engine.mEngine);
    if (stage != nullptr && Holds(engine, *stage) && !engine.mLeaving) {
      speeds[StageKey(*stage)] +=
          engine.TokensPerSecond(stage->mLast - stage->mFirst);
    }
  }
  return speeds;
}

}  // namespace

std::vector<EngineOrder> PlanOrders(const OrderInput& aInput) {
  const StageIndex wanted(aInput.mPlacement);
  StageSpeeds speeds = CurrentSpeeds(aInput, wanted);
  std::vector<EngineOrder> loads;
  std::vector<EngineOrder> orders;
  int loading = 0;
  for (const EngineReport& engine : aInput.mEngines) {
    loading += engine.mLoading ? 1 : 0;
    if (engine.mLoading || engine.mLeaving) {
      continue;
    }
    const StagePlacement* stage = wanted.Find(engine.mEngine);
    if (stage == nullptr) {
      if (!engine.mModel.empty()) {
        orders.push_back(
            {.mKind = OrderKind::kDrop,
             .mStage = {.mEngine = engine.mEngine, .mZone = engine.mZone}});
      }
      continue;
    }
    if (!Holds(engine, *stage)) {
      const double gain = engine.TokensPerSecond(stage->mLast - stage->mFirst);
      loads.push_back({OrderKind::kLoad, *stage, gain});
    }
  }
  // Chooses the loads one by one, each for the stage that is slowest with the
  // loads chosen so far: it limits the whole model.
  while (!loads.empty() && loading < aInput.mMaxLoads) {
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
