#include "spindleweir/servers/limits/recent_times.h"

#include <algorithm>

namespace spindleweir {

void RecentTimes::Record(const std::string& aName, Millis aAt) {
  const auto [it, first] = mTimes.try_emplace(aName, aAt);
  if (!first) {
    it->second = std::max(it->second, aAt);
    return;
  }
  mOrder.push_back(aName);
  if (mOrder.size() > mMaxNames) {
    mTimes.erase(mOrder.front());
    mOrder.pop_front();
  }
}

std::optional<Millis> RecentTimes::Find(const std::string& aName) const {
  const auto it = mTimes.find(aName);
  return it == mTimes.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace spindleweir
