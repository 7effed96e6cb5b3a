#include "spindleweir/servers/placement/stage_split.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace spindleweir {

namespace {

constexpr int kMaxStagesTried = 16;
constexpr int kMaxClimbSteps = 64;

int Layers(const std::vector<int>& aBoundaries, int aStage) {
  const auto n = static_cast<std::size_t>(aStage);
  return aBoundaries[n + 1] - aBoundaries[n];
}

std::vector<int> EqualBoundaries(int aLayers, int aStages) {
  std::vector<int> boundaries;
  for (int i = 0; i <= aStages; i++) {
    boundaries.push_back(aLayers * i / aStages);
  }
  return boundaries;
}

/// Engines that fit into few stages come first, since they have the least
/// choice; among equals the fastest.
std::vector<std::size_t> OrderOfAssignment(
    std::span<const EngineReport> aEngines, const std::vector<int>& aBounds) {
  const int stages = static_cast<int>(aBounds.size()) - 1;
  std::vector<int> choices(aEngines.size(), 0);
  for (std::size_t i = 0; i < aEngines.size(); i++) {
    for (int stage = 0; stage < stages; stage++) {
      choices[i] += Layers(aBounds, stage) <= aEngines[i].mMemoryLayers ? 1 : 0;
    }
  }
  std::vector<std::size_t> order(aEngines.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t aLeft, std::size_t aRight) {
                     if (choices[aLeft] != choices[aRight]) {
                       return choices[aLeft] < choices[aRight];
                     }
                     return aEngines[aLeft].TokensPerSecond(1) >
                            aEngines[aRight].TokensPerSecond(1);
                   });
  return order;
}

bool IsBetter(const StageSplit& aNew, const StageSplit& aOld) {
  const bool newCovered = aNew.mMinEnginesPerStage >= 2;
  const bool oldCovered = aOld.mMinEnginesPerStage >= 2;
  if (newCovered != oldCovered) {
    return newCovered && aNew.mTokensPerSecond > 0;
  }
  constexpr double kMinGainFactor = 1 + 1e-9;
  return aNew.mTokensPerSecond > aOld.mTokensPerSecond * kMinGainFactor;
}

/// Hill climbing: moves one boundary by one layer at a time as long as the
/// split improves.
StageSplit ClimbToBest(std::span<const EngineReport> aEngines,
                       StageSplit aBest) {
  for (int i = 0; i < kMaxClimbSteps; i++) {
    StageSplit next = aBest;
    for (std::size_t b = 1; b + 1 < aBest.mBoundaries.size(); b++) {
      for (int step : {-1, 1}) {
        std::vector<int> moved = aBest.mBoundaries;
        moved[b] += step;
        if (moved[b] <= moved[b - 1] || moved[b] >= moved[b + 1]) {
          continue;
        }
        StageSplit split = AssignEngines(aEngines, moved);
        if (IsBetter(split, next)) {
          next = std::move(split);
        }
      }
    }
    if (!IsBetter(next, aBest)) {
      break;
    }
    aBest = std::move(next);
  }
  return aBest;
}

}  // namespace

void AssignToSlowestStage(std::span<const EngineReport> aEngines,
                          std::span<const std::size_t> aOrder,
                          StageSplit& aSplit) {
  const int stages = static_cast<int>(aSplit.mBoundaries.size()) - 1;
  std::vector<double> speed(static_cast<std::size_t>(stages), 0);
  std::vector<int> count(static_cast<std::size_t>(stages), 0);
  const auto add = [&](std::size_t aEngine, int aStage) {
    const auto n = static_cast<std::size_t>(aStage);
    speed[n] +=
        aEngines[aEngine].TokensPerSecond(Layers(aSplit.mBoundaries, aStage));
    count[n]++;
    aSplit.mStageOf[aEngine] = aStage;
  };
  for (std::size_t i = 0; i < aEngines.size(); i++) {
    if (aSplit.mStageOf[i] >= 0) {
      add(i, aSplit.mStageOf[i]);
    }
  }
  for (std::size_t i : aOrder) {
    if (aSplit.mStageOf[i] >= 0) {
      continue;
    }
    int slowest = -1;
    for (int stage = 0; stage < stages; stage++) {
      const auto n = static_cast<std::size_t>(stage);
      const bool fits =
          Layers(aSplit.mBoundaries, stage) <= aEngines[i].mMemoryLayers;
      if (fits && (slowest < 0 ||
                   speed[n] < speed[static_cast<std::size_t>(slowest)])) {
        slowest = stage;
      }
    }
    if (slowest >= 0) {
      add(i, slowest);
    }
  }
  aSplit.mTokensPerSecond = *std::min_element(speed.begin(), speed.end());
  aSplit.mMinEnginesPerStage = *std::min_element(count.begin(), count.end());
}

StageSplit AssignEngines(std::span<const EngineReport> aEngines,
                         const std::vector<int>& aBoundaries) {
  StageSplit split;
  split.mBoundaries = aBoundaries;
  split.mStageOf.assign(aEngines.size(), -1);
  AssignToSlowestStage(aEngines, OrderOfAssignment(aEngines, aBoundaries),
                       split);
  return split;
}

StageSplit SplitStages(std::span<const EngineReport> aEngines, int aLayers) {
  StageSplit best;
  const int maxStages =
      std::min({kMaxStagesTried, aLayers, static_cast<int>(aEngines.size())});
  for (int stages = 1; stages <= maxStages; stages++) {
    StageSplit split =
        AssignEngines(aEngines, EqualBoundaries(aLayers, stages));
    if (stages > 1) {
      split = ClimbToBest(aEngines, std::move(split));
    }
    if (IsBetter(split, best)) {
      best = std::move(split);
    }
  }
  return best;
}

}  // namespace spindleweir
