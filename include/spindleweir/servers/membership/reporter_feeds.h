/// Changes of upstreams from control to control.
#pragma once

#include <map>
#include <set>
#include <string>

#include "spindleweir/servers/membership/upstream_feed.h"

namespace spindleweir {

/// Feeds of a registry, one for each reporter of changes. A control sends
/// another one what it received from upstreams and routers itself, and of what
/// other controls reported to it only what the poller does not receive from
/// them: with C controls, each change would otherwise reach each control C - 1
/// times.
class ReporterFeeds {
 public:
  /// What a poller that knows revision aKnown lacks. aAnswering: the
  /// incarnations of the controls that answer the poller.
  FeedUpdates UpdatesSince(const UpstreamRegistry& aRegistry,
                           std::int64_t aKnown,
                           const std::set<std::string>& aAnswering,
                           Millis aNow);

 private:
  UpstreamFeed& FeedOf(const std::string& aReporter);

  std::map<std::string, UpstreamFeed> mFeeds;  ///< By reporter; "": own.
};

}  // namespace spindleweir
