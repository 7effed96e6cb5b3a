#include "servers/placement/zone_cells.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Minimum number of engines in a cell. The zone value is known to fit zones of
/// 33 to 43 engines; placing 25 cells of this size takes 50 ms of CPU time.
constexpr std::size_t kEnginesPerCell = 40;
/// A cell has memory for at least this many copies of the weights, so that it
/// can cover the loss of an engine.
constexpr int kMinCopiesPerCell = 2;

}  // namespace

std::vector<CandidateEngines> DivideIntoCells(
    const EngineProfile& aProfile, const CandidateEngines& aEngines) {
  int fit = 0;
  for (const CandidateEngine& engine : aEngines) {
    fit += engine.MaxLayersInShare(kWeightShare);
  }
  const auto byWeights = static_cast<std::size_t>(
      fit / std::max(1, kMinCopiesPerCell * aProfile.mLayers));
  const std::size_t n = std::max<std::size_t>(
      1, std::min(aEngines.size() / kEnginesPerCell, byWeights));
  std::vector<CandidateEngines> cells(n);
  // Round robin by speed: each cell gets its share of the fast engines.
  for (std::size_t i = 0; i < aEngines.size(); i++) {
    cells[i % n].push_back(aEngines[i]);
  }
  return cells;
}

}  // namespace spindleweir
