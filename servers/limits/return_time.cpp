#include "spindleweir/servers/limits/return_time.h"

#include <algorithm>
#include <cstdint>

namespace spindleweir {

namespace {

/// The part of the time left that callers wait at most.
constexpr Millis kWaitPart = 3;
/// Callers are told within so long where none says what it has left.
constexpr Millis kLongest = 5000;
/// And within this whatever it says that it has: callers are counted by slots,
/// and what a caller has left is read from outside. A third of a stream's 20 s
/// is 6.7 s.
constexpr Millis kMostAhead = 10000;
/// Callers are counted by times of this length: they come a few milliseconds
/// after they are told to, and requests come in such clumps by themselves.
constexpr Millis kSlot = 100;
/// The part of what comes free that returning callers are given: the rest is
/// for what comes more by chance.
constexpr double kGiven = 0.7;
/// The least time in which something comes free that wasn't before.
constexpr Millis kLeast = 200;

}  // namespace

void ReturnTimes::Forget(Millis aNow) {
  while (!mAssigned.empty() && mFirst < aNow / kSlot) {
    mAssigned.pop_front();
    mFirst++;
  }
  if (mAssigned.empty()) {
    mFirst = aNow / kSlot;
  }
}

int& ReturnTimes::At(std::int64_t aSlot) {
  const auto i =
      static_cast<std::size_t>(std::max<std::int64_t>(0, aSlot - mFirst));
  if (mAssigned.size() <= i) {
    mAssigned.resize(i + 1, 0);
  }
  return mAssigned[i];
}

int ReturnTimes::Expected(Millis aNow) const {
  int count = 0;
  for (std::size_t i = 0; i < mAssigned.size(); i++) {
    const bool comes = mFirst + static_cast<std::int64_t>(i) >= aNow / kSlot;
    count += comes ? mAssigned[i] : 0;
  }
  return count;
}

ReturnAnswer ReturnTimes::Assign(const ReturnQuestion& aQuestion) {
  const Millis now = aQuestion.mNow;
  Forget(now);
  const Millis most = aQuestion.mLeft > 0
                          ? std::min(aQuestion.mLeft / kWaitPart, kMostAhead)
                          : kLongest;
  const Millis from = std::min(std::max(kLeast, aQuestion.mFreeAfter), most);
  const std::int64_t first = (now + from) / kSlot;
  const std::int64_t last = std::max(first, (now + most) / kSlot - 1);
  // Room gathers over the slots: what one cannot use the next one has.
  const double each =
      aQuestion.mFreePerMilli * kGiven * static_cast<double>(kSlot);
  std::int64_t chosen = first;
  int fewest = -1;
  double room = 0;
  ReturnAnswer answer;
  for (std::int64_t slot = first; slot <= last; slot++) {
    const int told = At(slot);
    room += each - told;
    if (room >= 1) {
      chosen = slot;
      answer.mExpected = true;
      break;
    }
    // Of those with as few the last: what comes free is not known, and who came
    // back in vain lost the last of its attempts.
    if (fewest < 0 || told <= fewest) {
      fewest = told;
      chosen = slot;
    }
  }
  answer.mAssigned = ++At(chosen);
  const auto within =
      static_cast<Millis>(aQuestion.mRandom * static_cast<double>(kSlot));
  answer.mAfter = std::clamp<Millis>(chosen * kSlot + within - now, from, most);
  return answer;
}

}  // namespace spindleweir
