/// Decides which orders bring a zone's engines to the accepted placement.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/configuration/configuration.h"
#include "spindleweir/servers/placement/engine_report.h"

namespace spindleweir {

enum class OrderKind { kLoad, kDrop };

/// An order to one engine.
struct EngineOrder {
  OrderKind mKind = OrderKind::kLoad;
  StagePlacement mStage;  ///< For kDrop only the engine counts.
  double mGain = 0;       ///< Tokens a second that it brings.
};

/// What the decision looks at.
struct OrderInput {
  std::span<const StagePlacement> mPlacement;  ///< Wanted in the zone.
  std::span<const EngineReport> mEngines;      ///< Of the zone.
  int mMaxLoads = 4;  ///< Loads at a time: the weights store is slow.
};

/// The orders to give now, the greatest gain first; loads under way count
/// against the maximum.
std::vector<EngineOrder> PlanOrders(const OrderInput& aInput);

}  // namespace spindleweir
