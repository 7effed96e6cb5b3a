#include "spindleweir/servers/membership/source_lag.h"

namespace spindleweir {

bool SourceLag::OnAnswer(const std::string& aAddress,
                         const SourceVersions& aVersions, Millis aNow) {
  if (aVersions.mConfirmed <= aVersions.mHeld) {
    mBehindSince.erase(aAddress);
    return false;
  }
  const auto [it, first] = mBehindSince.try_emplace(aAddress, aNow);
  if (first || aNow - it->second < mOptions.mTolerance) {
    return false;
  }
  mBehindSince.erase(it);
  return true;
}

}  // namespace spindleweir
