/// Splits a model's layers over engines of mixed speed and memory.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/placement/engine_report.h"

namespace spindleweir {

/// A split: boundaries 0 = b0 < b1 < ... = layers, and a stage an engine.
struct StageSplit {
  std::vector<int> mBoundaries;
  std::vector<int> mStageOf;    ///< For each engine; -1: left out.
  double mTokensPerSecond = 0;  ///< The smallest stage's.
  int mLeastEngines = 0;        ///< Engines of the smallest stage.
};

/// The best split found: the smallest stage's tokens a second as great as
/// hill climbing over boundaries finds it. Prefers splits in which every stage
/// keeps an engine after one loss. No stages where the model does not fit.
StageSplit SplitStages(std::span<const EngineReport> aEngines, int aLayers);

/// Deals the engines that have no stage, in the given order, each to the
/// slowest stage so far that it fits; then sets the split's totals over all.
void DealToSlowest(std::span<const EngineReport> aEngines,
                   std::span<const std::size_t> aOrder, StageSplit& aSplit);

/// Assigns the engines to given boundaries: the slowest stage so far gets the
/// next fastest engine that fits.
StageSplit AssignEngines(std::span<const EngineReport> aEngines,
                         const std::vector<int>& aBoundaries);

}  // namespace spindleweir
