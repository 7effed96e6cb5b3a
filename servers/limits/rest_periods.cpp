#include "spindleweir/servers/limits/rest_periods.h"

#include <algorithm>

namespace spindleweir {

void RestPeriods::Ask(const std::string& aInstance, Millis aRest, Millis aNow) {
  Millis& until = mUntil[aInstance];
  until = std::max(until, aNow + aRest);
}

bool RestPeriods::Holds(const std::string& aInstance, Millis aNow) const {
  const auto it = mUntil.find(aInstance);
  return it != mUntil.end() && aNow < it->second;
}

std::set<std::string> RestPeriods::Held(Millis aNow) {
  std::erase_if(mUntil,
                [aNow](const auto& aItem) { return aItem.second <= aNow; });
  std::set<std::string> held;
  for (const auto& [instance, until] : mUntil) {
    held.insert(instance);
  }
  return held;
}

}  // namespace spindleweir
