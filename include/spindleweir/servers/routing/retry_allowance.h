/// How many requests may be sent once more: a share of the requests of a
/// sliding window, this router's part of what all routers may add, and what
/// control hands out of the rest (see retry_pool.h).
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Half of the slack where it is pooled: with less in the pool a loss of one
/// engine exhausts it, with less divided a router that hears no control has
/// none.
inline constexpr double kDefaultPooledRetries = 0.5;

/// Bounds that hold for all routers together.
struct RetryAllowanceOptions {
  double mRatio = 0.2;  ///< Of the requests of a window.
  Millis mWindow = 10000;
  double mSlack = 200;  ///< Beside the ratio, over all routers.
  /// What is kept back, since windows and routers do not match exactly.
  double mUsableShare = 0.7;
  /// The part of the slack that is not divided: control hands it out to the
  /// routers that need it. A single router has it all.
  double mPooledShare = 0;
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
  /// Takes one where it is allowed; aRouters, at least 1, share the slack.
  bool TrySpend(double aRouters, Millis aNow);
  /// What could be taken now.
  double Available(double aRouters, Millis aNow);
  /// Control handed out some more. They were counted there at this moment, so
  /// that those not taken within moments are void.
  void AddCredits(int aRetries, Millis aNow);

 private:
  /// Counts of a tenth of a window.
  struct Slice {
    Millis mFrom = 0;
    double mRequests = 0;
    double mRetries = 0;
  };

  Slice& CurrentSlice(Millis aNow);
  /// The part of the slack that may be taken.
  double UsableSlackShare(Millis aNow) const;

  /// What is left of what control handed out.
  int ValidCredits(Millis aNow) const;

  RetryAllowanceOptions mOptions;
  std::deque<Slice> mSlices;
  int mCredits = 0;
  Millis mCreditedAt = 0;
};

}  // namespace spindleweir
