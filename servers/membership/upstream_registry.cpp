#include "spindleweir/servers/membership/upstream_registry.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// An incarnation that ended is remembered for this long, so that a late
/// heartbeat does not bring it back.
constexpr Millis kEndedKept = 60000;

/// How far two accounts of when the same heartbeat was heard may differ.
constexpr Millis kHeardWithin = 1000;

/// What matters to routers.
bool SameForRouters(const UpstreamRecord& aLeft, const UpstreamRecord& aRight) {
  return aLeft.mState == aRight.mState && aLeft.mLayers == aRight.mLayers &&
         aLeft.mBusy == aRight.mBusy && aLeft.mAddress == aRight.mAddress &&
         aLeft.mService == aRight.mService && aLeft.mSlots == aRight.mSlots;
}

bool Ends(UpstreamState aState) {
  return aState == UpstreamState::kLeaving || aState == UpstreamState::kGone;
}

}  // namespace

bool UpstreamRegistry::Beat(const UpstreamRecord& aRecord, Millis aNow) {
  return Take(aRecord, aNow, "");
}

bool UpstreamRegistry::Merge(const UpstreamRecord& aRecord, Millis aNow,
                             const std::string& aToldBy) {
  return Take(aRecord, aNow - aRecord.mHeardAgo, aToldBy);
}

bool UpstreamRegistry::Touch(const UpstreamBeat& aBeat, Millis aNow,
                             const std::string& aToldBy) {
  const auto it = mItems.find(aBeat.mInstance);
  if (it == mItems.end() || aBeat.mSequence <= it->second.mRecord.mSequence) {
    return false;
  }
  Item& item = it->second;
  item.mRecord.mSequence = aBeat.mSequence;
  item.mHeardAt = std::max(item.mHeardAt, aNow - aBeat.mHeardAgo);
  item.mTouchedAt = ++mRevision;
  item.mToldBy = aToldBy;
  if (item.mRecord.mState != UpstreamState::kSilent) {
    return false;
  }
  item.mRecord.mState = UpstreamState::kReady;
  item.mChangedAt = mNewestChange = mRevision;
  return true;
}

UpstreamState UpstreamRegistry::StateAfter(const Item& aItem,
                                           const UpstreamRecord& aWord,
                                           Millis aHeardAt) {
  const UpstreamRecord& before = aItem.mRecord;
  if (aWord.mSequence > before.mSequence) {
    // Whoever leaves does not come back under the same name.
    const bool back = Ends(before.mState) && aWord.mState < before.mState;
    return back ? before.mState : aWord.mState;
  }
  const bool ends = Ends(aWord.mState) && aWord.mState > before.mState;
  // Only who has heard as much may say that it is silent. When that was is
  // known the less well the more processes it went through.
  const bool silent = aWord.mState == UpstreamState::kSilent &&
                      before.mState == UpstreamState::kReady &&
                      aWord.mSequence == before.mSequence &&
                      aHeardAt + kHeardWithin >= aItem.mHeardAt;
  return ends || silent ? aWord.mState : before.mState;
}

bool UpstreamRegistry::Take(const UpstreamRecord& aRecord, Millis aHeardAt,
                            const std::string& aToldBy) {
  const auto [it, fresh] = mItems.try_emplace(aRecord.mInstance);
  Item& item = it->second;
  if (fresh) {
    item.mRecord = aRecord;
    item.mContentOf = aRecord.mSequence;
    item.mHeardAt = aHeardAt;
    item.mToldBy = aToldBy;
    item.mChangedAt = mNewestChange = ++mRevision;
    item.mTouchedAt = mRevision;
    EndPredecessors(aRecord);
    return true;
  }
  const UpstreamRecord before = item.mRecord;
  const UpstreamState state = StateAfter(item, aRecord, aHeardAt);
  if (aRecord.mSequence > item.mContentOf) {
    if (aRecord.mAddress != before.mAddress) {
      Forget(before);
      mAtAddress[aRecord.mAddress].insert(aRecord.mInstance);
    }
    item.mRecord = aRecord;
    item.mContentOf = aRecord.mSequence;
    item.mRecord.mSequence = std::max(before.mSequence, aRecord.mSequence);
  }
  item.mRecord.mState = state;
  item.mHeardAt = std::max(item.mHeardAt, aHeardAt);
  if (aRecord.mSequence > before.mSequence) {
    item.mTouchedAt = ++mRevision;
    item.mToldBy = aToldBy;
  }
  const bool changed = !SameForRouters(before, item.mRecord);
  if (changed) {
    item.mChangedAt = mNewestChange = ++mRevision;
    item.mTouchedAt = mRevision;
  }
  return changed;
}

void UpstreamRegistry::EndPredecessors(const UpstreamRecord& aRecord) {
  // An address has one process at a time: who had it before has ended.
  Item& own = mItems[aRecord.mInstance];
  std::set<std::string>& here = mAtAddress[aRecord.mAddress];
  for (const std::string& instance : here) {
    Item& item = mItems[instance];
    if (item.mRecord.mState == UpstreamState::kGone) {
      continue;
    }
    if (item.mHeardAt <= own.mHeardAt) {
      item.mRecord.mState = UpstreamState::kGone;
      item.mChangedAt = mNewestChange = ++mRevision;
      item.mTouchedAt = mRevision;
    } else if (own.mRecord.mState == UpstreamState::kReady) {
      // Word of the older one came later. Times that went through several
      // processes may be off, so that its own next heartbeat counts more.
      own.mRecord.mState = UpstreamState::kSilent;
    }
  }
  here.insert(aRecord.mInstance);
}

bool UpstreamRegistry::Leave(const std::string& aInstance, Millis aNow) {
  const auto [it, fresh] = mItems.try_emplace(aInstance);
  Item& item = it->second;
  item.mRecord.mInstance = aInstance;
  item.mHeardAt = aNow;
  if (item.mRecord.mState == UpstreamState::kGone) {
    return false;
  }
  item.mRecord.mState = UpstreamState::kGone;
  item.mChangedAt = mNewestChange = ++mRevision;
  item.mTouchedAt = mRevision;
  return true;
}

std::vector<UpstreamRecord> UpstreamRegistry::Expire(Millis aSilence,
                                                     Millis aNow) {
  std::vector<UpstreamRecord> fell;
  for (auto it = mItems.begin(); it != mItems.end();) {
    Item& item = it->second;
    const Millis silent = aNow - item.mHeardAt;
    if (silent > kEndedKept) {
      Forget(item.mRecord);
      it = mItems.erase(it);
      continue;
    }
    if (item.mRecord.mState == UpstreamState::kReady && silent > aSilence) {
      item.mRecord.mState = UpstreamState::kSilent;
      item.mChangedAt = mNewestChange = ++mRevision;
      item.mTouchedAt = mRevision;
      fell.push_back(item.mRecord);
      fell.back().mHeardAgo = silent;
    }
    ++it;
  }
  return fell;
}

void UpstreamRegistry::Forget(const UpstreamRecord& aRecord) {
  const auto it = mAtAddress.find(aRecord.mAddress);
  if (it == mAtAddress.end()) {
    return;
  }
  it->second.erase(aRecord.mInstance);
  if (it->second.empty()) {
    mAtAddress.erase(it);
  }
}

std::vector<UpstreamRecord> UpstreamRegistry::ChangedSince(
    std::int64_t aRevision, Millis aNow) const {
  std::vector<UpstreamRecord> records;
  for (const auto& [instance, item] : mItems) {
    if (item.mChangedAt > aRevision) {
      records.push_back(item.mRecord);
      records.back().mHeardAgo = aNow - item.mHeardAt;
    }
  }
  return records;
}

std::vector<UpstreamBeat> UpstreamRegistry::BeatsSince(
    std::int64_t aRevision, std::int64_t aKnown, Millis aNow,
    const std::set<std::string>& aHears) const {
  std::vector<UpstreamBeat> beats;
  for (const auto& [instance, item] : mItems) {
    const bool due = item.mTouchedAt > aRevision && item.mChangedAt <= aKnown;
    const bool known = !item.mToldBy.empty() && aHears.contains(item.mToldBy);
    if (due && !known) {
      beats.push_back({instance, item.mRecord.mSequence, aNow - item.mHeardAt});
    }
  }
  return beats;
}

std::vector<SilentUpstream> UpstreamRegistry::Silent() const {
  std::vector<SilentUpstream> silent;
  for (const auto& [instance, item] : mItems) {
    if (item.mRecord.mState == UpstreamState::kSilent) {
      silent.push_back({instance, item.mRecord.mSequence});
    }
  }
  return silent;
}

std::vector<UpstreamRecord> UpstreamRegistry::HeardLater(
    const std::vector<SilentUpstream>& aSilent, Millis aWithin,
    Millis aNow) const {
  std::vector<UpstreamRecord> records;
  for (const SilentUpstream& silent : aSilent) {
    const auto it = mItems.find(silent.mInstance);
    if (it == mItems.end()) {
      continue;
    }
    const Item& item = it->second;
    const bool later = item.mRecord.mState == UpstreamState::kReady &&
                       item.mRecord.mSequence > silent.mSequence &&
                       aNow - item.mHeardAt <= aWithin;
    if (later) {
      records.push_back(item.mRecord);
      records.back().mHeardAgo = aNow - item.mHeardAt;
    }
  }
  return records;
}

const UpstreamRecord* UpstreamRegistry::Find(
    const std::string& aInstance) const {
  const auto it = mItems.find(aInstance);
  return it == mItems.end() ? nullptr : &it->second.mRecord;
}

std::vector<const UpstreamRecord*> UpstreamRegistry::OfService(
    const std::string& aService) const {
  std::vector<const UpstreamRecord*> records;
  for (const auto& [instance, item] : mItems) {
    if (aService.empty() || item.mRecord.mService == aService) {
      records.push_back(&item.mRecord);
    }
  }
  return records;
}

}  // namespace spindleweir
