/// Whole rows of the fastest engines of a zone that holds no layers yet.
#pragma once

#include <vector>

#include "servers/placement/layer_cards.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

/// Layers for whole rows, each of the fastest cards left; aCards are sorted by
/// speed. Cards that are left over get none.
std::vector<LayerOrder> PlanRows(const Cards& aCards, int aLayers);

}  // namespace spindleweir
