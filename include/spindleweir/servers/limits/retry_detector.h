/// Tells callers' retries from their first attempts by the time that the caller
/// has left.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Learns the typical deadline of first attempts of one route at one router.
class RetryDetector {
 public:
  /// Records the remaining time of a request's caller; 0: not stated.
  void Record(Millis aDeadline);
  /// Whether a request with this remaining time is most likely a retry.
  bool IsLikelyRetry(Millis aDeadline) const;

 private:
  /// Typical remaining time of callers at their first attempt; 0: not known.
  double mTypicalDeadline = 0;
};

}  // namespace spindleweir
