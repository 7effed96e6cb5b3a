/// Chooses when a refused caller should retry: not before there is room for it
/// beside the callers that were scheduled earlier. The class only decides; the
/// time is passed to each call.
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What is known when a caller is refused.
struct RetryScheduleRequest {
  Millis mNow = 0;
  /// The caller's remaining time, of which it waits at most a third; 0: not
  /// stated.
  Millis mTimeLeft = 0;
  /// Time until there may be room at all, e.g. until a lease is renewed or
  /// layers are loaded.
  Millis mFreeAfter = 0;
  /// Requests per millisecond that this router can then admit beside those that
  /// arrive for the first time; 0: no room is expected to become free.
  double mFreePerMilli = 0;
  double mRandom = 0;  ///< From 0 to 1, new each time.
};

/// The retry time that a caller is given.
struct AssignedRetry {
  Millis mAfter = 0;
  int mCallersInSlot = 0;  ///< Callers assigned to the slot, with this one.
  /// Room is expected at that time. If false, the time is a guess.
  bool mRoomExpected = false;
};

/// The retry times that one router has assigned for one service. Each caller
/// gets the first time slot with room left. If there is none within the time
/// that the caller waits, it gets the slot with the fewest callers.
class RetrySchedule {
 public:
  /// Assigns a time to a caller and counts it in that slot.
  AssignedRetry Assign(const RetryScheduleRequest& aRequest);
  /// Number of callers that are scheduled to retry from aNow on.
  int ExpectedCallers(Millis aNow) const;

 private:
  void Forget(Millis aNow);
  int& At(std::int64_t aSlot);

  std::deque<int> mCallersBySlot;  ///< The first is of slot mFirst.
  std::int64_t mFirst = 0;
};

}  // namespace spindleweir
