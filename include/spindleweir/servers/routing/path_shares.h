/// Divides the capacity of the engines of one zone into whole paths, each with
/// the request rate that it sustains beside the others. The result depends on
/// the layers and slowdowns of the engines, not on their current load.
#pragma once

#include <vector>

#include "spindleweir/servers/routing/layer_path.h"

namespace spindleweir {

/// A path with its share of the zone's capacity.
struct PathShare {
  LayerPath mPath;
  double mMaxRequests = 0;    ///< Concurrent requests.
  double mRequestMillis = 0;  ///< Duration of a typical request.
  double mSlowdown = 1;       ///< Relative to engines at normal speed.

  /// Sustained requests per millisecond.
  double Rate() const {
    return mRequestMillis <= 0 ? 0 : mMaxRequests / mRequestMillis;
  }
};

/// Repeatedly takes the fastest path, up to the capacity of its engines, from
/// the capacity that the previous paths left. aEngines: the usable engines of
/// one zone. aSlowdownOf: returns the slowdown factor of an engine; may be
/// empty (all normal).
std::vector<PathShare> DividePaths(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines,
    const std::function<double(const std::string&)>& aSlowdownOf = {});

}  // namespace spindleweir
