/// Which control processes a router polls. Each router polls a few, in several
/// zones, so that the load on control grows with the number of routers and not
/// with routers times controls.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

/// Input of ChooseSources.
struct SourceChoiceInput {
  const ControlDirectory* mDirectory = nullptr;
  std::string mProcess;  ///< Hashed to spread routers over controls.
  std::string mZone;     ///< Of the router.
  /// When an address last failed to answer; only those that have not answered
  /// since.
  std::map<std::string, Millis> mFailedAt;
  Millis mNow = 0;
  /// A control that failed within this time is chosen only if there are too few
  /// others.
  Millis mFailureAvoidance = 3000;
  std::size_t mMaxSources = 3;  ///< Controls polled at a time.
};

/// The addresses to poll. The first receives the load reports; it is in the
/// router's zone if that has a control. The others are in as many other zones
/// as possible.
std::vector<Endpoint> ChooseSources(const SourceChoiceInput& aInput);

}  // namespace spindleweir
