#include "spindleweir/servers/membership/forwarder_list.h"

#include <algorithm>
#include <tuple>

namespace spindleweir {

namespace {

/// A forwarder that failed is tried after the others for this time.
constexpr Millis kFailureRetention = 2000;
constexpr Millis kOfferRetention = 10000;
constexpr Millis kUrgentOfferRetention = 500;

}  // namespace

void ForwarderList::Set(std::vector<ForwarderInfo> aForwarders, Millis aNow) {
  mForwarders = std::move(aForwarders);
  mSetAt = aNow;
  std::erase_if(mFailedAt, [aNow](const auto& aItem) {
    return aNow - aItem.second >= kFailureRetention;
  });
}

void ForwarderList::OnFailed(const std::string& aAddress, Millis aNow) {
  mFailedAt[aAddress] = aNow;
}

std::vector<std::string> ForwarderList::Order(
    const std::string& aZone, const std::function<double()>& aRandom,
    Millis aNow) const {
  using Key = std::tuple<bool, double, std::string>;
  std::vector<Key> keys;
  for (const ForwarderInfo& info : mForwarders) {
    const auto failed = mFailedAt.find(info.mAddress);
    const bool hasFailed =
        failed != mFailedAt.end() && aNow - failed->second < kFailureRetention;
    const double preference =
        info.mZone == aZone ? mOptions.mLocalPreference : 0;
    keys.emplace_back(hasFailed, aRandom() - preference, info.mAddress);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<std::string> order;
  for (const Key& key : keys) {
    order.push_back(std::get<std::string>(key));
  }
  return order;
}

bool ForwarderList::IsDue(bool aUrgent, Millis aNow) const {
  const Millis retention =
      aUrgent || mForwarders.empty() ? kUrgentOfferRetention : kOfferRetention;
  return mSetAt < 0 || aNow - mSetAt >= retention;
}

}  // namespace spindleweir
