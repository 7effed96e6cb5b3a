/// How many requests may be sent once more: a share of the requests of a
/// sliding window and this router's part of what all routers may add.
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Bounds that hold for all routers together.
struct RetryAllowanceOptions {
  double mRatio = 0.2;  ///< Of the requests of a window.
  Millis mWindow = 10000;
  double mSlack = 200;  ///< Beside the ratio, over all routers.
  /// What is kept back, since windows and routers do not match exactly.
  double mUsed = 0.7;
  /// When this process started, steady; -1: longer ago than a window. What the
  /// one before it on this VM spent is not known: until a window has passed, of
  /// the slack only that part is taken which no process takes later.
  Millis mStartedAt = -1;
};

/// The allowance of one service on one router.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceOptions aOptions)
      : mOptions(aOptions) {}

  void RequestStarted(Millis aNow);
  /// Takes one where it is allowed; aRouters share the slack.
  bool TrySpend(int aRouters, Millis aNow);
  /// What could be taken now.
  double Left(int aRouters, Millis aNow);

 private:
  /// Counts of a tenth of a window.
  struct Slice {
    Millis mFrom = 0;
    double mRequests = 0;
    double mRetries = 0;
  };

  Slice& Current(Millis aNow);
  /// The part of the slack that may be taken.
  double SlackUsed(Millis aNow) const;

  RetryAllowanceOptions mOptions;
  std::deque<Slice> mSlices;
};

}  // namespace spindleweir
