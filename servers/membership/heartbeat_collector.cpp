#include "spindleweir/servers/membership/heartbeat_collector.h"

#include <tuple>

namespace spindleweir {

namespace {

/// An upstream not seen for this long sends its heartbeats elsewhere, or ended.
constexpr Millis kRetention = 10000;

}  // namespace

bool HeartbeatCollector::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                        Millis aNow) {
  const auto [it, isNew] = mItems.try_emplace(aRecord.mInstance);
  Item& item = it->second;
  const UpstreamRecord before = item.mRecord;
  if (!isNew && std::tie(aRecord.mStart, aRecord.mSequence) <=
                    std::tie(before.mStart, before.mSequence)) {
    return false;
  }
  const bool succeeds = !isNew && aRecord.mStart > before.mStart;
  if (succeeds) {
    item.mSucceededAt = aNow;
  }
  item.mHeartbeatNumber = ++mNumber;
  if (isNew || !SameForRouters(before, aRecord)) {
    item.mChangeNumber = mNumber;
  }
  item.mRecord = aRecord;
  item.mLastSeenAt = aNow;
  return IsLeavingOrGone(aRecord.mState) &&
         (isNew || succeeds || !IsLeavingOrGone(before.mState));
}

const UpstreamRecord* HeartbeatCollector::ApplyLeave(
    const std::string& aInstance, Millis aNow, std::int64_t aStart) {
  const auto it = mItems.find(aInstance);
  if (it == mItems.end()) {
    return nullptr;
  }
  Item& item = it->second;
  const bool doubtful =
      item.mSucceededAt >= 0 && aNow - item.mSucceededAt < kLeaveDoubtWindow;
  const bool matches = aStart == 0 ? !doubtful : aStart == item.mRecord.mStart;
  if (!matches) {
    return nullptr;
  }
  item.mRecord.mState = UpstreamState::kGone;
  item.mLastSeenAt = aNow;
  item.mHeartbeatNumber = ++mNumber;
  item.mChangeNumber = mNumber;
  return &item.mRecord;
}

void HeartbeatCollector::RemoveExpired(Millis aNow) {
  std::erase_if(mItems, [aNow](const auto& aItem) {
    return aNow - aItem.second.mLastSeenAt > kRetention;
  });
}

CollectedHeartbeats HeartbeatCollector::Unreported(
    const std::string& aIncarnation, Millis aNow) {
  RemoveExpired(aNow);
  const std::int64_t known =
      aIncarnation == mAcknowledgedBy ? mAcknowledged : 0;
  CollectedHeartbeats report;
  report.mNumber = mNumber;
  for (const auto& [instance, item] : mItems) {
    const Millis ago = aNow - item.mLastSeenAt;
    if (item.mChangeNumber > known) {
      report.mChanged.push_back(item.mRecord);
      report.mChanged.back().mLastSeenAgo = ago;
    } else if (item.mHeartbeatNumber > known) {
      report.mHeartbeats.push_back(
          {instance, item.mRecord.mSequence, ago, item.mRecord.mStart});
    }
  }
  return report;
}

void HeartbeatCollector::Acknowledge(const std::string& aIncarnation,
                                     std::int64_t aNumber) {
  mAcknowledgedBy = aIncarnation;
  mAcknowledged = aNumber;
}

}  // namespace spindleweir
