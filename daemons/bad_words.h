/// Counts and logs word of upstreams that cannot be used.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/counters.h"
#include "spindleweir/servers/membership/upstream_check.h"

namespace spindleweir {

/// One per process. Each word counts under `bad_upstream_words` by where it
/// came in and by its result; a log line tells one of many.
class BadWords {
 public:
  explicit BadWords(Counters& aCounters) : mCounters(aCounters) {}

  /// aAt: where it came in: "heartbeat", "news", "disk" or "report".
  void Note(const char* aAt, const std::string& aInstance, const Error& aWhy);
  /// The same as a hook.
  BadRowHook At(const char* aAt);
  /// The records of a packed list; none where it cannot be read at all.
  std::vector<UpstreamRecord> Unpack(const char* aAt, std::string_view aPacked);

 private:
  Counters& mCounters;
  std::map<std::string, BadWordPace> mPaces;  ///< By labels.
};

}  // namespace spindleweir
