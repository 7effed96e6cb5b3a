#include "spindleweir/servers/routes/traffic_configuration.h"

#include <algorithm>
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
  std::set<std::string> places;
  for (const TrafficRoute& route : aConfiguration.mRoutes) {
    CheckRoute(aConfiguration, route);
    if (!places.insert(route.mHost + route.mPrefix).second) {
      Reject("two routes match the host " + route.mHost + " and the prefix " +
             route.mPrefix);
    }
  }
  std::map<std::string, std::string> owners;
  for (const TrafficWorkspace& workspace : aConfiguration.mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      const auto [it, fresh] = owners.emplace(key, workspace.mName);
      if (!fresh && it->second != workspace.mName) {
        Reject("workspaces " + it->second + " and " + workspace.mName +
               " share a key");
      }
    }
  }
}

}  // namespace spindleweir
