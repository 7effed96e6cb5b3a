#include "spindleweir/servers/membership/heartbeat_collector.h"

#include <tuple>

namespace spindleweir {

namespace {

/// Who was not heard for so long sends its heartbeats elsewhere, or has ended.
constexpr Millis kKept = 10000;

}  // namespace

bool HeartbeatCollector::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                        Millis aNow) {
  const auto [it, fresh] = mItems.try_emplace(aRecord.mInstance);
  Item& item = it->second;
  const UpstreamRecord before = item.mRecord;
  if (!fresh && std::tie(aRecord.mStart, aRecord.mSequence) <=
                    std::tie(before.mStart, before.mSequence)) {
    return false;
  }
  const bool follows = !fresh && aRecord.mStart > before.mStart;
  if (follows) {
    item.mFollowsAt = aNow;
  }
  item.mHeard = ++mNumber;
  if (fresh || !SameForRouters(before, aRecord)) {
    item.mChanged = mNumber;
  }
  item.mRecord = aRecord;
  item.mHeardAt = aNow;
  return IsLeavingOrGone(aRecord.mState) &&
         (fresh || follows || !IsLeavingOrGone(before.mState));
}

const UpstreamRecord* HeartbeatCollector::ApplyLeave(
    const std::string& aInstance, Millis aNow, std::int64_t aStart) {
  const auto it = mItems.find(aInstance);
  if (it == mItems.end()) {
    return nullptr;
  }
  Item& item = it->second;
  const bool doubtful =
      item.mFollowsAt >= 0 && aNow - item.mFollowsAt < kLeaveDoubtWindow;
  const bool means = aStart == 0 ? !doubtful : aStart == item.mRecord.mStart;
  if (!means) {
    return nullptr;
  }
  item.mRecord.mState = UpstreamState::kGone;
  item.mHeardAt = aNow;
  item.mHeard = ++mNumber;
  item.mChanged = mNumber;
  return &item.mRecord;
}

void HeartbeatCollector::Forget(Millis aNow) {
  std::erase_if(mItems, [aNow](const auto& aItem) {
    return aNow - aItem.second.mHeardAt > kKept;
  });
}

CollectedHeartbeats HeartbeatCollector::Unreported(const std::string& aLife,
                                                   Millis aNow) {
  Forget(aNow);
  const std::int64_t known = aLife == mToldLife ? mTold : 0;
  CollectedHeartbeats untold;
  untold.mNumber = mNumber;
  for (const auto& [instance, item] : mItems) {
    const Millis ago = aNow - item.mHeardAt;
    if (item.mChanged > known) {
      untold.mChanged.push_back(item.mRecord);
      untold.mChanged.back().mLastSeenAgo = ago;
    } else if (item.mHeard > known) {
      untold.mHeartbeats.push_back(
          {instance, item.mRecord.mSequence, ago, item.mRecord.mStart});
    }
  }
  return untold;
}

void HeartbeatCollector::Acknowledge(const std::string& aLife,
                                     std::int64_t aNumber) {
  mToldLife = aLife;
  mTold = aNumber;
}

}  // namespace spindleweir
