/// Estimates a request rate from recent arrivals.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Exponentially decaying average of arrivals. Takes the current time with each
/// call.
class ArrivalRate {
 public:
  void Add(Millis aNow);
  /// Arrivals per millisecond.
  double PerMilli(Millis aNow) const;
  /// The same without one arrival at aArrivedAt, the last or an earlier one. A
  /// request that estimates the rate of the other requests must not count
  /// itself: if arrivals are rare, the result would be several times too high.
  double PerMilliExcluding(Millis aArrivedAt, Millis aNow) const;

 private:
  double DecayedCount(Millis aNow) const;

  double mCount = 0;  ///< Arrivals weighted by age, as of mCountedAt.
  Millis mCountedAt = 0;
};

}  // namespace spindleweir
