/// Decides which layers each engine of a service holds. The value of a zone is
/// the share of its demand that it has capacity for, now and after the loss of
/// any single engine. Pipelines of the fastest engines and groups whose engines
/// share layers are planned, and the placement with the greatest value is used.
#pragma once

#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// An order to an engine to hold other layers.
struct LayerOrder {
  std::string mInstance;
  LayerRange mLayers;

  bool operator==(const LayerOrder&) const = default;
};

/// Returns orders for the engines that hold no layers, and for layers that no
/// engine of a zone holds any more: redundant engines, whose layers others hold
/// too, take these over, or else the engines next to the gap extend their
/// ranges. If neither applies, the single move whose gain clearly exceeds the
/// cost of its load.
std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines);

}  // namespace spindleweir
