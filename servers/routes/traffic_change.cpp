#include "spindleweir/servers/routes/traffic_change.h"

#include <algorithm>
#include <map>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

/// A router that is further behind receives the full configuration.
constexpr std::size_t kMaxStoredChanges = 32;

/// 100 routes are about 0.3 MB as a parsed JSON tree.
constexpr std::size_t kRoutesPerChunk = 100;

/// One chunk of an update's routes.
struct RouteChunk {
  std::vector<TrafficRoute> mRoutes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("routes", mRoutes);
  }
};

/// Routes by host and prefix, which are unique in a configuration.
using RoutesByPattern = std::map<RoutePattern, const TrafficRoute*>;

RoutesByPattern ByPattern(const std::vector<TrafficRoute>& aRoutes) {
  RoutesByPattern patterns;
  for (const TrafficRoute& route : aRoutes) {
    patterns[route.Pattern()] = &route;
  }
  return patterns;
}

template <class T>
std::string Packed(const T& aContent) {
  return Pack(DumpJson(ToJson(aContent)));
}

/// An update that holds a configuration or a change.
template <class T>
TrafficUpdate MakeUpdate(std::int64_t aBaseVersion, T aContent) {
  TrafficUpdate update{.mBaseVersion = aBaseVersion,
                       .mVersion = aContent.mVersion};
  RouteChunk chunk;
  for (TrafficRoute& route : aContent.mRoutes) {
    chunk.mRoutes.push_back(std::move(route));
    if (chunk.mRoutes.size() == kRoutesPerChunk) {
      update.mRouteChunks.push_back(Packed(chunk));
      chunk.mRoutes.clear();
    }
  }
  if (!chunk.mRoutes.empty()) {
    update.mRouteChunks.push_back(Packed(chunk));
  }
  aContent.mRoutes.clear();
  update.mPacked = Packed(aContent);
  return update;
}

/// Appends the routes of a packed chunk.
void AppendRoutes(const std::string& aPacked,
                  std::vector<TrafficRoute>& aRoutes) {
  const std::string text = Unpack(aPacked, kMaxUnpackedBytes);
  auto chunk = FromJson<RouteChunk>(ParseJson(text));
  for (TrafficRoute& route : chunk.mRoutes) {
    aRoutes.push_back(std::move(route));
  }
}

/// The configuration or change of an update, with its routes.
template <class T>
T ReadContent(const TrafficUpdate& aUpdate) {
  T content =
      FromJson<T>(ParseJson(Unpack(aUpdate.mPacked, kMaxUnpackedBytes)));
  for (const std::string& chunk : aUpdate.mRouteChunks) {
    AppendRoutes(chunk, content.mRoutes);
  }
  return content;
}

}  // namespace

TrafficChange ChangeBetween(const TrafficConfiguration& aBase,
                            const TrafficConfiguration& aNext) {
  TrafficChange change;
  change.mBaseVersion = aBase.mVersion;
  change.mVersion = aNext.mVersion;
  change.mLimits = aNext.mLimits;
  const RoutesByPattern before = ByPattern(aBase.mRoutes);
  const RoutesByPattern after = ByPattern(aNext.mRoutes);
  for (const auto& [pattern, route] : before) {
    if (!after.contains(pattern)) {
      change.mRemoved.push_back(pattern);
    }
  }
  for (const auto& [pattern, route] : after) {
    const auto it = before.find(pattern);
    if (it == before.end() || *it->second != *route) {
      change.mRoutes.push_back(*route);
    }
  }
  if (aBase.mServices != aNext.mServices) {
    change.mServices = aNext.mServices;
    change.mRemovesServices = aNext.mServices.empty();
  }
  const bool sameKeys = aBase.mWorkspaces == aNext.mWorkspaces &&
                        aBase.NeedsKeys() == aNext.NeedsKeys();
  if (!sameKeys) {
    change.mWorkspaces = aNext.mWorkspaces;
    change.mRemovesWorkspaces = aNext.mWorkspaces.empty();
    change.mStatesWorkspaces = aNext.mStatesWorkspaces;
  }
  return change;
}

TrafficConfiguration ApplyTrafficChange(const TrafficConfiguration& aBase,
                                        const TrafficChange& aChange) {
  if (aBase.mVersion != aChange.mBaseVersion) {
    throw Error(
        ResultCode::kBadConfiguration,
        "a change based on version " + std::to_string(aChange.mBaseVersion) +
            " does not apply to version " + std::to_string(aBase.mVersion));
  }
  TrafficConfiguration next;
  next.mVersion = aChange.mVersion;
  next.mLimits = aChange.mLimits;
  const bool sameServices =
      aChange.mServices.empty() && !aChange.mRemovesServices;
  next.mServices = sameServices ? aBase.mServices : aChange.mServices;
  const bool sameKeys =
      aChange.mWorkspaces.empty() && !aChange.mRemovesWorkspaces;
  next.mWorkspaces = sameKeys ? aBase.mWorkspaces : aChange.mWorkspaces;
  next.mStatesWorkspaces =
      sameKeys ? aBase.mStatesWorkspaces : aChange.mStatesWorkspaces;
  RoutesByPattern routes = ByPattern(aBase.mRoutes);
  for (const RoutePattern& pattern : aChange.mRemoved) {
    routes.erase(pattern);
  }
  for (const TrafficRoute& route : aChange.mRoutes) {
    routes[route.Pattern()] = &route;
  }
  next.mRoutes.reserve(routes.size());
  for (const auto& [pattern, route] : routes) {
    next.mRoutes.push_back(*route);
  }
  return next;
}

TrafficConfiguration ApplyTrafficUpdate(const TrafficConfiguration* aCurrent,
                                        const TrafficUpdate& aUpdate) {
  if (aUpdate.mBaseVersion == 0) {
    return ReadContent<TrafficConfiguration>(aUpdate);
  }
  const auto change = ReadContent<TrafficChange>(aUpdate);
  return ApplyTrafficChange(
      aCurrent == nullptr ? TrafficConfiguration{} : *aCurrent, change);
}

void TrafficHistory::Add(TrafficConfiguration aNext) {
  if (aNext.mVersion <= mCurrent.mVersion) {
    return;
  }
  if (mCurrent.mVersion > 0) {
    mChanges.push_back(
        MakeUpdate(mCurrent.mVersion, ChangeBetween(mCurrent, aNext)));
  }
  if (mChanges.size() > kMaxStoredChanges) {
    mChanges.pop_front();
  }
  mCurrent = std::move(aNext);
  mFullUpdate = {};
}

std::vector<TrafficUpdate> TrafficHistory::UpdatesSince(std::int64_t aVersion) {
  if (aVersion >= mCurrent.mVersion) {
    return {};
  }
  const auto it = std::find_if(mChanges.begin(), mChanges.end(),
                               [aVersion](const TrafficUpdate& aUpdate) {
                                 return aUpdate.mBaseVersion == aVersion;
                               });
  if (it != mChanges.end()) {
    return {it, mChanges.end()};
  }
  if (mFullUpdate.mVersion != mCurrent.mVersion) {
    mFullUpdate = MakeUpdate(0, mCurrent);
  }
  return {mFullUpdate};
}

}  // namespace spindleweir
