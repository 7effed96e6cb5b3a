#include "spindleweir/servers/limits/connection_admission.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Over this time accepted connections are averaged.
constexpr double kAverageTime = 1000;
/// Connections that arrive together are accepted together.
constexpr double kMaxTokens = 4;

double Decayed(double aValue, Millis aTime, double aTimeConstant) {
  return aValue * std::exp(-static_cast<double>(aTime) / aTimeConstant);
}

}  // namespace

bool ConnectionAdmission::OnStep(Millis aGap, Millis aInterval, Millis aNow) {
  const bool isLate = aGap - aInterval >= mOptions.mLateThreshold;
  // After a pause the steps catch up; under too much work they fall behind.
  const bool fallsBehind = isLate && mLateGap > 0 && aGap >= mLateGap;
  const Millis counted = fallsBehind ? aGap : std::min(aGap, mOptions.mMaxStep);
  mLateGap = isLate ? aGap : 0;
  const double before =
      Decayed(mPressure, counted, static_cast<double>(mOptions.mPressureTime));
  const double weight =
      1 - Decayed(1, counted, static_cast<double>(mOptions.mPressureTime));
  mPressure = before + (isLate ? weight : 0);
  if (mPressure >= mOptions.mHighPressure &&
      aNow - mLoweredAt >= mOptions.mHoldTime) {
    Lower(aNow);
    return true;
  }
  if (mLimit == 0 || mPressure >= mOptions.mLowPressure) {
    return false;
  }
  mLimit *= std::exp(static_cast<double>(counted) /
                     static_cast<double>(mOptions.mRiseTime));
  const Millis calm = aNow - std::max(mRefusedAt, mLoweredAt);
  if (calm < mOptions.mLimitRetention) {
    return false;
  }
  mLimit = 0;
  return true;
}

void ConnectionAdmission::Lower(Millis aNow) {
  const double accepted = AcceptedPerSecond(aNow);
  const double limit = mLimit > 0 ? std::min(mLimit, accepted) : accepted;
  if (mLimit == 0) {
    mTokens = 0;
    mTokensAt = aNow;
  }
  mLimit = std::max(mOptions.mMinPerSecond, limit * mOptions.mDecrease);
  mLoweredAt = aNow;
}

bool ConnectionAdmission::Accept(Millis aNow) {
  if (mLimit == 0) {
    RecordAccepted(aNow);
    return true;
  }
  const double earned =
      static_cast<double>(aNow - mTokensAt) * mLimit / kMillisPerSecond;
  mTokens = std::min(kMaxTokens, mTokens + earned);
  mTokensAt = aNow;
  if (mTokens < 1) {
    mRefusedAt = aNow;
    return false;
  }
  mTokens -= 1;
  RecordAccepted(aNow);
  return true;
}

void ConnectionAdmission::RecordAccepted(Millis aNow) {
  mAccepted = Decayed(mAccepted, aNow - mAcceptedAt, kAverageTime) + 1;
  mAcceptedAt = aNow;
}

double ConnectionAdmission::AcceptedPerSecond(Millis aNow) const {
  return Decayed(mAccepted, aNow - mAcceptedAt, kAverageTime) *
         kMillisPerSecond / kAverageTime;
}

}  // namespace spindleweir
