#include "spindleweir/servers/routing/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
    : mOptions(aOptions), mBalance(aOptions.mInitialBalance) {}

void RetryBudget::RequestStarted() {
  mBalance =
      std::min(mBalance + mOptions.mEarnedPerRequest, mOptions.mMaxBalance);
}

bool RetryBudget::TrySpend() {
  if (mBalance < 1) {
    return false;
  }
  mBalance -= 1;
  return true;
}

Millis BackoffDelay(int aAttempt, Millis aFirst, Millis aMax,
                    const std::function<double()>& aRandom) {
  constexpr int kMaxDoublings = 20;
  const int doublings = std::clamp(aAttempt - 1, 0, kMaxDoublings);
  const double full =
      std::min(static_cast<double>(aFirst) * std::exp2(doublings),
               static_cast<double>(aMax));
  return static_cast<Millis>(full * (0.5 + aRandom() / 2));
}

}  // namespace spindleweir
