#include "spindleweir/servers/membership/collector_choice.h"

#include <algorithm>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

constexpr Millis kSecond = 1000;
/// Upstreams stay with their router for as long as it answers, so that one that
/// was named once counts for long.
constexpr Millis kNamedCounts = 60000;

}  // namespace

void CollectorChoice::OnPolled(const std::string& aProcess,
                               const std::string& aZone,
                               const std::string& aTakesAt, Millis aNow) {
  if (aTakesAt.empty()) {
    mTakers.erase(aProcess);
    return;
  }
  mTakers[aProcess] = {aZone, aTakesAt, aNow};
  std::erase_if(mTakers, [&](const auto& aItem) {
    return aNow - aItem.second.mAskedAt > mOptions.mPollWindow;
  });
}

bool CollectorChoice::HasMany(Millis aNow) {
  if (aNow - mSecondBegan >= kSecond) {
    mInLastSecond = aNow - mSecondBegan < 2 * kSecond ? mInSecond : 0;
    mInSecond = 0;
    mSecondBegan = aNow;
  }
  mInSecond++;
  return mOptions.mMaxLocalHeartbeats >= 0 &&
         std::max(mInSecond, mInLastSecond) > mOptions.mMaxLocalHeartbeats;
}

std::string CollectorChoice::OnHeartbeat(const std::string& aInstance,
                                         const std::string& aZone,
                                         Millis aNow) {
  if (!HasMany(aNow)) {
    return "";
  }
  const Taker* chosen = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [process, taker] : mTakers) {
    const bool asks = aNow - taker.mAskedAt <= mOptions.mPollWindow;
    const std::uint64_t weight = FastHash(aInstance + " " + taker.mAddress);
    if (asks && taker.mZone == aZone &&
        (chosen == nullptr || weight > highest)) {
      chosen = &taker;
      highest = weight;
    }
  }
  if (chosen == nullptr) {
    return "";
  }
  mNamedAt = aNow;
  return chosen->mAddress;
}

bool CollectorChoice::Delegates(Millis aNow) const {
  return mNamedAt >= 0 && aNow - mNamedAt < kNamedCounts;
}

}  // namespace spindleweir
