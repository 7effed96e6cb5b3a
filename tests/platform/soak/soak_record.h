/// What callers and upstreams of a soak saw of each request, and the judgement.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spindleweir {

/// How a caller's request ended.
enum class SoakEnd {
  kOpen,       ///< It has not.
  kComplete,   ///< A complete answer came.
  kNoAnswer,   ///< The connection ended, and no byte of an answer came.
  kTruncated,  ///< It ended within the answer.
  kTimedOut,   ///< The caller lost patience.
};

/// One request with all its runs.
struct SoakRequest {
  std::string mRouter;
  bool mStream = false;
  bool mReused = false;       ///< Its connection had served another before.
  std::int64_t mSentAt = 0;   ///< Wall microseconds.
  std::int64_t mEndedAt = 0;  ///< The same.
  SoakEnd mEnd = SoakEnd::kOpen;
  int mStatus = 0;
  std::string mBody;
  std::string mExpectedBody;  ///< The body of a success.
  int mRuns = 0;
  /// At upstreams that ended, or said that they will, while they ran.
  int mLostRuns = 0;
  bool mAtMostOnce = false;  ///< It may run once at most.
};

/// A process was killed, by the fault script's record.
struct SoakKill {
  std::string mName;
  std::int64_t mFrom = 0;  ///< Before it, wall microseconds.
  std::int64_t mTo = 0;    ///< The same, after it.
};

/// Something was done to a process, by the fault script's record.
struct SoakFault {
  std::string mName;
  std::int64_t mAt = 0;  ///< Wall microseconds.
};

std::int64_t WallMicros();

/// All requests of a soak, by their id.
class SoakRecord {
 public:
  SoakRequest& At(const std::string& aId) { return mRequests[aId]; }
  /// The same, or nullptr.
  SoakRequest* Find(const std::string& aId);
  /// Prints what was seen, and what breaks a promise; returns how much does.
  int CountViolations(const std::vector<SoakKill>& aKills) const;

 private:
  /// Empty: no promise is violations.
  static std::string Violation(const SoakRequest& aRequest,
                               const std::vector<SoakKill>& aKills);

  std::map<std::string, SoakRequest> mRequests;
};

}  // namespace spindleweir
