/// The value of a zone's placement: the share of the zone's demand that its
/// engines have capacity for, now and after the loss of any single engine.
#pragma once

#include <vector>

#include "servers/placement/layer_coverage.h"

namespace spindleweir {

/// The value of a placement. Layers held count before the served share.
struct ZoneValue {
  int mLayersHeld = 0;      ///< Layers that at least one engine holds.
  double mServedShare = 0;  ///< 0 to 1.

  bool operator==(const ZoneValue&) const = default;
  bool operator>(const ZoneValue& aOther) const {
    return mLayersHeld != aOther.mLayersHeld
               ? mLayersHeld > aOther.mLayersHeld
               : mServedShare > aOther.mServedShare;
  }
};

/// Engines that are equivalent for the value of a zone: same kind, same layers.
struct PlacedEngineClass {
  const AcceleratorKind* mKind = nullptr;
  LayerRange mLayers;
  int mCount = 0;
};

/// Groups engines by kind and layers. Large zones hold the same ranges many
/// times: 1,000 engines form about 40 classes, so the zone value is computed
/// over classes.
std::vector<PlacedEngineClass> GroupIntoClasses(
    const std::vector<PlacedEngine>& aPlaced);

/// The demand is the number of simultaneous tokens in the engine profile
/// (mCapacityTokens). If the profile has none, any capacity counts as
/// sufficient.
ZoneValue EvaluateZone(const EngineProfile& aProfile,
                       const std::vector<PlacedEngineClass>& aClasses);
ZoneValue EvaluateZone(const EngineProfile& aProfile,
                       const std::vector<PlacedEngine>& aPlaced);

}  // namespace spindleweir
