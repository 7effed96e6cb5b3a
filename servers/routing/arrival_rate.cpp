#include "spindleweir/servers/routing/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

/// An arrival counts for 1/e of a new one after this time: a router of a large
/// fleet gets two or three requests a second, so that fewer seconds would be
/// mostly chance, and more would miss a burst that lasts three.
constexpr double kMemory = 2000;

}  // namespace

double ArrivalRate::Faded(Millis aNow) const {
  return mCount * std::exp(-static_cast<double>(aNow - mCountedAt) / kMemory);
}

void ArrivalRate::Add(Millis aNow) {
  mCount = Faded(aNow) + 1;
  mCountedAt = aNow;
}

double ArrivalRate::PerMilli(Millis aNow) const {
  return Faded(aNow) / kMemory;
}

double ArrivalRate::PerMilliWithout(Millis aArrivedAt, Millis aNow) const {
  const double one =
      std::exp(-static_cast<double>(aNow - aArrivedAt) / kMemory);
  return std::max(0.0, Faded(aNow) - one) / kMemory;
}

}  // namespace spindleweir
