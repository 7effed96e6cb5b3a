/// Limits retries to a share of live traffic, so that they cannot worsen an
/// overload.
#pragma once

#include <functional>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Parameters of a RetryBudget.
struct RetryBudgetOptions {
  double mEarnedPerRequest = 0.1;  ///< Retries that each request earns.
  double mMaxBalance = 100;        ///< Maximum number of saved retries.
  double mInitialBalance = 10;     ///< Retries at the start.
};

/// Balance of retries: requests add to it, retries subtract from it.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  void RequestStarted();
  /// Takes one retry from the budget; returns false if there is none.
  bool TrySpend();

 private:
  RetryBudgetOptions mOptions;
  double mBalance;
};

/// Returns the delay before attempt aAttempt (from 1): aFirst, doubled with
/// each attempt up to aMax, times a random factor between one half and one.
Millis BackoffDelay(int aAttempt, Millis aFirst, Millis aMax,
                    const std::function<double()>& aRandom);

}  // namespace spindleweir
