/// Counts what became of all requests in the logs of all processes: how many
/// were lost or late by which cause, where and when.
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
  kNone,             ///< It was.
  kNoPath,           ///< No upstream that the configuration allows.
  kNoRoom,           ///< Those that could take it were full.
  kNoLease,          ///< The configuration was not confirmed any more.
  kNoConfiguration,  ///< None was known yet.
  kDeadline,         ///< Its time ran out.
  kNotAllowed,       ///< No such key or route: not a loss of the system's.
  kOtherRefusal,
  kBrokenOff,       ///< The stream was cut and nothing could go on with it.
  kUpstreamFailed,  ///< The upstream ran it and answered a failure.
  kRouterEnded,     ///< A planned stop cut it at the end of its grace.
  kCallerGone,
  kFirstLate,  ///< Late by its first event.
  kResumed,    ///< Late, cut and taken up by another attempt.
  kMoved,      ///< Late, moved to other engines.
  kSlow,       ///< Late though nothing was done to it.
};

/// From when on an answer counts as late, in milliseconds.
struct LatencyLimits {
  std::int64_t mFirstEventMs = 500;
  std::int64_t mPauseMs = 200;
};

/// Requests counted under one name.
struct LossCount {
  std::string mName;
  std::int64_t mCount = 0;
};

/// The counts of a log.
struct LossSummary {
  std::int64_t mRequests = 0;
  std::vector<LossCount> mCauses;        ///< Most frequent first.
  std::vector<LossCount> mZones;         ///< "zone cause".
  std::vector<LossCount> mRoutes;        ///< "route cause".
  std::vector<LossCount> mTimes;         ///< "second cause", in order of time.
  std::vector<LossCount> mAvoidReasons;  ///< Why upstreams were left alone.
};

/// Collects lines and counts. One line of a caller's each attempt: a caller
/// that comes back is counted again.
class LossReport {
 public:
  explicit LossReport(LatencyLimits aLimits = {}) : mLimits(aLimits) {}

  /// Takes a line of a log; what stands before its JSON is passed over.
  /// Returns whether it is one.
  bool AddLine(std::string_view aLine);
  LossSummary Summary() const;

 private:
  /// What the lines say of one request of one process.
  struct Seen {
    bool mAttemptFailed = false;
    bool mMoved = false;
    std::int64_t mCode = 0;  ///< Of its refusal.
  };

  LossCause CauseOf(const Json::Value& aLine, const Seen& aSeen) const;
  void CountRequest(const Json::Value& aLine);

  LatencyLimits mLimits;
  std::map<std::string, std::string> mZoneOf;  ///< By process.
  std::map<std::string, Seen> mOpen;           ///< By request.
  std::int64_t mRequests = 0;
  std::map<std::string, std::int64_t> mCauses;
  std::map<std::string, std::int64_t> mZones;
  std::map<std::string, std::int64_t> mRoutes;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> mTimes;
  std::map<std::string, std::int64_t> mAvoidReasons;
};

}  // namespace spindleweir
