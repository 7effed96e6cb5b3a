#include "spindleweir/servers/limits/usual_time.h"

#include <cmath>

namespace spindleweir {

namespace {

/// How much one answer moves the mean.
constexpr double kWeight = 0.05;

}  // namespace

bool UsualTime::IsKnown(Millis aNow) const {
  return mRecordedAt >= 0 && aNow - mRecordedAt < mOptions.mKept;
}

void UsualTime::Record(Millis aTook, Millis aNow) {
  const auto took = static_cast<double>(aTook);
  mMean = IsKnown(aNow) ? mMean + kWeight * (took - mMean) : took;
  mRecordedAt = aNow;
}

Millis UsualTime::At(Millis aExpected, Millis aNow) const {
  return IsKnown(aNow) ? std::llround(std::ceil(mMean)) : aExpected;
}

}  // namespace spindleweir
