/// An accepted configuration, indexed to look up the route, service and
/// workspace of a request.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// Immutable: a request uses one table from its start to its end.
class RouteTable {
 public:
  explicit RouteTable(TrafficConfiguration aConfiguration);

  const TrafficConfiguration& Configuration() const { return mConfiguration; }
  std::int64_t Version() const { return mConfiguration.mVersion; }

  /// The route of the host (without its port) with the longest prefix of the
  /// target's path; nullptr if there is none, or if the path leads to another
  /// one once its dot segments are resolved.
  const TrafficRoute* FindRoute(std::string_view aHost,
                                std::string_view aTarget) const;
  /// The workspace of a key; nullptr if there is none.
  const TrafficWorkspace* FindWorkspace(const std::string& aKey) const;
  const TrafficService* FindService(const std::string& aName) const;
  /// Whether callers need a key on routes that are not public.
  bool NeedsKeys() const { return mConfiguration.NeedsKeys(); }

 private:
  TrafficConfiguration mConfiguration;
  /// Routes by host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const TrafficRoute*>> mByHost;
  std::unordered_map<std::string, const TrafficWorkspace*> mByKey;
  std::unordered_map<std::string, const TrafficService*> mServices;
};

}  // namespace spindleweir
