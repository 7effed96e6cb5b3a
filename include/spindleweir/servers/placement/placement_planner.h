/// Makes a plan from an intent and the available engines.
#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/configuration/configuration.h"
#include "spindleweir/servers/placement/engine_report.h"

namespace spindleweir {

/// Input of MakePlan().
struct PlacementInput {
  const Intent& mIntent;
  /// The accepted configuration. Its placement is kept if it is good enough.
  const Configuration& mCurrent;
  std::span<const EngineReport> mEngines;  ///< Engines that answer.
  /// Engines that must not get a stage: drained, leaving or dead.
  const std::set<std::string>& mUnusable;
  /// Share by which the current placement may be slower than the best one
  /// before stages move. A move costs load time and cached data.
  double mHysteresis = 0.1;
};

/// Returns the placement, its changes, capacity and shortages. The caller sets
/// ids and times.
Plan MakePlan(const PlacementInput& aInput);

}  // namespace spindleweir
