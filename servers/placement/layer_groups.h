/// Splits the layers of a zone whose memory holds the weights more than once
/// but less than twice. As many engines as possible share their layers with
/// another engine.
#pragma once

#include <vector>

#include "servers/placement/layer_coverage.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

/// Orders that assign layers to each engine. An engine alone with its layers
/// has capacity for aTokens, and each of two that share their layers for half
/// of that. Empty if the zone can't hold all layers under these conditions.
std::vector<LayerOrder> PlanGroups(const EngineProfile& aProfile,
                                   const CandidateEngines& aEngines,
                                   double aTokens);

}  // namespace spindleweir
