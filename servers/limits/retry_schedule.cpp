#include "spindleweir/servers/limits/retry_schedule.h"

#include <algorithm>
#include <cstdint>

namespace spindleweir {

namespace {

/// Callers wait for at most their remaining time divided by this.
constexpr Millis kWaitDivisor = 3;
/// Limit for callers that do not state their remaining time.
constexpr Millis kDefaultMaxWait = 5000;
/// Limit whatever remaining time a caller states: it bounds the number of slots
/// that are stored. A third of a stream's 20 s is 6.7 s.
constexpr Millis kMaxWait = 10000;
/// Callers are counted in time slots of this length: they retry a few
/// milliseconds after the assigned time, and ordinary requests arrive in clumps
/// of this length too.
constexpr Millis kSlotLength = 100;
/// The part of the room that becomes free which is assigned to returning
/// callers. The rest is for random variation of first requests.
constexpr double kReturningFraction = 0.7;
/// The shortest time in which room becomes free that wasn't free before.
constexpr Millis kMinWait = 200;

}  // namespace

void RetrySchedule::Forget(Millis aNow) {
  while (!mCallersBySlot.empty() && mFirst < aNow / kSlotLength) {
    mCallersBySlot.pop_front();
    mFirst++;
  }
  if (mCallersBySlot.empty()) {
    mFirst = aNow / kSlotLength;
  }
}

int& RetrySchedule::At(std::int64_t aSlot) {
  const auto i =
      static_cast<std::size_t>(std::max<std::int64_t>(0, aSlot - mFirst));
  if (mCallersBySlot.size() <= i) {
    mCallersBySlot.resize(i + 1, 0);
  }
  return mCallersBySlot[i];
}

int RetrySchedule::ExpectedCallers(Millis aNow) const {
  int count = 0;
  for (std::size_t i = 0; i < mCallersBySlot.size(); i++) {
    const bool expected =
        mFirst + static_cast<std::int64_t>(i) >= aNow / kSlotLength;
    count += expected ? mCallersBySlot[i] : 0;
  }
  return count;
}

AssignedRetry RetrySchedule::Assign(const RetryScheduleRequest& aRequest) {
  const Millis now = aRequest.mNow;
  Forget(now);
  const Millis latest =
      aRequest.mTimeLeft > 0
          ? std::min(aRequest.mTimeLeft / kWaitDivisor, kMaxWait)
          : kDefaultMaxWait;
  const Millis earliest =
      std::min(std::max(kMinWait, aRequest.mFreeAfter), latest);
  const std::int64_t first = (now + earliest) / kSlotLength;
  const std::int64_t last = std::max(first, (now + latest) / kSlotLength - 1);
  // Room that one slot doesn't use is carried over to the next.
  const double roomPerSlot = aRequest.mFreePerMilli * kReturningFraction *
                             static_cast<double>(kSlotLength);
  std::int64_t chosen = first;
  int fewest = -1;
  double room = 0;
  AssignedRetry retry;
  for (std::int64_t slot = first; slot <= last; slot++) {
    const int assigned = At(slot);
    room += roomPerSlot - assigned;
    if (room >= 1) {
      chosen = slot;
      retry.mRoomExpected = true;
      break;
    }
    // Of the slots with the fewest callers the last is taken: it is not known
    // when room becomes free, and a caller that returns too early may lose the
    // last of its attempts.
    if (fewest < 0 || assigned <= fewest) {
      fewest = assigned;
      chosen = slot;
    }
  }
  retry.mCallersInSlot = ++At(chosen);
  const auto offset =
      static_cast<Millis>(aRequest.mRandom * static_cast<double>(kSlotLength));
  retry.mAfter =
      std::clamp<Millis>(chosen * kSlotLength + offset - now, earliest, latest);
  return retry;
}

}  // namespace spindleweir
