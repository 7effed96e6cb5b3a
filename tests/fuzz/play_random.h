/// What happens by chance in a play of several processes. Each seed gives one
/// play, the same on each machine that has the same standard library.
#pragma once

#include <cstddef>
#include <random>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Draws numbers from one seed.
class PlayRandom {
 public:
  explicit PlayRandom(unsigned aSeed) : mRandom(aSeed) {}

  /// From 0 to 1.
  double Real() {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }
  bool Chance(double aProbability) { return Real() < aProbability; }
  /// From 0 to aNumber - 1.
  int Below(int aNumber) {
    return std::uniform_int_distribution<int>(0, aNumber - 1)(mRandom);
  }
  /// From 0 to aMost.
  Millis Time(Millis aMost) {
    return static_cast<Millis>(Real() * static_cast<double>(aMost));
  }
  /// How many of events happen that are aMean on average.
  int Count(double aMean) {
    return std::poisson_distribution<int>(aMean)(mRandom);
  }

 private:
  std::mt19937 mRandom;
};

/// The place of a process in a list.
inline std::size_t Index(int aNumber) {
  return static_cast<std::size_t>(aNumber);
}

}  // namespace spindleweir
