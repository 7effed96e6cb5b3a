/// Decides which layers each engine of a service holds: whole rows of the
/// fastest engines of a zone first, then cover for what is held least.
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
/// a zone holds any more: an engine whose layers others hold too takes them,
/// else those beside the hole grow into it. Other engines keep what they
/// hold: every load costs time and money.
std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines);

}  // namespace spindleweir
