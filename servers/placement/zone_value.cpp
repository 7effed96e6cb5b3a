#include "servers/placement/zone_value.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Weight of the share served now, against the mean share served after a loss.
constexpr double kCurrentWeight = 0.5;

/// Capacity of an engine in tokens, at each of its layers.
double TokensPerLayer(const EngineProfile& aProfile,
                      const PlacedEngineClass& aClass) {
  const int n = aClass.mLayers.Count();
  return n <= 0 ? 0
                : EngineModel(aProfile, *aClass.mKind).RequestCapacity(n) / n;
}

}  // namespace

std::vector<PlacedEngineClass> GroupIntoClasses(
    const std::vector<PlacedEngine>& aPlaced) {
  std::vector<PlacedEngineClass> classes;
  for (const PlacedEngine& engine : aPlaced) {
    const auto it =
        std::find_if(classes.begin(), classes.end(),
                     [&engine](const PlacedEngineClass& aClass) {
                       return aClass.mKind == engine.mCandidate.mKind &&
                              aClass.mLayers == engine.mLayers;
                     });
    if (it != classes.end()) {
      it->mCount++;
    } else {
      classes.push_back({engine.mCandidate.mKind, engine.mLayers, 1});
    }
  }
  return classes;
}

ZoneValue EvaluateZone(const EngineProfile& aProfile,
                       const std::vector<PlacedEngineClass>& aClasses) {
  const auto layers = static_cast<std::size_t>(aProfile.mLayers);
  std::vector<double> capacityByLayer(layers, 0.0);
  std::vector<int> enginesByLayer(layers, 0);
  int engines = 0;
  for (const PlacedEngineClass& engineClass : aClasses) {
    const double capacity =
        TokensPerLayer(aProfile, engineClass) * engineClass.mCount;
    engines += engineClass.mCount;
    for (int i = engineClass.mLayers.mFrom; i < engineClass.mLayers.mTo; i++) {
      capacityByLayer[static_cast<std::size_t>(i)] += capacity;
      enginesByLayer[static_cast<std::size_t>(i)] += engineClass.mCount;
    }
  }
  const auto servedShare = [&aProfile](double aCapacity) {
    const double demand = aProfile.mCapacityTokens;
    return demand <= 0 ? 1 : std::clamp(aCapacity / demand, 0.0, 1.0);
  };
  ZoneValue value;
  double current = 1;
  for (std::size_t i = 0; i < layers; i++) {
    if (enginesByLayer[i] > 0) {
      value.mLayersHeld++;
      current = std::min(current, servedShare(capacityByLayer[i]));
    }
  }
  double afterLoss = 0;
  for (const PlacedEngineClass& engineClass : aClasses) {
    const double lost = TokensPerLayer(aProfile, engineClass);
    double withoutOne = current;
    for (int i = engineClass.mLayers.mFrom; i < engineClass.mLayers.mTo; i++) {
      const auto at = static_cast<std::size_t>(i);
      const double remainingShare =
          enginesByLayer[at] > 1 ? servedShare(capacityByLayer[at] - lost) : 0;
      withoutOne = std::min(withoutOne, remainingShare);
    }
    afterLoss += withoutOne * engineClass.mCount;
  }
  value.mServedShare =
      kCurrentWeight * current + (1 - kCurrentWeight) * afterLoss /
                                     static_cast<double>(std::max(1, engines));
  return value;
}

ZoneValue EvaluateZone(const EngineProfile& aProfile,
                       const std::vector<PlacedEngine>& aPlaced) {
  return EvaluateZone(aProfile, GroupIntoClasses(aPlaced));
}

}  // namespace spindleweir
