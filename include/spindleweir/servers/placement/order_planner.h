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
  StagePlacement mStage;  ///< For kDrop only engine and zone are set.
  double mGain = 0;       ///< Tokens per second that the load adds.
};

/// Input of PlanOrders().
struct OrderInput {
  std::span<const StagePlacement> mPlacement;  ///< The zone's accepted stages.
  std::span<const EngineReport> mEngines;      ///< The zone's engines.
  int mMaxLoads = 4;  ///< Concurrent loads: the weights store is slow.
};

/// Returns the orders to send now: first drops of unwanted weights, then loads,
/// one for the slowest stage at a time, the greatest gain first among equals.
/// Loads in progress count against mMaxLoads.
std::vector<EngineOrder> PlanOrders(const OrderInput& aInput);

}  // namespace spindleweir
