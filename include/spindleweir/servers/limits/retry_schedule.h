/// When a caller that is refused should come back: not before there is room for
/// it beside those that were assigned before it. Decisions only: the time comes
/// with each call.
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What is known when a caller is refused.
struct RetryScheduleRequest {
  Millis mNow = 0;
  /// What its caller has left; callers wait a third of it at latest. 0: any.
  Millis mTimeLeft = 0;
  /// From now until there may be room at all: a lease, layers that load.
  Millis mFreeAfter = 0;
  /// Requests a millisecond that can then be taken here, beside those that come
  /// for the first time; 0: none are expected to come free.
  double mFreePerMilli = 0;
  double mRandom = 0;  ///< From 0 to 1, new each time.
};

/// What a caller is assigned.
struct AssignedRetry {
  Millis mAfter = 0;
  int mCallersBySlot = 0;  ///< Callers that are to come at that time, with it.
  bool mRoomExpected = false;  ///< There should be room; else it is a guess.
};

/// The callers that one router assigned when to come, for one service. Each is
/// given the first time that has room left; where there is none within the time
/// that it waits, the time with the fewest of them.
class RetrySchedule {
 public:
  /// Gives a caller its time and counts it there.
  AssignedRetry Assign(const RetryScheduleRequest& aRequest);
  /// Callers that were assigned to come earliest now on.
  int ExpectedCallers(Millis aNow) const;

 private:
  void Forget(Millis aNow);
  int& At(std::int64_t aSlot);

  std::deque<int> mCallersBySlot;  ///< By slot, earliest mFirst on.
  std::int64_t mFirst = 0;         ///< The slot of the first.
};

}  // namespace spindleweir
