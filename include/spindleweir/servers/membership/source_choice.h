/// Which control processes a router asks: a few, of several zones, so that
/// the work of control grows with the routers and not with routers times
/// controls.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

/// What a router chooses by.
struct SourceChoiceInput {
  const ControlDirectory* mDirectory = nullptr;
  std::string mProcess;  ///< Spreads the routers over the controls.
  std::string mZone;     ///< Of the router.
  /// When an address last failed to answer, where it has not answered since.
  std::map<std::string, Millis> mFailedAt;
  Millis mNow = 0;
  /// One that failed so lately is asked only where too few others are left.
  Millis mFailureAvoidance = 3000;
  std::size_t mMaxSources = 3;  ///< Controls asked at a time.
};

/// The addresses to ask, the one that is told of loads first: one of the own
/// zone where there is one, then of as many other zones as there are.
std::vector<Endpoint> ChooseSources(const SourceChoiceInput& aQuestion);

}  // namespace spindleweir
