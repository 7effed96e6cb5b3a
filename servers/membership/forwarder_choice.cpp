#include "spindleweir/servers/membership/forwarder_choice.h"

#include <algorithm>
#include <tuple>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

/// A forwarder that failed is tried after the others for this time.
constexpr Millis kFailureRetention = 2000;
constexpr Millis kOfferRetention = 10000;
constexpr Millis kUrgentOfferRetention = 500;

/// A router with its rank among the offers to one other router.
struct RankedForwarder {
  std::uint64_t mRank = 0;
  const ForwarderInfo* mInfo = nullptr;
};

void Append(std::vector<RankedForwarder> aRanked, std::size_t aMax,
            std::vector<ForwarderInfo>& aOffer) {
  std::sort(aRanked.begin(), aRanked.end(),
            [](const RankedForwarder& aLeft, const RankedForwarder& aRight) {
              return aLeft.mRank < aRight.mRank;
            });
  const std::size_t n = std::min(aMax, aRanked.size());
  for (std::size_t i = 0; i < n; i++) {
    aOffer.push_back(*aRanked[i].mInfo);
  }
}

}  // namespace

void ForwarderOffer::OnPolled(const std::string& aProcess,
                              const ForwarderInfo& aInfo, Millis aNow) {
  if (aInfo.mAddress.empty()) {
    mForwarders.erase(aProcess);
    return;
  }
  mForwarders[aProcess] = {aInfo, aNow};
  std::erase_if(mForwarders, [&](const auto& aItem) {
    return aNow - aItem.second.mPolledAt > mOptions.mPollWindow;
  });
}

std::vector<ForwarderInfo> ForwarderOffer::For(const std::string& aProcess,
                                               const std::string& aZone,
                                               Millis aNow) const {
  std::vector<RankedForwarder> local;
  std::vector<RankedForwarder> remote;
  for (const auto& [process, forwarder] : mForwarders) {
    if (process == aProcess ||
        aNow - forwarder.mPolledAt > mOptions.mPollWindow) {
      continue;
    }
    const ForwarderInfo& info = forwarder.mInfo;
    std::vector<RankedForwarder>& ranked = info.mZone == aZone ? local : remote;
    ranked.push_back({FastHash(aProcess + " " + info.mAddress), &info});
  }
  std::vector<ForwarderInfo> offer;
  Append(std::move(local), mOptions.mLocal, offer);
  Append(std::move(remote), mOptions.mRemote, offer);
  return offer;
}

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
