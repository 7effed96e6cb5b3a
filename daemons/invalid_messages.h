/// Counts and logs word of upstreams that cannot be used.
#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/counters.h"
#include "spindleweir/servers/membership/upstream_check.h"
#include "spindleweir/servers/membership/upstream_feed.h"
#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

/// One per process. Each word counts under `bad_upstream_words` by where it
/// came in and by its result; a log line tells one of many.
class InvalidMessages {
 public:
  explicit InvalidMessages(Counters& aCounters) : mCounters(aCounters) {}

  /// aAt: where it came in: "heartbeat", "news", "loads", "disk", "report".
  void Record(const char* aAt, const std::string& aInstance, const Error& aWhy);
  /// The same as a hook.
  InvalidRowHook HookFor(const char* aAt);
  /// The rows of a list that can be used; none where it cannot be read at all.
  std::vector<UpstreamRecord> Unpack(const char* aAt, std::string_view aPacked);
  /// The same of records as they were some time ago, with their ages of now.
  std::vector<UpstreamRecord> Unpack(const char* aAt,
                                     const UpstreamUpdate& aNews);
  std::vector<UpstreamHeartbeat> UnpackHeartbeats(const char* aAt,
                                                  const Json::Value& aTable);
  LoadShares UnpackLoadShares(const char* aAt, std::string_view aPacked);

 private:
  /// What aRead gives; nothing where it throws.
  template <class Rows>
  Rows RowsOf(const char* aAt, const std::function<Rows()>& aRead);

  Counters& mCounters;
  std::map<std::string, InvalidMessageLogLimiter> mPaces;  ///< By labels.
};

}  // namespace spindleweir
