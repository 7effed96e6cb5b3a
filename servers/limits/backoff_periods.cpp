#include "spindleweir/servers/limits/backoff_periods.h"

#include <algorithm>

namespace spindleweir {

void BackoffPeriods::Extend(const std::string& aInstance, Millis aDuration,
                            Millis aNow) {
  Millis& until = mUntil[aInstance];
  until = std::max(until, aNow + aDuration);
}

bool BackoffPeriods::IsActive(const std::string& aInstance, Millis aNow) const {
  const auto it = mUntil.find(aInstance);
  return it != mUntil.end() && aNow < it->second;
}

std::set<std::string> BackoffPeriods::HeldUpstreams(Millis aNow) {
  std::erase_if(mUntil,
                [aNow](const auto& aItem) { return aItem.second <= aNow; });
  std::set<std::string> held;
  for (const auto& [instance, until] : mUntil) {
    held.insert(instance);
  }
  return held;
}

}  // namespace spindleweir
