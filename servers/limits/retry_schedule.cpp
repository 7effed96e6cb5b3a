#include "spindleweir/servers/limits/retry_schedule.h"

#include <algorithm>
#include <cstdint>

namespace spindleweir {

namespace {

/// The part of the time left that callers wait at latest.
constexpr Millis kWaitDivisor = 3;
/// Callers are assigned within so long where none says what it has left.
constexpr Millis kDefaultMaxWait = 5000;
/// And within this whatever it says that it has: callers are counted by slots,
/// and what a caller has left is read earliest outside. A third of a stream's
/// 20 s is 6.7 s.
constexpr Millis kMaxWait = 10000;
/// Callers are counted by times of this length: they come a few milliseconds
/// after they are assigned to, and requests come in such clumps by themselves.
constexpr Millis kSlotLength = 100;
/// The part of what comes free that returning callers are given: the rest is
/// for what comes more by chance.
constexpr double kReturningFraction = 0.7;
/// The least time in which something comes free that wasn't before.
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
    const bool comes =
        mFirst + static_cast<std::int64_t>(i) >= aNow / kSlotLength;
    count += comes ? mCallersBySlot[i] : 0;
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
  // Room gathers over the slots: what one cannot use the next one has.
  const double each = aRequest.mFreePerMilli * kReturningFraction *
                      static_cast<double>(kSlotLength);
  std::int64_t chosen = first;
  int fewest = -1;
  double room = 0;
  AssignedRetry retry;
  for (std::int64_t slot = first; slot <= last; slot++) {
    const int assigned = At(slot);
    room += each - assigned;
    if (room >= 1) {
      chosen = slot;
      retry.mRoomExpected = true;
      break;
    }
    // Of those with as few the last: what comes free is not known, and who came
    // back in vain lost the last of its attempts.
    if (fewest < 0 || assigned <= fewest) {
      fewest = assigned;
      chosen = slot;
    }
  }
  retry.mCallersBySlot = ++At(chosen);
  const auto within =
      static_cast<Millis>(aRequest.mRandom * static_cast<double>(kSlotLength));
  retry.mAfter =
      std::clamp<Millis>(chosen * kSlotLength + within - now, earliest, latest);
  return retry;
}

}  // namespace spindleweir
