/// Tells retries of callers from first attempts by the time that the caller has
/// left.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Of the requests of one route at one router.
class RetryDetector {
 public:
  /// Counts a request whose caller has so much time; 0: it did not say.
  void Record(Millis aDeadline);
  /// Whether a request with so much time is most likely a retry.
  bool IsLikelyRetry(Millis aDeadline) const;

 private:
  double mTypicalDeadline = 0;  ///< What callers have at their first try.
};

}  // namespace spindleweir
