/// Changes to a zone that holds layers: for engines that hold nothing, for
/// layers that nobody holds, and for a zone that has become lopsided.
#pragma once

#include <vector>

#include "servers/placement/layer_cards.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

/// Gives an empty card the layers where the zone gains most, and adds it to
/// the holders.
LayerOrder PlaceEmpty(const EngineProfile& aProfile, const Card& aCard,
                      std::vector<Holder>& aHolders);

/// Closes the holes of a zone that has lost engines: spare engines take what
/// nobody holds, as many as it needs; else those beside a hole grow into it.
std::vector<LayerOrder> CloseHoles(const EngineProfile& aProfile,
                                   std::vector<Holder> aHolders);

/// For a zone that cannot be whole: the one move after which paths go over to
/// other zones less often; empty where there is none.
std::vector<LayerOrder> JoinHoles(const EngineProfile& aProfile,
                                  std::vector<Holder> aHolders);

/// The one move by which a whole zone gains most; empty where none is worth
/// the load. What the engine gives up is held by others.
std::vector<LayerOrder> Rebalance(const EngineProfile& aProfile,
                                  const std::vector<Holder>& aHolders);

}  // namespace spindleweir
