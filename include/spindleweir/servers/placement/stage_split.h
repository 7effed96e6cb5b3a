/// Splits a model's layers into stages over engines of different speed and
/// memory.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/placement/engine_report.h"

namespace spindleweir {

/// A split: boundaries 0 = b0 < b1 < ... = layers, and a stage for each engine.
struct StageSplit {
  std::vector<int> mBoundaries;
  std::vector<int> mStageOf;    ///< For each engine; -1: no stage.
  double mTokensPerSecond = 0;  ///< Of the slowest stage.
  int mMinEnginesPerStage = 0;  ///< Of the stage with the fewest.
};

/// Returns the best split that hill climbing over the boundaries finds: the
/// greatest tokens per second of the slowest stage. Prefers splits in which
/// each stage still has an engine after one loss. Without stages if the model
/// doesn't fit.
StageSplit SplitStages(std::span<const EngineReport> aEngines, int aLayers);

/// Assigns the engines that have no stage, in the given order, each to the
/// stage that is slowest so far and that fits into its memory. Then recomputes
/// the totals of the split.
void AssignToSlowestStage(std::span<const EngineReport> aEngines,
                          std::span<const std::size_t> aOrder,
                          StageSplit& aSplit);

/// Assigns the engines to given boundaries: each goes to the stage that is
/// slowest so far and fits into its memory, engines with the fewest such stages
/// first.
StageSplit AssignEngines(std::span<const EngineReport> aEngines,
                         const std::vector<int>& aBoundaries);

}  // namespace spindleweir
