#include "spindleweir/servers/membership/forwarder_offer.h"

#include <algorithm>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

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

}  // namespace spindleweir
