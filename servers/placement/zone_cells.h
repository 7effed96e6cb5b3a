/// Divides the engines of a large zone into cells, each of which holds the
/// whole model by itself.
#pragma once

#include <vector>

#include "servers/placement/layer_coverage.h"

namespace spindleweir {

/// Returns cells with about equal engines, or a single one if the zone is small
/// or has memory for too few copies of the weights. aEngines must be sorted by
/// speed, the fastest first.
/// A zone's demand grows with its engines, while the profile states that of one
/// path. Placing 1,000 engines as one cell took 22 s of CPU time, and 53 ms as
/// 25 cells (`spindleweir-bench control`, a third of 3,000 engines); the leader
/// answers no requests meanwhile.
std::vector<CandidateEngines> DivideIntoCells(const EngineProfile& aProfile,
                                              const CandidateEngines& aEngines);

}  // namespace spindleweir
