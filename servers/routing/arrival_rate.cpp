#include "spindleweir/servers/routing/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

/// The weight of an arrival falls to 1/e after this time. A router of a large
/// fleet gets two or three requests per second: over a shorter time the
/// estimate would be mostly noise, and a longer one would miss a burst of three
/// seconds.
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
