#include "spindleweir/servers/limits/retry_detector.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Weights of one request in the typical deadline, if it is longer and if it is
/// shorter. The value settles a little under the longest deadline that many
/// requests have, even if six in ten are retries, and one caller with a longer
/// deadline than all others moves it by a twentieth of the difference.
constexpr double kUpWeight = 0.05;
constexpr double kDownWeight = 0.005;
/// A deadline counts as at most this multiple of the typical one. Deadlines are
/// stated by callers: a single one of a day would make all other requests pass
/// for retries for the next thousand requests.
constexpr double kMaxRatioToTypical = 2;
/// A request with less than this part of the typical deadline is a retry. A
/// retry is sent after the wait of a refusal, at least 0.3 s, or after the 2 s
/// that callers wait for an event; most deadlines are 20 s.
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
