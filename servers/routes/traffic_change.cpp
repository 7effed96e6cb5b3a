#include "spindleweir/servers/routes/traffic_change.h"

#include <algorithm>
#include <map>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

/// Changes kept; a router that lacks more of them takes the whole.
constexpr std::size_t kMaxStoredChanges = 32;

/// Routes of one piece of news: 100 are about 0.3 MB as a tree of JSON.
constexpr std::size_t kRoutesPerChunk = 100;

/// One piece.
struct RouteChunk {
  std::vector<TrafficRoute> mRoutes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("routes", mRoutes);
  }
};

/// Routes by where they stand, which differs for all of a configuration.
using RoutesByPattern = std::map<RoutePattern, const TrafficRoute*>;

RoutesByPattern ByPattern(const std::vector<TrafficRoute>& aRoutes) {
  RoutesByPattern places;
  for (const TrafficRoute& route : aRoutes) {
    places[route.Pattern()] = &route;
  }
  return places;
}

template <class T>
std::string Packed(const T& aMessage) {
  return Pack(DumpJson(ToJson(aMessage)));
}

/// News of a configuration or of a change.
template <class T>
TrafficUpdate MakeUpdate(std::int64_t aBase, T aMessage) {
  TrafficUpdate news{.mBaseVersion = aBase, .mVersion = aMessage.mVersion};
  RouteChunk piece;
  for (TrafficRoute& route : aMessage.mRoutes) {
    piece.mRoutes.push_back(std::move(route));
    if (piece.mRoutes.size() == kRoutesPerChunk) {
      news.mRoutes.push_back(Packed(piece));
      piece.mRoutes.clear();
    }
  }
  if (!piece.mRoutes.empty()) {
    news.mRoutes.push_back(Packed(piece));
  }
  aMessage.mRoutes.clear();
  news.mPacked = Packed(aMessage);
  return news;
}

/// The routes of a piece, at the end of those before.
void AppendRoutes(const std::string& aPacked,
                  std::vector<TrafficRoute>& aRoutes) {
  const std::string text = Unpack(aPacked, kMostUnpacked);
  auto piece = FromJson<RouteChunk>(ParseJson(text));
  for (TrafficRoute& route : piece.mRoutes) {
    aRoutes.push_back(std::move(route));
  }
}

/// A message with the routes of its pieces.
template <class T>
T ReadMessage(const TrafficUpdate& aUpdate) {
  T message = FromJson<T>(ParseJson(Unpack(aUpdate.mPacked, kMostUnpacked)));
  for (const std::string& piece : aUpdate.mRoutes) {
    AppendRoutes(piece, message.mRoutes);
  }
  return message;
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
  for (const auto& [place, route] : before) {
    if (!after.contains(place)) {
      change.mRemoved.push_back(place);
    }
  }
  for (const auto& [place, route] : after) {
    const auto it = before.find(place);
    if (it == before.end() || *it->second != *route) {
      change.mRoutes.push_back(*route);
    }
  }
  if (aBase.mServices != aNext.mServices) {
    change.mServices = aNext.mServices;
  }
  if (aBase.mWorkspaces != aNext.mWorkspaces) {
    change.mWorkspaces = aNext.mWorkspaces;
    change.mRemovesWorkspaces = aNext.mWorkspaces.empty();
  }
  return change;
}

TrafficConfiguration ApplyTrafficChange(const TrafficConfiguration& aBase,
                                        const TrafficChange& aChange) {
  if (aBase.mVersion != aChange.mBaseVersion) {
    throw Error(ResultCode::kBadConfiguration,
                "a change of version " + std::to_string(aChange.mBaseVersion) +
                    " for version " + std::to_string(aBase.mVersion));
  }
  TrafficConfiguration next;
  next.mVersion = aChange.mVersion;
  next.mLimits = aChange.mLimits;
  next.mServices =
      aChange.mServices.empty() ? aBase.mServices : aChange.mServices;
  const bool sameKeys =
      aChange.mWorkspaces.empty() && !aChange.mRemovesWorkspaces;
  next.mWorkspaces = sameKeys ? aBase.mWorkspaces : aChange.mWorkspaces;
  RoutesByPattern routes = ByPattern(aBase.mRoutes);
  for (const RoutePattern& place : aChange.mRemoved) {
    routes.erase(place);
  }
  for (const TrafficRoute& route : aChange.mRoutes) {
    routes[route.Pattern()] = &route;
  }
  next.mRoutes.reserve(routes.size());
  for (const auto& [place, route] : routes) {
    next.mRoutes.push_back(*route);
  }
  return next;
}

TrafficConfiguration ApplyTrafficUpdate(const TrafficConfiguration* aCurrent,
                                        const TrafficUpdate& aUpdate) {
  if (aUpdate.mBaseVersion == 0) {
    return ReadMessage<TrafficConfiguration>(aUpdate);
  }
  const auto change = ReadMessage<TrafficChange>(aUpdate);
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
