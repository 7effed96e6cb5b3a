#include "spindleweir/servers/placement/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

#include "servers/placement/stage_index.h"
#include "spindleweir/servers/placement/stage_split.h"

namespace spindleweir {

namespace {

/// The usable engines of one zone, sorted by name.
struct ZoneEngines {
  std::string mZone;
  std::vector<EngineReport> mEngines;
};

std::vector<ZoneEngines> GroupByZone(const PlacementInput& aInput) {
  std::map<std::string, ZoneEngines> zones;
  for (const EngineReport& engine : aInput.mEngines) {
    if (engine.mLeaving || aInput.mUnusable.contains(engine.mEngine)) {
      continue;
    }
    ZoneEngines& zone = zones[engine.mZone];
    zone.mZone = engine.mZone;
    zone.mEngines.push_back(engine);
  }
  std::vector<ZoneEngines> list;
  for (auto& [name, zone] : zones) {
    std::sort(zone.mEngines.begin(), zone.mEngines.end(),
              [](const EngineReport& aLeft, const EngineReport& aRight) {
                return aLeft.mEngine < aRight.mEngine;
              });
    list.push_back(std::move(zone));
  }
  return list;
}

/// Assigns a zone's engines to the models that may run there, by share. An
/// engine keeps the model that it holds as long as that model is below its
/// share.
std::vector<std::vector<EngineReport>> AssignEnginesToModels(
    const PlacementInput& aInput, const StageIndex& aCurrent,
    const ZoneEngines& aZone) {
  const std::vector<ModelSpec>& models = aInput.mIntent.mModels;
  std::vector<std::vector<EngineReport>> assigned(models.size());
  const auto allowed = [&](const ModelSpec& aModel,
                           const EngineReport& aEngine) {
    return Allows(aModel.mZones, aZone.mZone) &&
           Allows(aModel.mHardware, aEngine.mAccelerator);
  };
  double shares = 0;
  for (const ModelSpec& model : models) {
    shares += Allows(model.mZones, aZone.mZone) ? model.mShare : 0;
  }
  const auto count = static_cast<double>(aZone.mEngines.size());
  std::vector<const EngineReport*> unassigned;
  for (const EngineReport& engine : aZone.mEngines) {
    const StagePlacement* held = aCurrent.Find(engine.mEngine);
    bool stays = false;
    for (std::size_t i = 0; i < models.size() && held != nullptr; i++) {
      const double target = std::ceil(count * models[i].mShare / shares);
      const bool room = static_cast<double>(assigned[i].size()) < target;
      if (held->mModel == models[i].mName && room &&
          allowed(models[i], engine)) {
        assigned[i].push_back(engine);
        stays = true;
      }
    }
    if (!stays) {
      unassigned.push_back(&engine);
    }
  }
  for (const EngineReport* engine : unassigned) {
    int leastFilled = -1;
    double minFill = 0;
    for (std::size_t i = 0; i < models.size(); i++) {
      const double filled =
          static_cast<double>(assigned[i].size()) / models[i].mShare;
      if (allowed(models[i], *engine) &&
          (leastFilled < 0 || filled < minFill)) {
        leastFilled = static_cast<int>(i);
        minFill = filled;
      }
    }
    if (leastFilled >= 0) {
      assigned[static_cast<std::size_t>(leastFilled)].push_back(*engine);
    }
  }
  return assigned;
}

/// The current split of a model in a zone over the remaining engines; without
/// stages if they no longer cover the layers as a sequence of stages.
StageSplit CurrentSplit(const StageIndex& aCurrent, const ModelSpec& aModel,
                        std::span<const EngineReport> aEngines) {
  std::vector<int> boundaries = {0, aModel.mLayers};
  std::vector<const StagePlacement*> stages;
  for (const EngineReport& engine : aEngines) {
    const StagePlacement* stage = aCurrent.Find(engine.mEngine);
    const bool same = stage != nullptr && stage->mModel == aModel.mName &&
                      stage->mVersion == aModel.mVersion &&
                      stage->mLast <= aModel.mLayers;
    stages.push_back(same ? stage : nullptr);
    if (same) {
      boundaries.push_back(stage->mFirst);
      boundaries.push_back(stage->mLast);
    }
  }
  std::sort(boundaries.begin(), boundaries.end());
  boundaries.erase(std::unique(boundaries.begin(), boundaries.end()),
                   boundaries.end());
  StageSplit split;
  split.mBoundaries = boundaries;
  split.mStageOf.assign(aEngines.size(), -1);
  for (std::size_t i = 0; i < aEngines.size(); i++) {
    if (stages[i] == nullptr) {
      continue;
    }
    const auto it =
        std::find(boundaries.begin(), boundaries.end(), stages[i]->mFirst);
    const auto n = static_cast<std::size_t>(it - boundaries.begin());
    if (boundaries[n + 1] != stages[i]->mLast) {
      return {};
    }
    split.mStageOf[i] = static_cast<int>(n);
  }
  return split;
}

/// Swaps stages among identical engines so that engines keep the stage they
/// already hold, which needs fewer moves for the same result.
void KeepHeldStages(const StageIndex& aCurrent, const ModelSpec& aModel,
                    std::span<const EngineReport> aEngines,
                    StageSplit& aSplit) {
  for (std::size_t i = 0; i < aEngines.size(); i++) {
    const StagePlacement* held = aCurrent.Find(aEngines[i].mEngine);
    if (held == nullptr || held->mModel != aModel.mName) {
      continue;
    }
    const auto it = std::find(aSplit.mBoundaries.begin(),
                              aSplit.mBoundaries.end(), held->mFirst);
    const int stage = static_cast<int>(it - aSplit.mBoundaries.begin());
    const bool exists = it != aSplit.mBoundaries.end() &&
                        it + 1 != aSplit.mBoundaries.end() &&
                        *(it + 1) == held->mLast;
    if (!exists || aSplit.mStageOf[i] == stage) {
      continue;
    }
    for (std::size_t j = 0; j < aEngines.size(); j++) {
      const StagePlacement* other = aCurrent.Find(aEngines[j].mEngine);
      const bool otherStays =
          other != nullptr && other->mFirst == held->mFirst &&
          other->mLast == held->mLast && other->mModel == aModel.mName;
      const bool alike = aEngines[j].mAccelerator == aEngines[i].mAccelerator &&
                         aEngines[j].mLayerMicros == aEngines[i].mLayerMicros &&
                         aEngines[j].mMemoryLayers == aEngines[i].mMemoryLayers;
      if (alike && !otherStays && aSplit.mStageOf[j] == stage) {
        std::swap(aSplit.mStageOf[i], aSplit.mStageOf[j]);
        break;
      }
    }
  }
}

void AddModel(const PlacementInput& aInput, const StageIndex& aCurrent,
              const ModelSpec& aModel, const std::string& aZone,
              std::span<const EngineReport> aEngines, Plan& aPlan) {
  StageSplit split = SplitStages(aEngines, aModel.mLayers);
  StageSplit current = CurrentSplit(aCurrent, aModel, aEngines);
  const bool held =
      std::any_of(current.mStageOf.begin(), current.mStageOf.end(),
                  [](int aStage) { return aStage >= 0; });
  if (held) {
    // Engines without a stage join the running stages, so that no engine has to
    // move.
    std::vector<std::size_t> order(aEngines.size());
    std::iota(order.begin(), order.end(), 0);
    AssignToSlowestStage(aEngines, order, current);
  }
  const bool redundancyKept =
      current.mMinEnginesPerStage >= 2 || split.mMinEnginesPerStage < 2;
  if (redundancyKept && current.mTokensPerSecond > 0 &&
      current.mTokensPerSecond >=
          split.mTokensPerSecond * (1 - aInput.mHysteresis)) {
    split = current;
  } else {
    KeepHeldStages(aCurrent, aModel, aEngines, split);
  }
  if (split.mTokensPerSecond <= 0) {
    aPlan.mWarnings.push_back("model " + aModel.mName +
                              " does not fit in zone " + aZone);
    return;
  }
  for (std::size_t i = 0; i < aEngines.size(); i++) {
    if (split.mStageOf[i] < 0) {
      continue;
    }
    const auto stage = static_cast<std::size_t>(split.mStageOf[i]);
    aPlan.mPlacement.push_back({.mEngine = aEngines[i].mEngine,
                                .mZone = aZone,
                                .mModel = aModel.mName,
                                .mVersion = aModel.mVersion,
                                .mFirst = split.mBoundaries[stage],
                                .mLast = split.mBoundaries[stage + 1]});
  }
  aPlan.mCapacity.push_back(
      {.mModel = aModel.mName,
       .mZone = aZone,
       .mStages = static_cast<int>(split.mBoundaries.size()) - 1,
       .mTokensPerSecond = split.mTokensPerSecond,
       .mSurvivesOneLoss = split.mMinEnginesPerStage >= 2});
  if (split.mMinEnginesPerStage < 2) {
    aPlan.mWarnings.push_back("model " + aModel.mName + " in zone " + aZone +
                              " has a stage on one engine only; its loss stops "
                              "the model there");
  }
}

/// A zone without any report is treated as partitioned rather than lost: its
/// accepted stages stay in the plan, so that it continues to serve.
void KeepStagesOfSilentZones(const PlacementInput& aInput, Plan& aPlan) {
  std::set<std::string> reported;
  for (const EngineReport& engine : aInput.mEngines) {
    reported.insert(engine.mZone);
  }
  std::set<std::string> silent;
  for (const StagePlacement& stage : aInput.mCurrent.mPlacement) {
    const ModelSpec* model = FindModel(aInput.mIntent, stage.mModel);
    const bool allowed = model != nullptr &&
                         model->mVersion == stage.mVersion &&
                         Allows(model->mZones, stage.mZone);
    if (!reported.contains(stage.mZone) && allowed) {
      aPlan.mPlacement.push_back(stage);
      silent.insert(stage.mZone);
    }
  }
  for (const std::string& zone : silent) {
    aPlan.mWarnings.push_back(
        "zone " + zone + " does not answer; its stages are kept as accepted");
  }
}

void ListChanges(const PlacementInput& aInput, const StageIndex& aCurrent,
                 Plan& aPlan) {
  const StageIndex planned(aPlan.mPlacement);
  for (const StagePlacement& stage : aPlan.mPlacement) {
    const StagePlacement* before = aCurrent.Find(stage.mEngine);
    const char* action = "load";
    if (before != nullptr) {
      action = *before == stage ? "keep" : "move";
    }
    aPlan.mChanges.push_back({action, stage});
  }
  for (const StagePlacement& stage : aInput.mCurrent.mPlacement) {
    if (planned.Find(stage.mEngine) == nullptr) {
      aPlan.mChanges.push_back({"drop", stage});
    }
  }
}

void CheckModelsPlaced(const PlacementInput& aInput, Plan& aPlan) {
  for (const ModelSpec& model : aInput.mIntent.mModels) {
    const bool placed =
        std::any_of(aPlan.mPlacement.begin(), aPlan.mPlacement.end(),
                    [&model](const StagePlacement& aStage) {
                      return aStage.mModel == model.mName;
                    });
    if (!placed) {
      aPlan.mRejectionReasons.push_back("model " + model.mName +
                                        " fits in no zone that it may run in");
    }
  }
}

}  // namespace

Plan MakePlan(const PlacementInput& aInput) {
  const StageIndex current(aInput.mCurrent.mPlacement);
  Plan plan;
  plan.mIntent = aInput.mIntent;
  for (const ZoneEngines& zone : GroupByZone(aInput)) {
    const auto assigned = AssignEnginesToModels(aInput, current, zone);
    for (std::size_t i = 0; i < assigned.size(); i++) {
      const ModelSpec& model = aInput.mIntent.mModels[i];
      if (Allows(model.mZones, zone.mZone)) {
        AddModel(aInput, current, model, zone.mZone, assigned[i], plan);
      }
    }
  }
  KeepStagesOfSilentZones(aInput, plan);
  ListChanges(aInput, current, plan);
  CheckModelsPlaced(aInput, plan);
  return plan;
}

}  // namespace spindleweir
