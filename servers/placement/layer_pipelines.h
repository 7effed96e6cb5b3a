/// Complete pipelines of the fastest engines, for a zone that holds no layers
/// yet. The engines of a pipeline together hold each layer once.
#pragma once

#include <vector>

#include "servers/placement/layer_coverage.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

/// Orders that assign layers to complete pipelines, each built of the fastest
/// remaining engines. aEngines must be sorted by speed, the fastest first.
/// Engines that remain get no order.
std::vector<LayerOrder> PlanPipelines(const CandidateEngines& aEngines,
                                      int aLayers);

}  // namespace spindleweir
