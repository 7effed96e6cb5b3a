#include "servers/placement/zone_repair.h"

#include <algorithm>
#include <cmath>

#include "servers/placement/zone_value.h"

namespace spindleweir {

namespace {

/// Minimum gain in served share that justifies loading layers.
constexpr double kMinGainForLoad = 0.04;

/// A range of layers for an engine, and the value of the zone with it.
struct LayerChoice {
  LayerRange mLayers;
  ZoneValue mValue;
  /// Breaks ties between equal values, the smaller the better: the memory of
  /// the other engines for each of the layers, or that of the engine to move.
  double mMemoryCostMb = 0;

  bool IsBetterThan(const LayerChoice& aOther) const {
    return mValue != aOther.mValue ? mValue > aOther.mValue
                                   : mMemoryCostMb < aOther.mMemoryCostMb;
  }
};

LayerCoverage CoverageOf(const EngineProfile& aProfile,
                         const std::vector<PlacedEngine>& aPlaced) {
  LayerCoverage coverage(aProfile.mLayers);
  for (const PlacedEngine& engine : aPlaced) {
    coverage.Add(engine.mLayers);
  }
  return coverage;
}

/// Memory in MB that the engines contribute to each layer.
std::vector<double> MemoryByLayer(const EngineProfile& aProfile,
                                  const std::vector<PlacedEngine>& aPlaced) {
  std::vector<double> memory(static_cast<std::size_t>(aProfile.mLayers), 0.0);
  for (const PlacedEngine& engine : aPlaced) {
    const LayerRange& layers = engine.mLayers;
    for (int i = layers.mFrom; i < layers.mTo; i++) {
      memory[static_cast<std::size_t>(i)] +=
          engine.mCandidate.mKind->mMemoryMb / layers.Count();
    }
  }
  return memory;
}

/// Range of the number of layers that an engine may be given.
struct LayerCounts {
  int mMinLayers = 1;  ///< With capacity for a zone's whole demand.
  int mMaxLayers = 1;  ///< With capacity for half of the demand.
};

LayerCounts LayerCountsFor(const EngineProfile& aProfile,
                           const CandidateEngine& aEngine) {
  const double tokens = aProfile.mCapacityTokens;
  if (tokens <= 0) {
    const int n = std::max(1, aEngine.MaxLayersInShare(kWeightShare));
    return {.mMinLayers = n, .mMaxLayers = n};
  }
  const EngineModel model(aProfile, *aEngine.mKind);
  const int minLayers = std::max(1, model.MaxLayersForTokens(tokens));
  return {
      .mMinLayers = minLayers,
      .mMaxLayers = std::max(minLayers, model.MaxLayersForTokens(tokens / 2))};
}

/// The best layers for an engine beside the engines that hold layers already.
LayerChoice BestLayersFor(const EngineProfile& aProfile,
                          const CandidateEngine& aEngine,
                          const std::vector<PlacedEngine>& aOthers) {
  const std::vector<double> memory = MemoryByLayer(aProfile, aOthers);
  const LayerCounts counts = LayerCountsFor(aProfile, aEngine);
  std::vector<PlacedEngineClass> classes = GroupIntoClasses(aOthers);
  // If the whole demand is served now and after any single loss, another engine
  // doesn't change the value. Evaluating 75 ranges with 200 classes took 3 ms
  // of CPU time for each engine.
  const ZoneValue before = EvaluateZone(aProfile, classes);
  const bool perfect =
      before.mServedShare >= 1 && before.mLayersHeld == aProfile.mLayers;
  classes.push_back({aEngine.mKind, {}, 1});
  LayerChoice best;
  for (int n = counts.mMinLayers; n <= counts.mMaxLayers; n++) {
    for (int from = 0; from + n <= aProfile.mLayers; from++) {
      classes.back().mLayers = {from, from + n};
      LayerChoice choice{
          .mLayers = classes.back().mLayers,
          .mValue = perfect ? before : EvaluateZone(aProfile, classes)};
      for (int i = from; i < from + n; i++) {
        choice.mMemoryCostMb += memory[static_cast<std::size_t>(i)] / n;
      }
      if (best.mLayers.Count() == 0 || choice.IsBetterThan(best)) {
        best = choice;
      }
    }
  }
  return best;
}

/// Whether an engine is the first of its class. The others of the class would
/// give the same result.
bool IsFirstOfClass(const std::vector<PlacedEngine>& aPlaced,
                    std::size_t aIndex) {
  const PlacedEngine& engine = aPlaced[aIndex];
  const auto end = aPlaced.begin() + static_cast<std::ptrdiff_t>(aIndex);
  return std::none_of(
      aPlaced.begin(), end, [&engine](const PlacedEngine& aOther) {
        return aOther.mCandidate.mKind == engine.mCandidate.mKind &&
               aOther.mLayers == engine.mLayers;
      });
}

/// The number of layers by which an engine can extend its range.
int LayersToGrow(const PlacedEngine* aEngine) {
  if (aEngine == nullptr) {
    return 0;
  }
  const int maxLayers = aEngine->mCandidate.MaxLayersInShare(kMaxWeightShare);
  return std::max(0, maxLayers - aEngine->mLayers.Count());
}

/// Fills a gap by extending the ranges of the engines next to it. Each load is
/// short, and the engines continue to serve the layers that they hold.
void GrowIntoGap(const std::vector<PlacedEngine>& aPlaced,
                 const LayerRange& aGap, std::vector<LayerOrder>& aOut) {
  const PlacedEngine* left = nullptr;
  const PlacedEngine* right = nullptr;
  for (const PlacedEngine& engine : aPlaced) {
    const bool endsThere = engine.mLayers.mTo == aGap.mFrom;
    const bool beginsThere = engine.mLayers.mFrom == aGap.mTo;
    if (endsThere && LayersToGrow(&engine) > LayersToGrow(left)) {
      left = &engine;
    }
    if (beginsThere && LayersToGrow(&engine) > LayersToGrow(right)) {
      right = &engine;
    }
  }
  const int maxGrowth = LayersToGrow(left) + LayersToGrow(right);
  if (maxGrowth == 0) {
    return;
  }
  const int needed = std::min(aGap.Count(), maxGrowth);
  const int byLeft = std::min(
      LayersToGrow(left),
      static_cast<int>(std::lround(
          needed * static_cast<double>(LayersToGrow(left)) / maxGrowth)));
  const int byRight = std::min(LayersToGrow(right), needed - byLeft);
  if (byLeft > 0) {
    aOut.push_back({left->mCandidate.mRecord->mInstance,
                    {left->mLayers.mFrom, left->mLayers.mTo + byLeft}});
  }
  if (byRight > 0) {
    aOut.push_back({right->mCandidate.mRecord->mInstance,
                    {right->mLayers.mFrom - byRight, right->mLayers.mTo}});
  }
}

/// Moves the redundant engine to the gap by which the zone's value becomes
/// greatest. Returns nullptr if no engine is redundant.
const PlacedEngine* MoveRedundantEngine(const EngineProfile& aProfile,
                                        const LayerRange& aGap,
                                        std::vector<PlacedEngine>& aPlaced) {
  const LayerCoverage coverage = CoverageOf(aProfile, aPlaced);
  PlacedEngine* redundant = nullptr;
  LayerChoice best;
  for (std::size_t i = 0; i < aPlaced.size(); i++) {
    PlacedEngine& engine = aPlaced[i];
    const int n = std::min(aGap.Count(),
                           engine.mCandidate.MaxLayersInShare(kMaxWeightShare));
    if (n <= 0 || !coverage.Holds(engine.mLayers, 2) ||
        !IsFirstOfClass(aPlaced, i)) {
      continue;
    }
    const LayerRange before = engine.mLayers;
    engine.mLayers = {aGap.mFrom, aGap.mFrom + n};
    const LayerChoice choice{
        .mLayers = engine.mLayers,
        .mValue = EvaluateZone(aProfile, aPlaced),
        .mMemoryCostMb = engine.mCandidate.mKind->mMemoryMb};
    engine.mLayers = before;
    if (redundant == nullptr || choice.IsBetterThan(best)) {
      redundant = &engine;
      best = choice;
    }
  }
  if (redundant != nullptr) {
    redundant->mLayers = best.mLayers;
  }
  return redundant;
}

/// The order as a list; empty if the order names no engine.
std::vector<LayerOrder> ToList(const LayerOrder& aOrder) {
  return aOrder.mInstance.empty() ? std::vector<LayerOrder>()
                                  : std::vector<LayerOrder>{aOrder};
}

}  // namespace

LayerOrder PlaceEmptyEngine(const EngineProfile& aProfile,
                            const CandidateEngine& aEngine,
                            std::vector<PlacedEngine>& aPlaced) {
  const LayerRange layers = BestLayersFor(aProfile, aEngine, aPlaced).mLayers;
  aPlaced.push_back({aEngine, layers});
  return {aEngine.mRecord->mInstance, aPlaced.back().mLayers};
}

std::vector<LayerOrder> FillGaps(const EngineProfile& aProfile,
                                 std::vector<PlacedEngine> aPlaced) {
  std::vector<LayerOrder> orders;
  LayerRange gap = CoverageOf(aProfile, aPlaced).FirstGap();
  while (gap.Count() > 0) {
    const PlacedEngine* redundant = MoveRedundantEngine(aProfile, gap, aPlaced);
    if (redundant == nullptr) {
      GrowIntoGap(aPlaced, gap, orders);
      break;
    }
    orders.push_back(
        {redundant->mCandidate.mRecord->mInstance, redundant->mLayers});
    gap = CoverageOf(aProfile, aPlaced).FirstGap();
  }
  return orders;
}

std::vector<LayerOrder> MergeGaps(const EngineProfile& aProfile,
                                  std::vector<PlacedEngine> aPlaced) {
  const LayerCoverage current = CoverageOf(aProfile, aPlaced);
  LayerOrder order;
  int fewestEdges = current.CountEdges();
  int maxLayersHeld = 0;
  for (std::size_t i = 0; i < aPlaced.size(); i++) {
    if (!IsFirstOfClass(aPlaced, i)) {
      continue;
    }
    PlacedEngine& engine = aPlaced[i];
    const LayerRange before = engine.mLayers;
    for (const LayerRange& gap : current.Gaps()) {
      const int n = std::min(
          gap.Count(), engine.mCandidate.MaxLayersInShare(kMaxWeightShare));
      engine.mLayers = {gap.mFrom, gap.mFrom + n};
      const int edges = CoverageOf(aProfile, aPlaced).CountEdges();
      const int held = EvaluateZone(aProfile, aPlaced).mLayersHeld;
      const bool better = edges < fewestEdges ||
                          (edges == fewestEdges && !order.mInstance.empty() &&
                           held > maxLayersHeld);
      if (n > 0 && better) {
        fewestEdges = edges;
        maxLayersHeld = held;
        order = {engine.mCandidate.mRecord->mInstance, engine.mLayers};
      }
    }
    engine.mLayers = before;
  }
  return ToList(order);
}

std::vector<LayerOrder> Rebalance(const EngineProfile& aProfile,
                                  const std::vector<PlacedEngine>& aPlaced) {
  if (aPlaced.empty() || aProfile.mCapacityTokens <= 0) {
    return {};
  }
  const ZoneValue current = EvaluateZone(aProfile, aPlaced);
  if (current.mServedShare > 1 - kMinGainForLoad) {
    return {};
  }
  const LayerCoverage coverage = CoverageOf(aProfile, aPlaced);
  LayerOrder order;
  double bestGain = kMinGainForLoad;
  for (std::size_t i = 0; i < aPlaced.size(); i++) {
    const PlacedEngine& engine = aPlaced[i];
    if (!coverage.Holds(engine.mLayers, 2) || !IsFirstOfClass(aPlaced, i)) {
      continue;
    }
    std::vector<PlacedEngine> others = aPlaced;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    const LayerChoice choice =
        BestLayersFor(aProfile, engine.mCandidate, others);
    const double gain = choice.mValue.mServedShare - current.mServedShare;
    if (choice.mValue.mLayersHeld >= current.mLayersHeld && gain > bestGain) {
      bestGain = gain;
      order = {engine.mCandidate.mRecord->mInstance, choice.mLayers};
    }
  }
  return ToList(order);
}

}  // namespace spindleweir
