#include "spindleweir/servers/routes/route_table.h"

#include <algorithm>

#include "spindleweir/servers/routes/dot_segments.h"

namespace spindleweir {

RouteTable::RouteTable(TrafficConfiguration aConfiguration)
    : mConfiguration(std::move(aConfiguration)) {
  for (const TrafficRoute& route : mConfiguration.mRoutes) {
    mByHost[NormalizedHost(route.mHost)].push_back(&route);
  }
  for (auto& [host, routes] : mByHost) {
    std::sort(routes.begin(), routes.end(),
              [](const TrafficRoute* aLeft, const TrafficRoute* aRight) {
                return aLeft->mPrefix.size() > aRight->mPrefix.size();
              });
  }
  for (const TrafficWorkspace& workspace : mConfiguration.mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      // A request without a key has an empty one.
      if (!key.empty()) {
        mByKey[key] = &workspace;
      }
    }
  }
  for (const TrafficService& service : mConfiguration.mServices) {
    mServices[service.mName] = &service;
  }
}

const TrafficRoute* RouteTable::FindRoute(std::string_view aHost,
                                          std::string_view aTarget) const {
  const auto it = mByHost.find(NormalizedHost(aHost));
  if (it == mByHost.end()) {
    return nullptr;
  }
  const auto longest = [&routes = it->second](std::string_view aPath) {
    const auto found = std::find_if(routes.begin(), routes.end(),
                                    [aPath](const TrafficRoute* aRoute) {
                                      return aPath.starts_with(aRoute->mPrefix);
                                    });
    return found == routes.end() ? nullptr : *found;
  };
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const TrafficRoute* route = longest(path);
  if (!HasDotSegments(path)) {
    return route;
  }
  // The path goes on as it came. An upstream that resolves it would answer what
  // another route's callers need a key for.
  return longest(WithoutDotSegments(path)) == route ? route : nullptr;
}

const TrafficWorkspace* RouteTable::FindWorkspace(
    const std::string& aKey) const {
  const auto it = mByKey.find(aKey);
  return it == mByKey.end() ? nullptr : it->second;
}

const TrafficService* RouteTable::FindService(const std::string& aName) const {
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : it->second;
}

}  // namespace spindleweir
