/// Turns an intent and the engines there are into a plan.
#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/configuration/configuration.h"
#include "spindleweir/servers/placement/engine_report.h"

namespace spindleweir {

/// What the planner looks at.
struct PlacementInput {
  const Intent& mIntent;
  /// The accepted configuration: its placement is kept where it is good.
  const Configuration& mCurrent;
  std::span<const EngineReport> mEngines;  ///< Those that answer.
  /// Engines that must get no stage: drained, leaving or dead.
  const std::set<std::string>& mUnusable;
  /// How much worse than the best the present placement may be before stages
  /// move: moving costs load time and cache.
  double mHysteresis = 0.1;
};

/// The placement, what it changes, gives and lacks. Ids and times are the
/// caller's to fill in.
Plan MakePlan(const PlacementInput& aInput);

}  // namespace spindleweir
