/// Bounds retries to a share of live traffic, so that they cannot make an
/// overload worse.
#pragma once

#include <functional>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// How the budget is set up.
struct RetryBudgetOptions {
  double mEarnedPerRequest = 0.1;  ///< Retries earned by each request.
  double mMaxBalance = 100;        ///< Retries that can be saved up.
  double mInitialBalance = 10;     ///< Retries at the start.
};

/// Requests earn, retries spend.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  void RequestStarted();
  /// Takes one retry from the budget; false where there is none.
  bool TrySpend();

 private:
  RetryBudgetOptions mOptions;
  double mBalance;
};

/// How long to wait before attempt aAttempt (from 1): doubled each time from
/// aFirst to aMax, times a random share between one half and one.
Millis BackoffDelay(int aAttempt, Millis aFirst, Millis aMax,
                    const std::function<double()>& aRandom);

}  // namespace spindleweir
