/// Decides which layers each engine of a service holds. A zone is worth what
/// share of its demand it has room for, now and after the loss of any one
/// engine; of whole rows of the fastest engines and of groups whose engines
/// share their layers, the placement with most of it is taken.
#pragma once

#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// One engine that is to hold other layers.
struct LayerOrder {
  std::string mInstance;
  LayerRange mLayers;

  bool operator==(const LayerOrder&) const = default;
};

/// Orders for the engines that hold nothing, and for layers that no engine of
/// a zone holds any more: engines whose layers others hold too take them, else
/// those beside the hole grow into it. Where neither is to be done, the one
/// move that gains clearly more than its load costs.
std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines);

}  // namespace spindleweir
