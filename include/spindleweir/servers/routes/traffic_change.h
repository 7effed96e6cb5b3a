/// What differs between two accepted versions, so that a router that holds
/// the one comes to the other by little.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// The way from one version to the next that was accepted after it.
struct TrafficChange {
  std::int64_t mBaseVersion = 0;  ///< The version that it is applied to.
  std::int64_t mVersion = 0;
  std::vector<RoutePattern> mRemoved;
  std::vector<TrafficRoute> mRoutes;  ///< New, or with other content.
  /// Each of these lists is whole, and empty where it stays as it is.
  std::vector<TrafficService> mServices;
  std::vector<TrafficWorkspace> mWorkspaces;
  bool mRemovesWorkspaces = false;  ///< No workspaces any more.
  TrafficLimits mLimits;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("base", mBaseVersion);
    aCodec.Required("version", mVersion);
    aCodec.Field("removed", mRemoved);
    aCodec.Field("routes", mRoutes);
    aCodec.Field("services", mServices);
    aCodec.Field("workspaces", mWorkspaces);
    aCodec.Field("opens", mRemovesWorkspaces);
    aCodec.Field("limits", mLimits);
  }
};

TrafficChange ChangeBetween(const TrafficConfiguration& aBase,
                            const TrafficConfiguration& aNext);

/// The version after the change. Throws kBadConfiguration where the change is
/// of another base.
TrafficConfiguration ApplyTrafficChange(const TrafficConfiguration& aBase,
                                        const TrafficChange& aChange);

/// One piece of news for a router, packed once for all.
struct TrafficUpdate {
  std::int64_t mBaseVersion = 0;  ///< 0: mPacked is a whole configuration.
  std::int64_t mVersion = 0;
  /// A TrafficChange or TrafficConfiguration without its routes, as JSON.
  std::string mPacked;
  /// Its routes, in pieces that are read one after the other: as one text,
  /// 1,200 routes took a router 5 MB more while they were read.
  std::vector<std::string> mRoutes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("base", mBaseVersion);
    aCodec.Required("version", mVersion);
    aCodec.Required("packed", mPacked);
    aCodec.Field("routes", mRoutes);
  }
};

/// The configuration after a piece of news; aCurrent may be nullptr. Throws
/// kBadConfiguration where it does not follow on what is held.
TrafficConfiguration ApplyTrafficUpdate(const TrafficConfiguration* aCurrent,
                                        const TrafficUpdate& aUpdate);

/// The newest version of a control process, and the last ways to it.
class TrafficHistory {
 public:
  const TrafficConfiguration& Current() const { return mCurrent; }
  /// Takes a newer version.
  void Add(TrafficConfiguration aNext);
  /// What brings a router from a version to the newest, in order; empty where
  /// it is as new.
  std::vector<TrafficUpdate> UpdatesSince(std::int64_t aVersion);

 private:
  TrafficConfiguration mCurrent;
  std::deque<TrafficUpdate> mChanges;  ///< Oldest first.
  TrafficUpdate mFullUpdate;           ///< Made when it is asked for.
};

}  // namespace spindleweir
