#include "spindleweir/servers/limits/stop_intake.h"

#include <algorithm>
#include <vector>

namespace spindleweir {

void StopIntake::Record(const std::string& aRoute, Millis aTook) {
  std::deque<Millis>& took = mTook[aRoute];
  took.push_back(aTook);
  if (took.size() > mOptions.mKept) {
    took.pop_front();
  }
}

Millis StopIntake::UsualDuration(const std::string& aRoute) const {
  const auto it = mTook.find(aRoute);
  if (it == mTook.end()) {
    return 0;
  }
  std::vector<Millis> took(it->second.begin(), it->second.end());
  const auto last = static_cast<double>(took.size() - 1);
  const auto place = static_cast<std::ptrdiff_t>(last * mOptions.mQuantile);
  std::nth_element(took.begin(), took.begin() + place, took.end());
  return took[static_cast<std::size_t>(place)];
}

bool StopIntake::Takes(const std::string& aRoute, Millis aLeft,
                       Millis aNow) const {
  if (mStoppedAt < 0) {
    return true;
  }
  const Millis since = aNow - mStoppedAt;
  if (since > mOptions.mTakeWithin) {
    return false;
  }
  return std::min(aLeft, UsualDuration(aRoute)) <= mOptions.mGrace - since;
}

}  // namespace spindleweir
