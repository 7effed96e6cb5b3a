#include "spindleweir/servers/membership/collector_choice.h"

#include <algorithm>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

constexpr Millis kSecond = 1000;
/// Upstreams stay with their router as long as it answers, so that routers
/// count as collecting for this long after the last assignment.
constexpr Millis kAssignmentRetention = 60000;

}  // namespace

void CollectorChoice::OnPolled(const std::string& aProcess,
                               const std::string& aZone,
                               const std::string& aCollectorAddress,
                               Millis aNow) {
  if (aCollectorAddress.empty()) {
    mCollectors.erase(aProcess);
    return;
  }
  mCollectors[aProcess] = {aZone, aCollectorAddress, aNow};
  std::erase_if(mCollectors, [&](const auto& aItem) {
    return aNow - aItem.second.mPolledAt > mOptions.mPollWindow;
  });
}

bool CollectorChoice::ExceedsLocalRate(Millis aNow) {
  if (aNow - mSecondStartedAt >= kSecond) {
    mInLastSecond = aNow - mSecondStartedAt < 2 * kSecond ? mInSecond : 0;
    mInSecond = 0;
    mSecondStartedAt = aNow;
  }
  mInSecond++;
  return mOptions.mMaxLocalHeartbeats >= 0 &&
         std::max(mInSecond, mInLastSecond) > mOptions.mMaxLocalHeartbeats;
}

std::string CollectorChoice::OnHeartbeat(const std::string& aInstance,
                                         const std::string& aZone,
                                         Millis aNow) {
  if (!ExceedsLocalRate(aNow)) {
    return "";
  }
  const Collector* chosen = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [process, collector] : mCollectors) {
    const bool polls = aNow - collector.mPolledAt <= mOptions.mPollWindow;
    const std::uint64_t weight = FastHash(aInstance + " " + collector.mAddress);
    if (polls && collector.mZone == aZone &&
        (chosen == nullptr || weight > highest)) {
      chosen = &collector;
      highest = weight;
    }
  }
  if (chosen == nullptr) {
    return "";
  }
  mAssignedAt = aNow;
  return chosen->mAddress;
}

bool CollectorChoice::Delegates(Millis aNow) const {
  return mAssignedAt >= 0 && aNow - mAssignedAt < kAssignmentRetention;
}

}  // namespace spindleweir
