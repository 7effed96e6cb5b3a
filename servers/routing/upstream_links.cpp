#include "spindleweir/servers/routing/upstream_links.h"

#include <algorithm>

namespace spindleweir {

void UpstreamLinks::OnConnected(const std::string& aInstance, Millis aNow) {
  if (IsCutOff(aNow)) {
    mLinks.clear();
  }
  mConnectedAt = aNow;
  mLinks.erase(aInstance);
}

void UpstreamLinks::OnFailed(const std::string& aInstance, Millis aNow) {
  RemoveExpired(aNow);
  mLinks[aInstance].mFailedAt = aNow;
}

void UpstreamLinks::OnForwarded(const std::string& aInstance, Millis aNow) {
  RemoveExpired(aNow);
  mLinks[aInstance] = {.mFailedAt = aNow, .mForwardedAt = aNow};
}

void UpstreamLinks::RemoveExpired(Millis aNow) {
  std::erase_if(mLinks, [this, aNow](const auto& aItem) {
    return aNow - aItem.second.mFailedAt >= mOptions.mRetention;
  });
}

bool UpstreamLinks::IsLost(const std::string& aInstance, Millis aNow) const {
  const auto it = mLinks.find(aInstance);
  const bool isProven = it != mLinks.end() && it->second.mForwardedAt >= 0 &&
                        aNow - it->second.mForwardedAt < mOptions.mRetention;
  return isProven || IsCutOff(aNow);
}

bool UpstreamLinks::IsCutOff(Millis aNow) const {
  const auto failed = std::count_if(
      mLinks.begin(), mLinks.end(), [this, aNow](const auto& aItem) {
        return aNow - aItem.second.mFailedAt < mOptions.mRetention &&
               aItem.second.mFailedAt >= mConnectedAt;
      });
  return static_cast<std::size_t>(failed) >= mOptions.mLinksToCutOff;
}

bool UpstreamLinks::StartTrial(Millis aNow) {
  if (mTriedAt >= 0 && aNow - mTriedAt < mOptions.mTrialInterval) {
    return false;
  }
  mTriedAt = aNow;
  return true;
}

}  // namespace spindleweir
