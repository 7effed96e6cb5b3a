/// Limits how many requests may be retried: a share of the requests of a
/// sliding window, plus this router's part of a slack that all routers share,
/// plus the credits that control grants from the pooled rest (see
/// retry_pool.h).
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Default share of the slack that is pooled. With less in the pool, the loss
/// of one engine exhausts it; with less divided among the routers, a router
/// without contact to a control has none.
inline constexpr double kDefaultPooledRetries = 0.5;

/// Limits that hold for all routers together.
struct RetryAllowanceOptions {
  double mRatio = 0.2;  ///< Of the requests in a window.
  Millis mWindow = 10000;
  double mSlack = 200;  ///< In addition to the ratio, over all routers.
  /// Share of the limits that is used; the rest is a margin, since the windows
  /// of the routers are not aligned.
  double mUsableShare = 0.7;
  /// Share of the slack that is not divided: control grants it to the routers
  /// that need it. A single router has the whole slack.
  double mPooledShare = 0;
  /// Steady time of the process start; -1: more than a window ago. The retries
  /// of the previous process on this VM are unknown: in the first window, only
  /// that part of the slack is available which processes do not use after it.
  Millis mStartedAt = -1;
};

/// The retry allowance of one service on one router.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceOptions aOptions)
      : mOptions(aOptions) {}

  void RequestStarted(Millis aNow);
  /// Takes one retry; returns false if none is available. aRouters: number of
  /// routers that share the slack, at least 1.
  bool TrySpend(double aRouters, Millis aNow);
  /// Retries that are available now.
  double Available(double aRouters, Millis aNow);
  /// Adds retries that control granted. Control counts them as spent at this
  /// time, so that they expire soon if they are not used.
  void AddCredits(int aRetries, Millis aNow);
  /// Whether the next retry would be one that control granted.
  bool HasCredit(Millis aNow) const { return ValidCredits(aNow) > 0; }

 private:
  /// Counts of a tenth of a window.
  struct Slice {
    Millis mFrom = 0;
    double mRequests = 0;
    double mRetries = 0;
  };

  Slice& CurrentSlice(Millis aNow);
  /// Share of the slack that is available.
  double UsableSlackShare(Millis aNow) const;

  /// Granted retries that are neither used nor expired.
  int ValidCredits(Millis aNow) const;

  RetryAllowanceOptions mOptions;
  std::deque<Slice> mSlices;
  int mCredits = 0;
  Millis mCreditedAt = 0;
};

}  // namespace spindleweir
