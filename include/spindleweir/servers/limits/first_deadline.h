/// Tells a request that has come back from a first try by the time that its
/// caller has left.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Of the requests of one route at one router.
class FirstDeadline {
 public:
  /// A request came whose caller has so much time; 0: it did not say.
  void Came(Millis aDeadline);
  /// Whether one with so much time has most likely been tried before.
  bool HasComeBack(Millis aDeadline) const;

 private:
  double mUsual = 0;  ///< What callers have at their first try.
};

}  // namespace spindleweir
