/// Chooses an upstream of a plain service.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Input of ChooseUpstream().
struct ServiceQuery {
  std::string mZone;  ///< Of the router.
  std::vector<const UpstreamRecord*> mUpstreams;
  std::set<std::string> mAvoid;  ///< By instance; used only as a last resort.
  /// Returns the known requests in progress at an upstream, of all routers.
  std::function<double(const std::string&)> mRequestsOf;
  /// Returns its recent failure rate, 0 to 1.
  std::function<double(const std::string&)> mFailuresOf;
  std::function<double()> mRandom;
};

/// Returns the instance of the upstream for the request; empty if there is
/// none.
std::string ChooseUpstream(const ServiceQuery& aQuery);

}  // namespace spindleweir
