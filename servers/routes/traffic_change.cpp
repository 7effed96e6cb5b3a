#include "spindleweir/servers/routes/traffic_change.h"

#include <algorithm>
#include <map>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

/// Changes kept; a router that lacks more of them takes the whole.
constexpr std::size_t kChangesKept = 32;

/// Routes of one piece of news: 100 are about 0.3 MB as a tree of JSON.
constexpr std::size_t kRoutesInPiece = 100;

/// One piece.
struct RoutePiece {
  std::vector<TrafficRoute> mRoutes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("routes", mRoutes);
  }
};

/// Routes by where they stand, which differs for all of a configuration.
using RoutesByPlace = std::map<RoutePlace, const TrafficRoute*>;

RoutesByPlace ByPlace(const std::vector<TrafficRoute>& aRoutes) {
  RoutesByPlace places;
  for (const TrafficRoute& route : aRoutes) {
    places[route.Place()] = &route;
  }
  return places;
}

template <class T>
std::string Packed(const T& aMessage) {
  return Pack(DumpJson(ToJson(aMessage)));
}

/// News of a configuration or of a change.
template <class T>
TrafficNews NewsOf(std::int64_t aBase, T aMessage) {
  TrafficNews news{.mBase = aBase, .mVersion = aMessage.mVersion};
  RoutePiece piece;
  for (TrafficRoute& route : aMessage.mRoutes) {
    piece.mRoutes.push_back(std::move(route));
    if (piece.mRoutes.size() == kRoutesInPiece) {
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
void AddRoutes(const std::string& aPacked, std::vector<TrafficRoute>& aRoutes) {
  const std::string text = Unpack(aPacked, kMostUnpacked);
  auto piece = FromJson<RoutePiece>(ParseJson(text));
  for (TrafficRoute& route : piece.mRoutes) {
    aRoutes.push_back(std::move(route));
  }
}

/// A message with the routes of its pieces.
template <class T>
T ReadMessage(const TrafficNews& aNews) {
  T message = FromJson<T>(ParseJson(Unpack(aNews.mPacked, kMostUnpacked)));
  for (const std::string& piece : aNews.mRoutes) {
    AddRoutes(piece, message.mRoutes);
  }
  return message;
}

}  // namespace

TrafficChange ChangeBetween(const TrafficConfiguration& aBase,
                            const TrafficConfiguration& aNext) {
  TrafficChange change;
  change.mBase = aBase.mVersion;
  change.mVersion = aNext.mVersion;
  change.mLimits = aNext.mLimits;
  const RoutesByPlace before = ByPlace(aBase.mRoutes);
  const RoutesByPlace after = ByPlace(aNext.mRoutes);
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
    change.mOpens = aNext.mWorkspaces.empty();
  }
  return change;
}

TrafficConfiguration Changed(const TrafficConfiguration& aBase,
                             const TrafficChange& aChange) {
  if (aBase.mVersion != aChange.mBase) {
    throw Error(ResultCode::kBadConfiguration,
                "a change of version " + std::to_string(aChange.mBase) +
                    " for version " + std::to_string(aBase.mVersion));
  }
  TrafficConfiguration next;
  next.mVersion = aChange.mVersion;
  next.mLimits = aChange.mLimits;
  next.mServices =
      aChange.mServices.empty() ? aBase.mServices : aChange.mServices;
  const bool sameKeys = aChange.mWorkspaces.empty() && !aChange.mOpens;
  next.mWorkspaces = sameKeys ? aBase.mWorkspaces : aChange.mWorkspaces;
  RoutesByPlace routes = ByPlace(aBase.mRoutes);
  for (const RoutePlace& place : aChange.mRemoved) {
    routes.erase(place);
  }
  for (const TrafficRoute& route : aChange.mRoutes) {
    routes[route.Place()] = &route;
  }
  next.mRoutes.reserve(routes.size());
  for (const auto& [place, route] : routes) {
    next.mRoutes.push_back(*route);
  }
  return next;
}

TrafficConfiguration ReadNews(const TrafficConfiguration* aHeld,
                              const TrafficNews& aNews) {
  if (aNews.mBase == 0) {
    return ReadMessage<TrafficConfiguration>(aNews);
  }
  const auto change = ReadMessage<TrafficChange>(aNews);
  return Changed(aHeld == nullptr ? TrafficConfiguration{} : *aHeld, change);
}

void TrafficHistory::Take(TrafficConfiguration aNext) {
  if (aNext.mVersion <= mCurrent.mVersion) {
    return;
  }
  if (mCurrent.mVersion > 0) {
    mChanges.push_back(
        NewsOf(mCurrent.mVersion, ChangeBetween(mCurrent, aNext)));
  }
  if (mChanges.size() > kChangesKept) {
    mChanges.pop_front();
  }
  mCurrent = std::move(aNext);
  mWhole = {};
}

std::vector<TrafficNews> TrafficHistory::NewsSince(std::int64_t aVersion) {
  if (aVersion >= mCurrent.mVersion) {
    return {};
  }
  const auto it = std::find_if(
      mChanges.begin(), mChanges.end(),
      [aVersion](const TrafficNews& aNews) { return aNews.mBase == aVersion; });
  if (it != mChanges.end()) {
    return {it, mChanges.end()};
  }
  if (mWhole.mVersion != mCurrent.mVersion) {
    mWhole = NewsOf(0, mCurrent);
  }
  return {mWhole};
}

}  // namespace spindleweir
