#include "spindleweir/servers/routing/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

/// An arrival counts for 1/e of a new one after this time: a router of a large
/// fleet gets two or three requests a second, so that fewer seconds would be
/// mostly chance, and more would miss a burst that lasts three.
constexpr double kTimeConstantMillis = 2000;

}  // namespace

double ArrivalRate::DecayedCount(Millis aNow) const {
  return mCount * std::exp(-static_cast<double>(aNow - mCountedAt) /
                           kTimeConstantMillis);
}

void ArrivalRate::Add(Millis aNow) {
  mCount = DecayedCount(aNow) + 1;
  mCountedAt = aNow;
}

double ArrivalRate::PerMilli(Millis aNow) const {
  return DecayedCount(aNow) / kTimeConstantMillis;
}

double ArrivalRate::PerMilliExcluding(Millis aArrivedAt, Millis aNow) const {
  const double one =
      std::exp(-static_cast<double>(aNow - aArrivedAt) / kTimeConstantMillis);
  return std::max(0.0, DecayedCount(aNow) - one) / kTimeConstantMillis;
}

}  // namespace spindleweir
