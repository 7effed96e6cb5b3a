/// Divides what the engines of one zone can carry into whole paths: how many
/// requests a second each path takes beside the others. It depends on what
/// engines hold and how slow they are, not on what they have to do at the
/// moment.
#pragma once

#include <vector>

#include "spindleweir/servers/routing/layer_path.h"

namespace spindleweir {

/// A path with its share of its zone's work.
struct PathShare {
  LayerPath mPath;
  double mMaxRequests = 0;    ///< Requests that may be on it at a time.
  double mRequestMillis = 0;  ///< That a usual request is on it.
  double mSlowdown = 1;  ///< Times as long as if all its engines were well.

  /// Requests a millisecond.
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
