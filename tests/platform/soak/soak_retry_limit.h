/// Whether upstreams received more retries than all routers together may send.
#pragma once

#include <cstdint>
#include <vector>

#include "tests/platform/soak/soak_record.h"

namespace spindleweir {

/// The limit of one service, as the routers' settings state it.
struct SoakRetryLimit {
  double mRatio = 0.2;  ///< Of the requests in a window.
  double mSlack = 200;
  std::int64_t mWindow = 10000000;  ///< Microseconds.
};

/// Times of one service, in wall microseconds.
struct SoakArrivals {
  std::vector<std::int64_t> mRequests;  ///< When callers sent them.
  std::vector<std::int64_t> mRetries;   ///< Arrivals beyond a request's first.
};

/// The most retries above the limit in any window; not above zero if it holds.
/// A window's requests are its own, those of the window before or those of the
/// window half a length earlier, whichever are the most.
double MostRetriesOverLimit(SoakArrivals aArrivals,
                            const SoakRetryLimit& aLimit);
/// Prints a summary of streams and of other requests; returns the number of
/// these two services whose limit was exceeded.
int CountRetryViolations(const SoakRecord& aRecord,
                         const SoakRetryLimit& aLimit);

}  // namespace spindleweir
