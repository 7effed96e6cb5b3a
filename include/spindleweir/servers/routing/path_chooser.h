/// Chooses paths where many routers choose at the same moment and hear of each
/// other's choices late.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/path_shares.h"

namespace spindleweir {

/// What is known of the news that a choice is made by.
struct ChoiceContext {
  /// Requests that other routers of all zones may have begun since the loads
  /// that are known were true.
  double mUnreportedRequests = 0;
  std::int64_t mRevision = 0;  ///< Of the engines and their paces.
  Millis mNow = 0;
};

/// The choice of one router for one service. The cheapest path is right as long
/// as few others can have taken it unseen. Where more may have come than it has
/// places, all would go the same way until they hear of it: then most requests
/// are dealt over all paths of the zone that are not full, by what each can
/// carry.
///
/// 195 routers with news that is 1 s old, 490 requests a second: the cheapest
/// for all gets 0.52 of the requests refused, this one none
/// (spindleweir-bench choice).
class PathChooser {
 public:
  PathResult Choose(const PathQuery& aQuery, const ChoiceContext& aContext);

 private:
  /// The paths of one zone, and what they were made from.
  struct ZonePaths {
    std::vector<PathShare> mPaths;
    std::int64_t mRevision = -1;
    Millis mDividedAt = 0;
  };

  const std::vector<PathShare>& PathsOfZone(const PathQuery& aQuery,
                                            const std::string& aZone,
                                            const ChoiceContext& aContext);
  PathResult DrawByWeight(const PathQuery& aQuery,
                          const ChoiceContext& aContext);

  std::map<std::string, ZonePaths> mZones;
};

}  // namespace spindleweir
