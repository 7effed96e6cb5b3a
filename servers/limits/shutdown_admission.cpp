#include "spindleweir/servers/limits/shutdown_admission.h"

#include <algorithm>
#include <vector>

namespace spindleweir {

void ShutdownAdmission::Record(const std::string& aService, double aTokens,
                               Millis aTook) {
  std::deque<double>& samples = mMillisPerToken[aService];
  samples.push_back(static_cast<double>(aTook) / std::max(1.0, aTokens));
  if (samples.size() > mOptions.mMaxSamples) {
    samples.pop_front();
  }
}

Millis ShutdownAdmission::TypicalDuration(const std::string& aService,
                                          double aTokens) const {
  const auto it = mMillisPerToken.find(aService);
  if (it == mMillisPerToken.end()) {
    return 0;
  }
  std::vector<double> samples(it->second.begin(), it->second.end());
  const auto last = static_cast<double>(samples.size() - 1);
  const auto rank = static_cast<std::ptrdiff_t>(last * mOptions.mQuantile);
  std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
  return static_cast<Millis>(samples[static_cast<std::size_t>(rank)] *
                             std::max(1.0, aTokens));
}

bool ShutdownAdmission::Admits(const std::string& aService, double aTokens,
                               Millis aLeft, Millis aNow) const {
  if (mStoppedAt < 0) {
    return true;
  }
  const Millis since = aNow - mStoppedAt;
  if (since > mOptions.mAdmitWindow) {
    return false;
  }
  return std::min(aLeft, TypicalDuration(aService, aTokens)) <=
         mOptions.mGrace - since;
}

}  // namespace spindleweir
