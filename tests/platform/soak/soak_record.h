/// Observations of callers and upstreams of a soak about each request, and the
/// check of the product's promises against them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spindleweir {

/// How a caller's request ended.
enum class SoakEnd {
  kOpen,       ///< It hasn't ended.
  kComplete,   ///< A complete answer arrived.
  kNoAnswer,   ///< The connection ended before any byte of an answer.
  kTruncated,  ///< The connection ended within the answer.
  kTimedOut,   ///< The caller's stall timeout expired.
};

/// One request with all its runs.
struct SoakRequest {
  std::string mRouter;
  bool mStream = false;
  bool mReused = false;  ///< Its connection had carried another request before.
  std::int64_t mSentAt = 0;   ///< Wall microseconds.
  std::int64_t mEndedAt = 0;  ///< Wall microseconds.
  SoakEnd mEnd = SoakEnd::kOpen;
  int mStatus = 0;
  std::string mBody;
  std::string mExpectedBody;  ///< The body of a success.
  int mRuns = 0;
  /// When it arrived at upstreams, run or not, in wall microseconds.
  std::vector<std::int64_t> mArrivals;
  /// Runs on upstreams that ended, or announced their end, meanwhile.
  int mLostRuns = 0;
  bool mAtMostOnce = false;  ///< It may run at most once.
};

/// The kill of a process, from the fault script's record.
struct SoakKill {
  std::string mName;
  std::int64_t mFrom = 0;  ///< Wall microseconds before the kill.
  std::int64_t mTo = 0;    ///< Wall microseconds after the kill.
};

/// A fault injected into a process, from the fault script's record.
struct SoakFault {
  std::string mName;
  std::int64_t mAt = 0;  ///< Wall microseconds.
};

std::int64_t WallMicros();

/// All requests of a soak, by id.
class SoakRecord {
 public:
  SoakRequest& At(const std::string& aId) { return mRequests[aId]; }
  /// Returns the request, or nullptr if the id is unknown.
  SoakRequest* Find(const std::string& aId);
  const std::map<std::string, SoakRequest>& Requests() const {
    return mRequests;
  }
  /// Prints a summary and each violation of a promise; returns the number of
  /// violations.
  int CountViolations(const std::vector<SoakKill>& aKills) const;

 private:
  /// Describes the violation; empty: none.
  static std::string Violation(const SoakRequest& aRequest,
                               const std::vector<SoakKill>& aKills);

  std::map<std::string, SoakRequest> mRequests;
};

}  // namespace spindleweir
