#include "spindleweir/servers/placement/layer_planner.h"

#include <algorithm>
#include <map>

#include "servers/placement/layer_groups.h"
#include "servers/placement/layer_pipelines.h"
#include "servers/placement/zone_cells.h"
#include "servers/placement/zone_repair.h"
#include "servers/placement/zone_value.h"

namespace spindleweir {

namespace {

/// Factors on the tokens that a zone should have capacity for; groups are
/// planned with each of them. Less capacity lets more engines share their
/// layers.
constexpr double kCapacityFactors[] = {1.3, 1.15, 1.0, 0.85,
                                       0.7, 0.55, 0.4, 0.25};

/// Engines of a zone that are placed one by one in a plan; the next plan places
/// the others. Each takes up to 3 ms of CPU time, during which the leader can't
/// answer voters.
constexpr std::size_t kMaxPlacementsPerPlan = 8;

/// The engines of a zone, by whether they hold layers.
struct Zone {
  CandidateEngines mWithLayers;
  CandidateEngines mWithoutLayers;
  bool mOrderInFlight = false;  ///< An engine carries out an order.
};

/// The layers that aOrders assign to an engine; empty if none.
LayerRange AssignedLayers(const std::vector<LayerOrder>& aOrders,
                          const CandidateEngine& aEngine) {
  for (const LayerOrder& order : aOrders) {
    if (order.mInstance == aEngine.mRecord->mInstance) {
      return order.mLayers;
    }
  }
  return {};
}

/// Orders for an empty zone or cell, and the value of the zone with them.
struct LayerAssignment {
  std::vector<LayerOrder> mOrders;
  ZoneValue mValue;
};

/// Places the engines that aOrders leave without layers, and evaluates the
/// result.
LayerAssignment CompleteAssignment(const EngineProfile& aProfile,
                                   const CandidateEngines& aEngines,
                                   std::vector<LayerOrder> aOrders) {
  LayerAssignment assignment{.mOrders = std::move(aOrders), .mValue = {}};
  std::vector<PlacedEngine> placed;
  CandidateEngines unplaced;
  for (const CandidateEngine& engine : aEngines) {
    const LayerRange layers = AssignedLayers(assignment.mOrders, engine);
    if (layers.Count() > 0) {
      placed.push_back({engine, layers});
    } else {
      unplaced.push_back(engine);
    }
  }
  for (const CandidateEngine& engine : unplaced) {
    assignment.mOrders.push_back(PlaceEmptyEngine(aProfile, engine, placed));
  }
  assignment.mValue = EvaluateZone(aProfile, placed);
  return assignment;
}

/// Assigns layers to the engines of a cell in which no engine holds any.
std::vector<LayerOrder> PlanEmptyCell(const EngineProfile& aProfile,
                                      const CandidateEngines& aEngines) {
  LayerAssignment best = CompleteAssignment(
      aProfile, aEngines, PlanPipelines(aEngines, aProfile.mLayers));
  if (aProfile.mCapacityTokens <= 0) {
    return best.mOrders;
  }
  for (double factor : kCapacityFactors) {
    std::vector<LayerOrder> orders =
        PlanGroups(aProfile, aEngines, factor * aProfile.mCapacityTokens);
    if (orders.empty()) {
      continue;
    }
    LayerAssignment assignment =
        CompleteAssignment(aProfile, aEngines, std::move(orders));
    if (assignment.mValue > best.mValue) {
      best = std::move(assignment);
    }
  }
  return best.mOrders;
}

std::vector<LayerOrder> PlanZone(const EngineProfile& aProfile, Zone aZone) {
  std::sort(aZone.mWithoutLayers.begin(), aZone.mWithoutLayers.end(),
            [](const CandidateEngine& aLeft, const CandidateEngine& aRight) {
              if (aLeft.mKind->mStepFactor != aRight.mKind->mStepFactor) {
                return aLeft.mKind->mStepFactor < aRight.mKind->mStepFactor;
              }
              return aLeft.mRecord->mInstance < aRight.mRecord->mInstance;
            });
  std::vector<LayerOrder> orders;
  const std::vector<CandidateEngines> cells =
      DivideIntoCells(aProfile, aZone.mWithoutLayers);
  if (aZone.mWithLayers.empty() || cells.size() > 1) {
    // This many new engines form complete cells of their own, independent of
    // the layers that other engines hold.
    for (const CandidateEngines& cell : cells) {
      for (const LayerOrder& order : PlanEmptyCell(aProfile, cell)) {
        orders.push_back(order);
      }
    }
    return orders;
  }
  std::vector<PlacedEngine> placed;
  for (const CandidateEngine& engine : aZone.mWithLayers) {
    placed.push_back({engine, engine.mRecord->mLayers});
  }
  for (const CandidateEngine& engine : aZone.mWithoutLayers) {
    if (orders.size() == kMaxPlacementsPerPlan) {
      return orders;
    }
    orders.push_back(PlaceEmptyEngine(aProfile, engine, placed));
  }
  if (orders.empty()) {
    orders = FillGaps(aProfile, placed);
  }
  if (orders.empty() && !aZone.mOrderInFlight) {
    orders = MergeGaps(aProfile, placed);
  }
  if (orders.empty() && !aZone.mOrderInFlight) {
    orders = Rebalance(aProfile, placed);
  }
  return orders;
}

}  // namespace

std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines) {
  std::map<std::string, Zone> zones;
  for (const UpstreamRecord* record : aEngines) {
    const AcceleratorKind* kind = aProfile.FindKind(record->mKind);
    if (kind == nullptr || record->mState != UpstreamState::kReady) {
      continue;
    }
    const CandidateEngine engine{record, kind,
                                 EngineModel(aProfile, *kind).MaxLayers()};
    if (engine.mMaxLayers <= 0) {
      continue;
    }
    Zone& zone = zones[record->mZone];
    zone.mOrderInFlight = zone.mOrderInFlight || record->mBusy;
    // A range beyond the model's layers belongs to other weights.
    const bool holds =
        record->mLayers.Count() > 0 && record->mLayers.mTo <= aProfile.mLayers;
    (holds ? zone.mWithLayers : zone.mWithoutLayers).push_back(engine);
  }
  std::vector<LayerOrder> orders;
  for (const auto& [name, zone] : zones) {
    for (const LayerOrder& order : PlanZone(aProfile, zone)) {
      orders.push_back(order);
    }
  }
  return orders;
}

}  // namespace spindleweir
