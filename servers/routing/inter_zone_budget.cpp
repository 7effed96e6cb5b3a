#include "spindleweir/servers/routing/inter_zone_budget.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr double kBitsPerByte = 8;
/// Bits per millisecond in 1 Mbit/s.
constexpr double kBitsPerMilliPerMbps = 1000;

}  // namespace

bool InterZoneBudget::Allows(const EngineProfile& aProfile, int aRouters,
                             Millis aNow) {
  const double rate = aProfile.mInterZoneMbps * kBitsPerMilliPerMbps *
                      mOptions.mShare / std::max(1, aRouters);
  const double max = rate * static_cast<double>(mOptions.mBurst);
  const Millis from = mRefilledAt < 0 ? mOptions.mStartedAt : mRefilledAt;
  const double gained =
      from < 0 ? max : rate * static_cast<double>(aNow - from);
  mBits = std::min(max, mBits + gained);
  mRefilledAt = aNow;
  return mBits > 0;
}

void InterZoneBudget::Spend(const EngineProfile& aProfile, double aTokens,
                            int aCrossings) {
  mBits -= aTokens * aProfile.mActivationBytes * kBitsPerByte * aCrossings;
}

}  // namespace spindleweir
