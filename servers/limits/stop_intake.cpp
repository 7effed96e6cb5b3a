#include "spindleweir/servers/limits/stop_intake.h"

#include <algorithm>
#include <vector>

namespace spindleweir {

void StopIntake::Record(const std::string& aService, double aWork,
                        Millis aTook) {
  std::deque<double>& paces = mPaces[aService];
  paces.push_back(static_cast<double>(aTook) / std::max(1.0, aWork));
  if (paces.size() > mOptions.mKept) {
    paces.pop_front();
  }
}

Millis StopIntake::UsualDuration(const std::string& aService,
                                 double aWork) const {
  const auto it = mPaces.find(aService);
  if (it == mPaces.end()) {
    return 0;
  }
  std::vector<double> paces(it->second.begin(), it->second.end());
  const auto last = static_cast<double>(paces.size() - 1);
  const auto place = static_cast<std::ptrdiff_t>(last * mOptions.mQuantile);
  std::nth_element(paces.begin(), paces.begin() + place, paces.end());
  return static_cast<Millis>(paces[static_cast<std::size_t>(place)] *
                             std::max(1.0, aWork));
}

bool StopIntake::Takes(const std::string& aService, double aWork, Millis aLeft,
                       Millis aNow) const {
  if (mStoppedAt < 0) {
    return true;
  }
  const Millis since = aNow - mStoppedAt;
  if (since > mOptions.mTakeWithin) {
    return false;
  }
  return std::min(aLeft, UsualDuration(aService, aWork)) <=
         mOptions.mGrace - since;
}

}  // namespace spindleweir
