/// Divides the engines of a large zone into cells, each of which holds the
/// whole model by itself.
#pragma once

#include <vector>

#include "servers/placement/layer_cards.h"

namespace spindleweir {

/// Cells of about the same engines each; one with all of them where the zone is
/// small or holds the weights too seldom. The load that this answers: a zone's
/// demand grows with its engines, while the profile's is that of one path. As
/// one cell 1,000 engines took 22 s of a core to place, 53 ms as 25
/// (`spindleweir-bench control`, a third of 3,000), and the leader answers
/// nobody meanwhile. Takes the cards by speed, the fastest first.
std::vector<Cards> DivideIntoCells(const EngineProfile& aProfile,
                                   const Cards& aCards);

}  // namespace spindleweir
