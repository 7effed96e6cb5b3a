#include "spindleweir/servers/limits/retry_detector.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// How much one request moves what is usual, up and down: it settles a little
/// under the most that many have, also where six in ten are later tries, and
/// one caller that has more than all others moves it by a twentieth of that.
constexpr double kUpWeight = 0.05;
constexpr double kDownWeight = 0.005;
/// One request counts as so many times what is usual at most: what a caller has
/// left is read from outside, and one that says it has a day would have all
/// others taken for later tries for a thousand requests.
constexpr double kMaxRatioToTypical = 2;
/// A later try comes after a refusal's wait, 0.3 s at least, or after the two
/// seconds for which callers wait for an event, of 20 s mostly.
constexpr double kFirstAttemptFraction = 0.95;

}  // namespace

void RetryDetector::Record(Millis aDeadline) {
  if (aDeadline <= 0) {
    return;
  }
  const auto deadline = static_cast<double>(aDeadline);
  if (mTypicalDeadline <= 0) {
    mTypicalDeadline = deadline;
  }
  const double counted =
      std::min(deadline, kMaxRatioToTypical * mTypicalDeadline);
  mTypicalDeadline += (counted > mTypicalDeadline ? kUpWeight : kDownWeight) *
                      (counted - mTypicalDeadline);
}

bool RetryDetector::IsLikelyRetry(Millis aDeadline) const {
  return aDeadline > 0 && static_cast<double>(aDeadline) <
                              kFirstAttemptFraction * mTypicalDeadline;
}

}  // namespace spindleweir
