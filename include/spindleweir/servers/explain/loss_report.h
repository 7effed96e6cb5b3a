/// Counts the outcomes of all requests in the logs of all processes: how many
/// were lost or late, by cause, zone, route and time.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// Why a request was not served in time.
enum class LossCause {
  kNone,             ///< Served in time.
  kNoPath,           ///< The configuration allows no available upstream.
  kNoRoom,           ///< All suitable upstreams were full.
  kNoLease,          ///< Control no longer confirmed the configuration.
  kNoConfiguration,  ///< The router had no configuration yet.
  kDeadline,         ///< The caller's deadline passed.
  kNotAllowed,       ///< Unknown key or route: not a fault of the system.
  kOtherRefusal,
  kBrokenOff,       ///< The stream broke and could not be resumed.
  kUpstreamFailed,  ///< The upstream ran it and answered an error.
  kRouterEnded,     ///< A planned stop ended it after the grace time.
  kCallerGone,
  kFirstLate,  ///< Late: the first event.
  kResumed,    ///< Late: broke, and another attempt resumed it.
  kMoved,      ///< Late: moved to other engines.
  kSlow,       ///< Late without a break or move.
};

/// Limits in milliseconds above which an answer counts as late.
struct LatencyLimits {
  std::int64_t mFirstEventMs = 500;  ///< From the request on.
  std::int64_t mPauseMs = 200;       ///< Between two events.
};

/// Number of requests, or events, with a name.
struct LossCount {
  std::string mName;
  std::int64_t mCount = 0;
};

/// The counts over all lines added.
struct LossSummary {
  std::int64_t mRequests = 0;
  std::vector<LossCount> mCauses;        ///< Most frequent first.
  std::vector<LossCount> mZones;         ///< "zone cause".
  std::vector<LossCount> mRoutes;        ///< "route cause".
  std::vector<LossCount> mTimes;         ///< "second cause", by time.
  std::vector<LossCount> mAvoidReasons;  ///< Why upstreams were avoided.
};

/// Collects log lines and counts requests. Each attempt of a caller has a line
/// of its own, so a caller that retries is counted again.
class LossReport {
 public:
  explicit LossReport(LatencyLimits aLimits = {}) : mLimits(aLimits) {}

  /// Adds a log line. Text before its JSON is ignored. Returns whether the line
  /// is a log line.
  bool AddLine(std::string_view aLine);
  LossSummary Summary() const;

 private:
  /// What earlier lines say about a request that has not ended.
  struct RequestState {
    bool mAttemptFailed = false;
    bool mMoved = false;
    std::int64_t mCode = 0;  ///< Result code if refused.
  };

  LossCause CauseOf(const Json::Value& aLine, const RequestState& aState) const;
  void CountRequest(const Json::Value& aLine);

  LatencyLimits mLimits;
  std::map<std::string, std::string> mZoneOf;         ///< By process.
  std::map<std::string, RequestState> mOpenRequests;  ///< By request.
  std::int64_t mRequests = 0;
  std::map<std::string, std::int64_t> mCauses;
  std::map<std::string, std::int64_t> mZones;
  std::map<std::string, std::int64_t> mRoutes;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> mTimes;
  std::map<std::string, std::int64_t> mAvoidReasons;
};

}  // namespace spindleweir
