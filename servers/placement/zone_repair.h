/// Changes to a zone that holds layers: places empty engines, fills gaps of
/// layers that no engine holds, and rebalances.
#pragma once

#include <vector>

#include "servers/placement/layer_coverage.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

/// Assigns to an engine without layers those with which the zone's value is
/// greatest, and appends the engine to aPlaced.
LayerOrder PlaceEmptyEngine(const EngineProfile& aProfile,
                            const CandidateEngine& aEngine,
                            std::vector<PlacedEngine>& aPlaced);

/// Fills the gaps of a zone that has lost engines. Redundant engines, whose
/// layers others hold too, take over as many layers as needed; if there are
/// none, the engines next to a gap extend their ranges.
std::vector<LayerOrder> FillGaps(const EngineProfile& aProfile,
                                 std::vector<PlacedEngine> aPlaced);

/// For a zone that can't hold all layers: the single move that reduces how
/// often paths cross to other zones; empty if there is none.
std::vector<LayerOrder> MergeGaps(const EngineProfile& aProfile,
                                  std::vector<PlacedEngine> aPlaced);

/// For a zone that holds all layers: the single move with the greatest gain;
/// empty if no gain justifies the load. Other engines hold the layers that the
/// moved engine gives up.
std::vector<LayerOrder> Rebalance(const EngineProfile& aProfile,
                                  const std::vector<PlacedEngine>& aPlaced);

}  // namespace spindleweir
