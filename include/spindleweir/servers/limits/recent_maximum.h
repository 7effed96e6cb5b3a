/// The greatest of the numbers that were recorded lately.
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// A smaller number counts only once no greater one has been recorded for a
/// time, for limits whose parts must shrink at once and grow late. The class
/// only decides; the time is passed to each call.
class RecentMaximum {
 public:
  explicit RecentMaximum(Millis aRetention) : mRetention(aRetention) {}

  void Record(int aNumber, Millis aNow);
  /// The greatest number within the retention before the newest one; 0 before
  /// the first. Without new numbers it does not change.
  int Value() const { return mItems.empty() ? 0 : mItems.front().mNumber; }

 private:
  struct Item {
    int mNumber = 0;
    Millis mAt = 0;
  };

  Millis mRetention;
  /// In order of time, each smaller than the one before.
  std::deque<Item> mItems;
};

}  // namespace spindleweir
