#include "tests/platform/soak/soak_retry_limit.h"

#include <algorithm>
#include <iostream>

namespace spindleweir {

namespace {

/// Number of times within a window; both of its ends belong to it.
double CountIn(const std::vector<std::int64_t>& aTimes, std::int64_t aFrom,
               std::int64_t aWindow) {
  const auto first = std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
  const auto last = std::upper_bound(first, aTimes.end(), aFrom + aWindow);
  return static_cast<double>(last - first);
}

}  // namespace

double MostRetriesOverLimit(SoakArrivals aArrivals,
                            const SoakRetryLimit& aLimit) {
  std::sort(aArrivals.mRequests.begin(), aArrivals.mRequests.end());
  std::sort(aArrivals.mRetries.begin(), aArrivals.mRetries.end());
  const std::int64_t window = aLimit.mWindow;
  double over = -aLimit.mSlack;
  // A window with the most retries begins with one.
  for (const std::int64_t from : aArrivals.mRetries) {
    const double requests =
        std::max({CountIn(aArrivals.mRequests, from, window),
                  CountIn(aArrivals.mRequests, from - window / 2, window),
                  CountIn(aArrivals.mRequests, from - window, window)});
    const double allowed = aLimit.mRatio * requests + aLimit.mSlack;
    over = std::max(over, CountIn(aArrivals.mRetries, from, window) - allowed);
  }
  return over;
}

int CountRetryViolations(const SoakRecord& aRecord,
                         const SoakRetryLimit& aLimit) {
  int violations = 0;
  for (const bool streams : {false, true}) {
    SoakArrivals arrivals;
    for (const auto& [id, request] : aRecord.Requests()) {
      if (request.mStream != streams) {
        continue;
      }
      arrivals.mRequests.push_back(request.mSentAt);
      for (std::size_t i = 1; i < request.mArrivals.size(); i++) {
        arrivals.mRetries.push_back(request.mArrivals[i]);
      }
    }
    const double over = MostRetriesOverLimit(arrivals, aLimit);
    std::cout << (over > 0 ? "BROKEN: " : "")
              << (streams ? "streams: " : "plain requests: ")
              << arrivals.mRetries.size() << " retries of "
              << arrivals.mRequests.size()
              << " requests; at most, over the limit of a window: " << over
              << "\n";
    violations += over > 0 ? 1 : 0;
  }
  return violations;
}

}  // namespace spindleweir
