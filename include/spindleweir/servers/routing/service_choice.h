/// Chooses the upstream of a plain service.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// What an upstream is chosen by.
struct ServiceQuery {
  std::string mZone;  ///< Where the router is.
  std::vector<const UpstreamRecord*> mUpstreams;
  std::set<std::string> mAvoid;  ///< By instance; used where nothing else is.
  /// Requests under way at an upstream, of all routers as far as is known.
  std::function<double(const std::string&)> mRequestsOf;
  /// How often it failed lately, 0 to 1.
  std::function<double(const std::string&)> mFailuresOf;
  std::function<double()> mRandom;
};

/// The instance of the upstream that should take the request; empty: none.
std::string ChooseUpstream(const ServiceQuery& aQuestion);

}  // namespace spindleweir
