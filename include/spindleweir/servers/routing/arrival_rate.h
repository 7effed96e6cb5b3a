/// How many requests come in a time, from those that came lately.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Older arrivals count less and less. Decisions only: the time comes with
/// each call.
class ArrivalRate {
 public:
  void Add(Millis aNow);
  /// Arrivals a millisecond.
  double PerMilli(Millis aNow) const;
  /// The same without one that arrived at aArrivedAt, the last or an earlier
  /// one. Who asks how much others are asked must not count itself: where
  /// arrivals are rare it would find several times what they are.
  double PerMilliExcluding(Millis aArrivedAt, Millis aNow) const;

 private:
  double DecayedCount(Millis aNow) const;

  double mCount = 0;  ///< Arrivals, each by its age, at mCountedAt.
  Millis mCountedAt = 0;
};

}  // namespace spindleweir
