/// A snapshot of an accepted configuration, indexed for requests.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// Immutable: a request keeps the snapshot it began with.
class RouteTable {
 public:
  explicit RouteTable(TrafficConfiguration aConfiguration);

  const TrafficConfiguration& Configuration() const { return mConfiguration; }
  std::int64_t Version() const { return mConfiguration.mVersion; }

  /// The route of the host (a port after it is dropped) whose prefix is the
  /// longest that begins the target's path; nullptr: none.
  const TrafficRoute* FindRoute(std::string_view aHost,
                                std::string_view aTarget) const;
  /// The workspace that holds a key; nullptr: none.
  const TrafficWorkspace* FindWorkspace(const std::string& aKey) const;
  const TrafficService* FindService(const std::string& aName) const;
  /// Whether callers must show a key where a route is not open.
  bool NeedsKeys() const { return !mConfiguration.mWorkspaces.empty(); }

 private:
  TrafficConfiguration mConfiguration;
  /// Routes of a host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const TrafficRoute*>> mByHost;
  std::unordered_map<std::string, const TrafficWorkspace*> mByKey;
  std::unordered_map<std::string, const TrafficService*> mServices;
};

}  // namespace spindleweir
