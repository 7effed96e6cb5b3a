/// Splits the layers of a zone whose memory holds the weights more than once
/// but not twice: as many engines as can be share their layers with another.
#pragma once

#include <vector>

#include "servers/placement/layer_cards.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

/// Layers for each card, where an engine that is alone with its layers has room
/// for aTokens and each of two that share theirs for half of them; empty where
/// the zone cannot hold all layers so.
std::vector<LayerOrder> PlanGroups(const EngineProfile& aProfile,
                                   const Cards& aCards, double aTokens);

}  // namespace spindleweir
