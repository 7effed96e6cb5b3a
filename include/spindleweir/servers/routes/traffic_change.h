/// Differences between accepted versions of the traffic configuration. A router
/// with a recent version receives the changes since then instead of the full
/// configuration.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// The difference between a version and the next accepted one.
struct TrafficChange {
  std::int64_t mBaseVersion = 0;  ///< Version that the change applies to.
  std::int64_t mVersion = 0;
  std::vector<RoutePattern> mRemoved;
  std::vector<TrafficRoute> mRoutes;  ///< New or changed.
  /// Each list is complete, or empty if it did not change or if the new version
  /// has no such items; the flags tell these apart.
  std::vector<TrafficService> mServices;
  bool mRemovesServices = false;
  std::vector<TrafficWorkspace> mWorkspaces;
  bool mRemovesWorkspaces = false;
  bool mStatesWorkspaces = false;  ///< As in the new version, if they changed.
  TrafficLimits mLimits;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("base", mBaseVersion);
    aCodec.Required("version", mVersion);
    aCodec.Field("removed", mRemoved);
    aCodec.Field("routes", mRoutes);
    aCodec.Field("services", mServices);
    aCodec.Field("removes_services", mRemovesServices);
    aCodec.Field("workspaces", mWorkspaces);
    aCodec.Field("opens", mRemovesWorkspaces);
    aCodec.Field("states_workspaces", mStatesWorkspaces);
    aCodec.Field("limits", mLimits);
  }
};

/// The change that leads from aBase to aNext.
TrafficChange ChangeBetween(const TrafficConfiguration& aBase,
                            const TrafficConfiguration& aNext);

/// The version after the change. Throws kBadConfiguration if the change has a
/// different base version.
TrafficConfiguration ApplyTrafficChange(const TrafficConfiguration& aBase,
                                        const TrafficChange& aChange);

/// One update for routers: a change or a full configuration. It is packed once
/// and sent to all routers.
struct TrafficUpdate {
  std::int64_t mBaseVersion = 0;  ///< 0: mPacked is a full configuration.
  std::int64_t mVersion = 0;
  /// A TrafficChange or TrafficConfiguration without its routes, as packed
  /// JSON.
  std::string mPacked;
  /// Its routes, in packed chunks that are parsed one after another: a single
  /// text of 1,200 routes needs 5 MB more of a router's memory while parsed.
  std::vector<std::string> mRouteChunks;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("base", mBaseVersion);
    aCodec.Required("version", mVersion);
    aCodec.Required("packed", mPacked);
    aCodec.Field("routes", mRouteChunks);
  }
};

/// The configuration after an update; aCurrent may be nullptr if there is none
/// yet. Throws kBadConfiguration if the update does not apply to aCurrent.
TrafficConfiguration ApplyTrafficUpdate(const TrafficConfiguration* aCurrent,
                                        const TrafficUpdate& aUpdate);

/// The newest version that a control has, and the last changes that led to it.
class TrafficHistory {
 public:
  const TrafficConfiguration& Current() const { return mCurrent; }
  /// Adds a version; one that is not newer is ignored.
  void Add(TrafficConfiguration aNext);
  /// The updates that lead from a version to the newest, in order; empty if the
  /// version is the newest or newer. One full update if the changes since that
  /// version are not stored.
  std::vector<TrafficUpdate> UpdatesSince(std::int64_t aVersion);

 private:
  TrafficConfiguration mCurrent;
  std::deque<TrafficUpdate> mChanges;  ///< Oldest first.
  TrafficUpdate mFullUpdate;           ///< Made on request.
};

}  // namespace spindleweir
