#include "spindleweir/servers/routing/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
    : mOptions(aOptions), mBalance(aOptions.mStart) {}

void RetryBudget::RequestStarted() {
  mBalance = std::min(mBalance + mOptions.mShare, mOptions.mMaximum);
}

bool RetryBudget::TrySpend() {
  if (mBalance < 1) {
    return false;
  }
  mBalance -= 1;
  return true;
}

Millis BackoffDelay(int aAttempt, Millis aFirst, Millis aMost,
                    const std::function<double()>& aRandom) {
  constexpr int kMostDoublings = 20;
  const int doublings = std::clamp(aAttempt - 1, 0, kMostDoublings);
  const double full =
      std::min(static_cast<double>(aFirst) * std::exp2(doublings),
               static_cast<double>(aMost));
  return static_cast<Millis>(full * (0.5 + aRandom() / 2));
}

}  // namespace spindleweir
