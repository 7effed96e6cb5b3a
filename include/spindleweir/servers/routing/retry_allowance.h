/// Limits how many requests one router may retry. The limit over all routers is
/// a share of the requests of a window, and a slack. The share of its own
/// requests is each router's own, so that it needs no word of others; the slack
/// is granted by controls as credits (see retry_pool.h).
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Limits that hold for all routers together.
struct RetryLimits {
  double mRatio = 0.2;  ///< Of the requests in a window.
  Millis mWindow = 10000;
  double mSlack = 200;  ///< In addition to the ratio, over all routers.
  /// Share of the limits that is used. The rest is a margin, since a retry
  /// reaches its upstream some time after it was spent.
  double mUsableShare = 0.9;
};

/// How long a router may use a credit, counted from its request to control,
/// which is earlier than the grant.
inline constexpr Millis kRetryCreditLifetime = 300;
/// A retry that was spent longer ago must be spent again before it is sent. An
/// attempt may wait a moment for an engine to come back.
inline constexpr Millis kMaxRetrySendDelay = 700;

/// For how long a control counts what it granted: until the last retry that a
/// credit allows has left every window.
constexpr Millis RetryGrantRetention(const RetryLimits& aLimits) {
  return aLimits.mWindow + kRetryCreditLifetime + kMaxRetrySendDelay;
}

/// The retry allowance of one service on one router. In any window it spends at
/// most what the requests of that window earn and what it had saved when the
/// window began, which is bounded by the requests of the window before. Both
/// together are within the ratio, so that the sum over all routers is as well,
/// whoever starts or ends: a process that starts has saved nothing.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryLimits aLimits) : mLimits(aLimits) {}

  void RequestStarted(Millis aNow);
  /// Takes one retry; returns false if none is available.
  bool TrySpend(Millis aNow);
  /// Retries that are available now.
  double Available(Millis aNow);
  /// Adds retries that control granted. aRequestedAt: when they were requested.
  void AddCredits(int aRetries, Millis aRequestedAt);
  /// Whether the next retry would be one that control granted.
  bool HasCredit(Millis aNow);

 private:
  /// Requests of a part of a window.
  struct Slice {
    Millis mFrom = 0;
    double mRequests = 0;
  };
  /// Granted retries that are not used yet.
  struct Credits {
    int mRetries = 0;
    Millis mExpiresAt = 0;
  };

  /// Forgets requests that left the window, and what they allowed to save;
  /// drops expired credits.
  void Expire(Millis aNow);
  /// The most that may be saved.
  double MaxSaved() const;

  RetryLimits mLimits;
  std::deque<Slice> mSlices;
  double mRequests = 0;  ///< Of all slices.
  double mSaved = 0;     ///< Retries that requests earned, not spent yet.
  std::deque<Credits> mCredits;
};

}  // namespace spindleweir
