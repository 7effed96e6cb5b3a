#include "tests/platform/soak/soak_record.h"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace spindleweir {

namespace {

/// Attempts per request on the routes of the soak.
constexpr int kAttempts = 2;

bool PromisesNotRun(int aStatus) {
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

bool WasKilled(const SoakRequest& aRequest,
               const std::vector<SoakKill>& aKills) {
  return std::any_of(aKills.begin(), aKills.end(), [&](const SoakKill& aKill) {
    return aKill.mName == aRequest.mRouter && aKill.mTo >= aRequest.mSentAt &&
           aKill.mFrom <= aRequest.mEndedAt;
  });
}

}  // namespace

std::int64_t WallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

SoakRequest* SoakRecord::Find(const std::string& aId) {
  const auto it = mRequests.find(aId);
  return it == mRequests.end() ? nullptr : &it->second;
}

std::string SoakRecord::Violation(const SoakRequest& aRequest,
                                  const std::vector<SoakKill>& aKills) {
  if (aRequest.mAtMostOnce && aRequest.mRuns > 1) {
    return "ran more than once";
  }
  const bool complete = aRequest.mEnd == SoakEnd::kComplete;
  if (complete && PromisesNotRun(aRequest.mStatus) && aRequest.mRuns > 0) {
    return "ran, but its answer states that it did not run";
  }
  if (complete && aRequest.mStatus == 200 &&
      aRequest.mBody != aRequest.mExpectedBody) {
    return "body differs from the expected one";
  }
  if (complete && aRequest.mStatus >= 300 && aRequest.mStatus < 500 &&
      !PromisesNotRun(aRequest.mStatus)) {
    return "rejected, but every configuration allows it";
  }
  const bool ended = aRequest.mEnd == SoakEnd::kNoAnswer ||
                     aRequest.mEnd == SoakEnd::kTruncated;
  // A request sent while the router closes its connection may go unread.
  const bool crossed = aRequest.mEnd == SoakEnd::kNoAnswer &&
                       aRequest.mReused && aRequest.mRuns == 0;
  const bool usedUp = aRequest.mLostRuns >= kAttempts;
  if (ended && !crossed && !usedUp && !WasKilled(aRequest, aKills)) {
    return aRequest.mEnd == SoakEnd::kTruncated ? "answer truncated"
                                                : "no answer";
  }
  return "";
}

int SoakRecord::CountViolations(const std::vector<SoakKill>& aKills) const {
  std::map<std::string, int> seen;
  int violations = 0;
  for (const auto& [id, request] : mRequests) {
    constexpr const char* kEnds[] = {"open", "whole", "no answer", "cut",
                                     "left"};
    const auto end = static_cast<std::size_t>(request.mEnd);
    seen[request.mEnd == SoakEnd::kComplete ? std::to_string(request.mStatus)
                                            : kEnds[end]]++;
    const std::string violation = Violation(request, aKills);
    if (!violation.empty()) {
      violations++;
      std::cout << "BROKEN: " << id << " at " << request.mRouter << ": "
                << violation << "; status " << request.mStatus << ", runs "
                << request.mRuns << ", lost " << request.mLostRuns << ", sent "
                << request.mSentAt << ", took "
                << (request.mEndedAt - request.mSentAt) / 1000 << " ms, reused "
                << request.mReused << ", bytes " << request.mBody.size()
                << "\n";
    }
  }
  std::cout << mRequests.size() << " requests:";
  for (const auto& [end, count] : seen) {
    std::cout << " " << end << " " << count;
  }
  std::cout << "\n";
  return violations;
}

}  // namespace spindleweir
