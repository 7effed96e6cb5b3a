#include "spindleweir/servers/membership/beat_taker.h"

namespace spindleweir {

namespace {

/// Who was not heard for so long sends its heartbeats elsewhere, or has ended.
constexpr Millis kKept = 10000;

bool Same(const UpstreamRecord& aLeft, const UpstreamRecord& aRight) {
  return aLeft.mState == aRight.mState && aLeft.mLayers == aRight.mLayers &&
         aLeft.mBusy == aRight.mBusy && aLeft.mAddress == aRight.mAddress &&
         aLeft.mSlots == aRight.mSlots;
}

}  // namespace

bool BeatTaker::Beat(const UpstreamRecord& aRecord, Millis aNow) {
  const auto [it, fresh] = mItems.try_emplace(aRecord.mInstance);
  Item& item = it->second;
  const UpstreamState before = item.mRecord.mState;
  if (!fresh && aRecord.mSequence <= item.mRecord.mSequence) {
    return false;
  }
  item.mHeard = ++mNumber;
  if (fresh || !Same(item.mRecord, aRecord)) {
    item.mChanged = mNumber;
  }
  item.mRecord = aRecord;
  item.mHeardAt = aNow;
  return aRecord.mState >= UpstreamState::kLeaving &&
         (fresh || before < UpstreamState::kLeaving);
}

const UpstreamRecord* BeatTaker::Leave(const std::string& aInstance,
                                       Millis aNow) {
  const auto it = mItems.find(aInstance);
  if (it == mItems.end()) {
    return nullptr;
  }
  Item& item = it->second;
  item.mRecord.mState = UpstreamState::kGone;
  item.mHeardAt = aNow;
  item.mHeard = ++mNumber;
  item.mChanged = mNumber;
  return &item.mRecord;
}

void BeatTaker::Forget(Millis aNow) {
  std::erase_if(mItems, [aNow](const auto& aItem) {
    return aNow - aItem.second.mHeardAt > kKept;
  });
}

TakenBeats BeatTaker::Untold(const std::string& aLife, Millis aNow) {
  Forget(aNow);
  const std::int64_t known = aLife == mToldLife ? mTold : 0;
  TakenBeats untold;
  untold.mNumber = mNumber;
  for (const auto& [instance, item] : mItems) {
    const Millis ago = aNow - item.mHeardAt;
    if (item.mChanged > known) {
      untold.mChanged.push_back(item.mRecord);
      untold.mChanged.back().mHeardAgo = ago;
    } else if (item.mHeard > known) {
      untold.mBeats.push_back({instance, item.mRecord.mSequence, ago});
    }
  }
  return untold;
}

void BeatTaker::Told(const std::string& aLife, std::int64_t aNumber) {
  mToldLife = aLife;
  mTold = aNumber;
}

}  // namespace spindleweir
