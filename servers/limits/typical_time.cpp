#include "spindleweir/servers/limits/typical_time.h"

#include <cmath>

namespace spindleweir {

namespace {

/// Weight of one answer in the moving mean.
constexpr double kWeight = 0.05;

}  // namespace

bool TypicalTime::IsKnown(Millis aNow) const {
  return mRecordedAt >= 0 && aNow - mRecordedAt < mOptions.mRetention;
}

void TypicalTime::Record(Millis aTook, Millis aNow) {
  const auto took = static_cast<double>(aTook);
  mMean = IsKnown(aNow) ? mMean + kWeight * (took - mMean) : took;
  mRecordedAt = aNow;
}

Millis TypicalTime::At(Millis aExpected, Millis aNow) const {
  return IsKnown(aNow) ? std::llround(std::ceil(mMean)) : aExpected;
}

}  // namespace spindleweir
