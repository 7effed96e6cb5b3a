/// Counts and logs invalid messages about upstreams.
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

/// One per process. Each invalid message is counted under `bad_upstream_words`
/// by its source and error code; the log is rate limited.
class InvalidMessages {
 public:
  explicit InvalidMessages(Counters& aCounters) : mCounters(aCounters) {}

  /// Counts one invalid message of aInstance (empty: unknown). aSource:
  /// "heartbeat", "news", "loads", "crashes", "disk" or "report".
  void Record(const char* aSource, const std::string& aInstance,
              const Error& aWhy);
  /// A hook that calls Record() for each invalid row.
  InvalidRowHook HookFor(const char* aSource);
  /// The valid rows of a list; none if the list as a whole cannot be parsed.
  std::vector<UpstreamRecord> Unpack(const char* aSource,
                                     std::string_view aPacked);
  /// The same for records of some time ago; adds the update's age to theirs.
  std::vector<UpstreamRecord> Unpack(const char* aSource,
                                     const UpstreamUpdate& aUpdate);
  std::vector<UpstreamHeartbeat> UnpackHeartbeats(const char* aSource,
                                                  const Json::Value& aTable);
  LoadShares UnpackLoadShares(const char* aSource, std::string_view aPacked);

 private:
  /// Returns the result of aRead; an empty list if aRead throws.
  template <class Rows>
  Rows ReadOrRecord(const char* aSource, const std::function<Rows()>& aRead);

  Counters& mCounters;
  std::map<std::string, InvalidMessageLogLimiter> mLogLimiters;  ///< By labels.
};

}  // namespace spindleweir
