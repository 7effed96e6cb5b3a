#include "spindleweir/servers/routes/traffic_configuration.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

[[noreturn]] void Reject(const std::string& aWhy) {
  throw Error(ResultCode::kBadConfiguration, aWhy);
}

void CheckRoute(const TrafficConfiguration& aConfiguration,
                const TrafficRoute& aRoute) {
  const std::string name = "route " + aRoute.mName;
  if (aRoute.mHost.empty()) {
    Reject(name + ": host is empty");
  }
  const bool slashes =
      aRoute.mPrefix.starts_with('/') && aRoute.mPrefix.ends_with('/');
  if (!slashes) {
    Reject(name + ": prefix must begin and end with a slash");
  }
  if (aRoute.mTimeout <= 0) {
    Reject(name + ": timeout must be above 0 ms");
  }
  if (aRoute.mTargets.empty()) {
    Reject(name + ": no target service");
  }
  double weights = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (aConfiguration.FindService(target.mService) == nullptr) {
      Reject(name + ": unknown target service " + target.mService);
    }
    if (target.mWeight < 0) {
      Reject(name + ": the weight of a target is below 0");
    }
    weights += target.mWeight;
  }
  if (weights <= 0) {
    Reject(name + ": the weights of the targets add up to 0");
  }
}

}  // namespace

std::string NormalizedHost(std::string_view aHost) {
  const std::size_t colon = aHost.rfind(':');
  // The colons of an IPv6 address stand in brackets.
  const bool hasPort = colon != std::string_view::npos &&
                       aHost.find(']', colon) == std::string_view::npos;
  std::string host(hasPort ? aHost.substr(0, colon) : aHost);
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char aByte) {
                   return static_cast<char>(std::tolower(aByte));
                 });
  return host;
}

const AcceleratorKind* EngineProfile::FindKind(const std::string& aName) const {
  for (const AcceleratorKind& kind : mKinds) {
    if (kind.mName == aName) {
      return &kind;
    }
  }
  return nullptr;
}

const TrafficService* TrafficConfiguration::FindService(
    const std::string& aName) const {
  for (const TrafficService& service : mServices) {
    if (service.mName == aName) {
      return &service;
    }
  }
  return nullptr;
}

void CheckTrafficConfiguration(const TrafficConfiguration& aConfiguration) {
  if (aConfiguration.mVersion <= 0) {
    Reject("the version must be above 0");
  }
  std::set<std::string> services;
  for (const TrafficService& service : aConfiguration.mServices) {
    if (service.mName.empty() || !services.insert(service.mName).second) {
      Reject("service \"" + service.mName +
             "\": names must be unique and not empty");
    }
  }
  std::set<RoutePattern> patterns;
  for (const TrafficRoute& route : aConfiguration.mRoutes) {
    CheckRoute(aConfiguration, route);
    const RoutePattern pattern{NormalizedHost(route.mHost), route.mPrefix};
    if (!patterns.insert(pattern).second) {
      Reject("two routes match the host " + route.mHost + " and the prefix " +
             route.mPrefix);
    }
  }
  // Names need not be unique: two of one name are two workspaces all the same.
  std::map<std::string, const TrafficWorkspace*> owners;
  for (const TrafficWorkspace& workspace : aConfiguration.mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      const auto [it, fresh] = owners.emplace(key, &workspace);
      if (!fresh && it->second != &workspace) {
        Reject("workspaces " + it->second->mName + " and " + workspace.mName +
               " share a key");
      }
    }
  }
}

}  // namespace spindleweir
