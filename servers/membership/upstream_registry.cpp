#include "spindleweir/servers/membership/upstream_registry.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace spindleweir {

namespace {

/// An incarnation that ended, or fell silent, is remembered for this long, so
/// that late word does not bring it back.
constexpr Millis kEndedKept = 60000;

/// Word that was heard longer ago says nothing against an incarnation that
/// looks older: others forget the newer one within moments. The difference is
/// more than two accounts of one heartbeat differ by.
constexpr Millis kOldestWord = kEndedKept - 5000;

/// How far two accounts of when the same heartbeat was heard may differ.
constexpr Millis kHeardWithin = 1000;

/// Word that some incarnation left, of which nothing else is known.
bool TellsLeaveOnly(const UpstreamRecord& aRecord) {
  return aRecord.mStart == 0 && aRecord.mState == UpstreamState::kGone &&
         aRecord.mService.empty() && aRecord.mAddress.empty();
}

}  // namespace

bool SameForRouters(const UpstreamRecord& aLeft, const UpstreamRecord& aRight) {
  return aLeft.mStart == aRight.mStart && aLeft.mState == aRight.mState &&
         aLeft.mLayers == aRight.mLayers && aLeft.mBusy == aRight.mBusy &&
         aLeft.mAddress == aRight.mAddress &&
         aLeft.mService == aRight.mService && aLeft.mSlots == aRight.mSlots;
}

bool IsLeavingOrGone(UpstreamState aState) {
  return aState == UpstreamState::kLeaving || aState == UpstreamState::kGone;
}

bool UpstreamRegistry::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                      Millis aNow) {
  return Take(aRecord, aNow, "", aNow);
}

bool UpstreamRegistry::Merge(const UpstreamRecord& aRecord, Millis aNow,
                             const std::string& aToldBy) {
  return Take(aRecord, aNow - aRecord.mLastSeenAgo, aToldBy, aNow);
}

bool UpstreamRegistry::MergeHeartbeat(const UpstreamHeartbeat& aBeat,
                                      Millis aNow, const std::string& aToldBy) {
  const auto it = mItems.find(aBeat.mInstance);
  if (it == mItems.end()) {
    return false;
  }
  Item& item = it->second;
  const bool waits =
      item.mWaiting && item.mWaiting->mRecord.mStart == aBeat.mStart;
  Heard& heard = waits ? *item.mWaiting : item;
  if (aBeat.mStart != heard.mRecord.mStart ||
      aBeat.mSequence <= heard.mRecord.mSequence) {
    return false;
  }
  heard.mRecord.mSequence = aBeat.mSequence;
  heard.mHeardAt = std::max(heard.mHeardAt, aNow - aBeat.mLastSeenAgo);
  heard.mToldBy = aToldBy;
  if (waits) {
    return false;
  }
  item.mTouchedAt = ++mRevision;
  if (item.mRecord.mState != UpstreamState::kSilent) {
    return false;
  }
  item.mRecord.mState = UpstreamState::kReady;
  Changed(item);
  return true;
}

void UpstreamRegistry::Changed(Item& aItem) {
  aItem.mChangedAt = mLastChangeRevision = ++mRevision;
  aItem.mTouchedAt = mRevision;
}

UpstreamState UpstreamRegistry::StateAfter(const Heard& aHeard,
                                           const UpstreamRecord& aWord,
                                           Millis aHeardAt) {
  const UpstreamRecord& before = aHeard.mRecord;
  if (aWord.mSequence > before.mSequence) {
    // Whoever leaves does not come back before its next start.
    const bool back =
        IsLeavingOrGone(before.mState) && aWord.mState < before.mState;
    return back ? before.mState : aWord.mState;
  }
  const bool ends =
      IsLeavingOrGone(aWord.mState) && aWord.mState > before.mState;
  // Only who has heard as much may say that it is silent. When that was is
  // known the less well the more processes it went through.
  const bool silent = aWord.mState == UpstreamState::kSilent &&
                      before.mState == UpstreamState::kReady &&
                      aWord.mSequence == before.mSequence &&
                      aHeardAt + kHeardWithin >= aHeard.mHeardAt;
  return ends || silent ? aWord.mState : before.mState;
}

bool UpstreamRegistry::Take(const UpstreamRecord& aRecord, Millis aHeardAt,
                            const std::string& aToldBy, Millis aNow) {
  if (TellsLeaveOnly(aRecord)) {
    return LeaveUnnamed(aRecord.mInstance, aHeardAt) == LeaveOutcome::kEnded;
  }
  const auto [it, fresh] = mItems.try_emplace(aRecord.mInstance);
  Item& item = it->second;
  if (fresh) {
    Begin(item, {.mRecord = aRecord,
                 .mContentOf = aRecord.mSequence,
                 .mHeardAt = aHeardAt,
                 .mFirstAt = aHeardAt,
                 .mToldBy = aToldBy});
    return true;
  }
  if (aRecord.mStart < item.mRecord.mStart) {
    TakeOlder(item, aRecord, aHeardAt, aToldBy);
    return false;
  }
  if (aRecord.mStart > item.mRecord.mStart) {
    return TakeNewer(item, aRecord, aHeardAt, aToldBy, aNow);
  }
  return TakeSame(item, aRecord, aHeardAt, aToldBy);
}

void UpstreamRegistry::TakeWord(Heard& aHeard, const UpstreamRecord& aRecord,
                                Millis aHeardAt, const std::string& aToldBy) {
  const std::int64_t before = aHeard.mRecord.mSequence;
  const UpstreamState state = StateAfter(aHeard, aRecord, aHeardAt);
  if (aRecord.mSequence > aHeard.mContentOf) {
    aHeard.mRecord = aRecord;
    aHeard.mContentOf = aRecord.mSequence;
    aHeard.mRecord.mSequence = std::max(before, aRecord.mSequence);
  }
  aHeard.mRecord.mState = state;
  if (aRecord.mSequence >= before) {
    // One that was overtaken proves nothing by when it arrived.
    aHeard.mHeardAt = std::max(aHeard.mHeardAt, aHeardAt);
  }
  if (aRecord.mSequence > before) {
    aHeard.mToldBy = aToldBy;
  }
}

bool UpstreamRegistry::TakeSame(Item& aItem, const UpstreamRecord& aRecord,
                                Millis aHeardAt, const std::string& aToldBy) {
  const UpstreamRecord before = aItem.mRecord;
  TakeWord(aItem, aRecord, aHeardAt, aToldBy);
  if (aItem.mRecord.mAddress != before.mAddress) {
    Forget(before);
    mAtAddress[aItem.mRecord.mAddress].insert(aItem.mRecord.mInstance);
  }
  if (aItem.mRecord.mSequence > before.mSequence) {
    aItem.mTouchedAt = ++mRevision;
  }
  const bool changed = !SameForRouters(before, aItem.mRecord);
  if (changed) {
    Changed(aItem);
  }
  return changed;
}

void UpstreamRegistry::TakeOlder(Item& aItem, const UpstreamRecord& aRecord,
                                 Millis aHeardAt, const std::string& aToldBy) {
  std::optional<Heard>& waiting = aItem.mWaiting;
  if (waiting && waiting->mRecord.mStart == aRecord.mStart) {
    TakeWord(*waiting, aRecord, aHeardAt, aToldBy);
    return;
  }
  if (!waiting || aHeardAt > waiting->mHeardAt) {
    waiting = Heard{.mRecord = aRecord,
                    .mContentOf = aRecord.mSequence,
                    .mHeardAt = aHeardAt,
                    .mFirstAt = aHeardAt,
                    .mToldBy = aToldBy};
  }
}

bool UpstreamRegistry::TakeNewer(Item& aItem, const UpstreamRecord& aRecord,
                                 Millis aHeardAt, const std::string& aToldBy,
                                 Millis aNow) {
  if (aNow - aHeardAt > kOldestWord) {
    return false;
  }
  const Heard before = static_cast<const Heard&>(aItem);
  std::optional<Heard> waiting = std::move(aItem.mWaiting);
  const bool unknown = aItem.mLeftUnknownAt >= 0;
  // One process did not tell the start of the same incarnation, and another
  // does: one that starts again counts anew.
  const bool learnt = before.mRecord.mStart == 0 &&
                      !IsLeavingOrGone(before.mRecord.mState) &&
                      aRecord.mSequence > before.mRecord.mSequence;
  const bool follows = !unknown && !learnt;
  const bool left =
      unknown && aHeardAt <= aItem.mLeftUnknownAt + kLeaveDoubtWindow;
  if (follows && before.mHeardAt > aHeardAt) {
    waiting = before;
  }
  Forget(before.mRecord);
  Begin(aItem, {.mRecord = aRecord,
                .mContentOf = aRecord.mSequence,
                .mHeardAt = aHeardAt,
                .mFirstAt = aHeardAt,
                .mToldBy = aToldBy});
  aItem.mFollows = follows;
  aItem.mWaiting = std::move(waiting);
  if (left) {
    aItem.mRecord.mState = UpstreamState::kGone;
  }
  if (follows && mSuccessorHook) {
    mSuccessorHook(aItem.mRecord);
  }
  return true;
}

void UpstreamRegistry::Begin(Item& aItem, Heard aHeard) {
  static_cast<Heard&>(aItem) = std::move(aHeard);
  aItem.mFollows = false;
  aItem.mLeftUnknownAt = -1;
  aItem.mWaiting.reset();
  Changed(aItem);
  // One that is gone proves nothing against whoever has its address now.
  const bool there = aItem.mRecord.mState != UpstreamState::kGone;
  if (there && !aItem.mRecord.mAddress.empty()) {
    EndPredecessors(aItem.mRecord);
  }
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
    const bool looksOlder = own.mRecord.mStart < item.mRecord.mStart;
    if (item.mHeardAt <= own.mHeardAt && !looksOlder) {
      End(item);
    } else if (own.mRecord.mState == UpstreamState::kReady) {
      // Word of the older one came later. Times that went through several
      // processes may be off, and clocks step, so that its own next heartbeat
      // counts more.
      own.mRecord.mState = UpstreamState::kSilent;
    }
  }
  here.insert(aRecord.mInstance);
}

LeaveOutcome UpstreamRegistry::ApplyLeave(const std::string& aInstance,
                                          Millis aNow, std::int64_t aStart) {
  if (aStart == 0) {
    return LeaveUnnamed(aInstance, aNow);
  }
  UpstreamRecord gone;
  gone.mInstance = aInstance;
  gone.mStart = aStart;
  gone.mState = UpstreamState::kGone;
  const auto [it, fresh] = mItems.try_emplace(aInstance);
  Item& item = it->second;
  if (fresh) {
    Begin(item, {.mRecord = gone, .mHeardAt = aNow, .mFirstAt = aNow});
    return LeaveOutcome::kEnded;
  }
  if (aStart > item.mRecord.mStart) {
    TakeNewer(item, gone, aNow, "", aNow);
    return LeaveOutcome::kEnded;
  }
  if (aStart < item.mRecord.mStart) {
    TakeOlder(item, gone, aNow, "");
    return LeaveOutcome::kAlreadyKnown;
  }
  item.mHeardAt = aNow;
  if (item.mRecord.mState == UpstreamState::kGone) {
    return LeaveOutcome::kAlreadyKnown;
  }
  End(item);
  return LeaveOutcome::kEnded;
}

LeaveOutcome UpstreamRegistry::LeaveUnnamed(const std::string& aInstance,
                                            Millis aSaidAt) {
  const auto [it, fresh] = mItems.try_emplace(aInstance);
  Item& item = it->second;
  if (fresh) {
    item.mRecord.mInstance = aInstance;
    item.mHeardAt = item.mFirstAt = item.mLeftUnknownAt = aSaidAt;
    End(item);
    return LeaveOutcome::kEnded;
  }
  if (item.mFollows && aSaidAt - item.mFirstAt < kLeaveDoubtWindow) {
    return LeaveOutcome::kInDoubt;
  }
  item.mHeardAt = std::max(item.mHeardAt, aSaidAt);
  if (item.mRecord.mState == UpstreamState::kGone) {
    return LeaveOutcome::kAlreadyKnown;
  }
  End(item);
  return LeaveOutcome::kEnded;
}

void UpstreamRegistry::End(Item& aItem) {
  aItem.mRecord.mState = UpstreamState::kGone;
  Changed(aItem);
}

std::vector<UpstreamRecord> UpstreamRegistry::Expire(Millis aSilence,
                                                     Millis aNow) {
  std::vector<UpstreamRecord> fell;
  for (auto it = mItems.begin(); it != mItems.end();) {
    Item& item = it->second;
    if (Drop(item, aNow)) {
      it = mItems.erase(it);
      continue;
    }
    const Millis silent = aNow - item.mHeardAt;
    if (item.mRecord.mState == UpstreamState::kReady && silent > aSilence) {
      item.mRecord.mState = UpstreamState::kSilent;
      Changed(item);
      fell.push_back(item.mRecord);
      fell.back().mLastSeenAgo = silent;
    }
    ++it;
  }
  return fell;
}

void UpstreamRegistry::RemoveEnded(Millis aNow) {
  for (auto it = mItems.begin(); it != mItems.end();) {
    const bool ready = it->second.mRecord.mState == UpstreamState::kReady;
    it = !ready && Drop(it->second, aNow) ? mItems.erase(it) : std::next(it);
  }
}

bool UpstreamRegistry::Drop(Item& aItem, Millis aNow) {
  if (aNow - aItem.mHeardAt <= kEndedKept) {
    return false;
  }
  Forget(aItem.mRecord);
  if (!aItem.mWaiting || aNow - aItem.mWaiting->mHeardAt > kEndedKept) {
    // Who keeps pointers to records looks at this.
    mLastChangeRevision = ++mRevision;
    return true;
  }
  Begin(aItem, Heard(*aItem.mWaiting));
  aItem.mFollows = true;
  if (mSuccessorHook) {
    mSuccessorHook(aItem.mRecord);
  }
  return false;
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
      records.back().mLastSeenAgo = aNow - item.mHeardAt;
    }
  }
  return records;
}

std::vector<UpstreamHeartbeat> UpstreamRegistry::HeartbeatsSince(
    std::int64_t aRevision, std::int64_t aKnown, Millis aNow,
    const std::set<std::string>& aHears) const {
  std::vector<UpstreamHeartbeat> beats;
  for (const auto& [instance, item] : mItems) {
    const bool due = item.mTouchedAt > aRevision && item.mChangedAt <= aKnown;
    const bool known = !item.mToldBy.empty() && aHears.contains(item.mToldBy);
    if (due && !known) {
      beats.push_back({instance, item.mRecord.mSequence, aNow - item.mHeardAt,
                       item.mRecord.mStart});
    }
  }
  return beats;
}

std::vector<SilentUpstream> UpstreamRegistry::SilentUpstreams() const {
  std::vector<SilentUpstream> silent;
  for (const auto& [instance, item] : mItems) {
    if (item.mRecord.mState == UpstreamState::kSilent) {
      silent.push_back({instance, item.mRecord.mSequence, item.mRecord.mStart});
    }
  }
  return silent;
}

std::vector<UpstreamRecord> UpstreamRegistry::SeenLaterThan(
    const std::vector<SilentUpstream>& aSilent, Millis aWithin,
    Millis aNow) const {
  std::vector<UpstreamRecord> records;
  for (const SilentUpstream& silent : aSilent) {
    const auto it = mItems.find(silent.mInstance);
    if (it == mItems.end()) {
      continue;
    }
    const Item& item = it->second;
    const bool newer = std::tie(item.mRecord.mStart, item.mRecord.mSequence) >
                       std::tie(silent.mStart, silent.mSequence);
    const bool later = item.mRecord.mState == UpstreamState::kReady && newer &&
                       aNow - item.mHeardAt <= aWithin;
    if (later) {
      records.push_back(item.mRecord);
      records.back().mLastSeenAgo = aNow - item.mHeardAt;
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
