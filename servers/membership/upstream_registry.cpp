#include "spindleweir/servers/membership/upstream_registry.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace spindleweir {

namespace {

/// How long an incarnation that ended or is silent is stored, so that late
/// reports do not bring it back.
constexpr Millis kEndedRetention = 60000;

/// A report older than this does not replace an incarnation with an earlier
/// start: other processes are about to drop the incarnation that the report is
/// of. The difference of 5 s is greater than that between two reported times of
/// one heartbeat.
constexpr Millis kMaxReportAge = kEndedRetention - 5000;

/// Greatest difference between two reported times of the same heartbeat.
constexpr Millis kLastSeenTolerance = 1000;

/// Whether a record says only that some incarnation of the instance has left.
bool IsLeaveOnly(const UpstreamRecord& aRecord) {
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
  return Apply(aRecord, aNow, "", aNow);
}

bool UpstreamRegistry::Merge(const UpstreamRecord& aRecord, Millis aNow,
                             const std::string& aReporter) {
  return Apply(aRecord, aNow - aRecord.mLastSeenAgo, aReporter, aNow);
}

bool UpstreamRegistry::MergeHeartbeat(const UpstreamHeartbeat& aHeartbeat,
                                      Millis aNow,
                                      const std::string& aReporter) {
  const auto it = mItems.find(aHeartbeat.mInstance);
  if (it == mItems.end()) {
    return false;
  }
  Item& item = it->second;
  const bool isPending =
      item.mPending && item.mPending->mRecord.mStart == aHeartbeat.mStart;
  Incarnation& incarnation = isPending ? *item.mPending : item;
  if (aHeartbeat.mStart != incarnation.mRecord.mStart ||
      aHeartbeat.mSequence <= incarnation.mRecord.mSequence) {
    return false;
  }
  incarnation.mRecord.mSequence = aHeartbeat.mSequence;
  incarnation.mLastSeenAt =
      std::max(incarnation.mLastSeenAt, aNow - aHeartbeat.mLastSeenAgo);
  incarnation.mReporter = aReporter;
  if (isPending) {
    return false;
  }
  item.mHeartbeatRevision = ++mRevision;
  if (item.mRecord.mState != UpstreamState::kSilent) {
    return false;
  }
  item.mRecord.mState = UpstreamState::kReady;
  MarkChanged(item, aReporter);
  return true;
}

void UpstreamRegistry::MarkChanged(Item& aItem, const std::string& aReporter) {
  aItem.mChangeReporter = aReporter;
  aItem.mChangeRevision = mLastChangeRevision = ++mRevision;
  aItem.mHeartbeatRevision = mRevision;
}

UpstreamState UpstreamRegistry::StateAfter(const Incarnation& aIncarnation,
                                           const UpstreamRecord& aRecord,
                                           Millis aSeenAt) {
  const UpstreamRecord& before = aIncarnation.mRecord;
  if (aRecord.mSequence > before.mSequence) {
    // An upstream that leaves does not come back before its next start.
    const bool back =
        IsLeavingOrGone(before.mState) && aRecord.mState < before.mState;
    return back ? before.mState : aRecord.mState;
  }
  const bool ends =
      IsLeavingOrGone(aRecord.mState) && aRecord.mState > before.mState;
  // A report may mark the upstream as silent only if it knows the same newest
  // heartbeat. Its time is less exact the more processes forwarded it.
  const bool silent = aRecord.mState == UpstreamState::kSilent &&
                      before.mState == UpstreamState::kReady &&
                      aRecord.mSequence == before.mSequence &&
                      aSeenAt + kLastSeenTolerance >= aIncarnation.mLastSeenAt;
  return ends || silent ? aRecord.mState : before.mState;
}

bool UpstreamRegistry::Apply(const UpstreamRecord& aRecord, Millis aSeenAt,
                             const std::string& aReporter, Millis aNow) {
  if (IsLeaveOnly(aRecord)) {
    return ApplyLeaveWithoutStart(aRecord.mInstance, aSeenAt) ==
           LeaveOutcome::kEnded;
  }
  const auto [it, isNew] = mItems.try_emplace(aRecord.mInstance);
  Item& item = it->second;
  if (isNew) {
    Begin(item, {.mRecord = aRecord,
                 .mContentSequence = aRecord.mSequence,
                 .mLastSeenAt = aSeenAt,
                 .mFirstSeenAt = aSeenAt,
                 .mReporter = aReporter});
    return true;
  }
  if (aRecord.mStart < item.mRecord.mStart) {
    ApplyOlder(item, aRecord, aSeenAt, aReporter);
    return false;
  }
  if (aRecord.mStart > item.mRecord.mStart) {
    return ApplyNewer(item, aRecord, aSeenAt, aReporter, aNow);
  }
  return ApplySame(item, aRecord, aSeenAt, aReporter);
}

void UpstreamRegistry::UpdateFromRecord(Incarnation& aIncarnation,
                                        const UpstreamRecord& aRecord,
                                        Millis aSeenAt,
                                        const std::string& aReporter) {
  const std::int64_t before = aIncarnation.mRecord.mSequence;
  const UpstreamState state = StateAfter(aIncarnation, aRecord, aSeenAt);
  if (aRecord.mSequence > aIncarnation.mContentSequence) {
    aIncarnation.mRecord = aRecord;
    aIncarnation.mContentSequence = aRecord.mSequence;
    aIncarnation.mRecord.mSequence = std::max(before, aRecord.mSequence);
  }
  aIncarnation.mRecord.mState = state;
  if (aRecord.mSequence >= before) {
    // A record that a newer one has overtaken does not show that it is alive.
    aIncarnation.mLastSeenAt = std::max(aIncarnation.mLastSeenAt, aSeenAt);
  }
  if (aRecord.mSequence > before) {
    aIncarnation.mReporter = aReporter;
  }
}

bool UpstreamRegistry::ApplySame(Item& aItem, const UpstreamRecord& aRecord,
                                 Millis aSeenAt, const std::string& aReporter) {
  const UpstreamRecord before = aItem.mRecord;
  UpdateFromRecord(aItem, aRecord, aSeenAt, aReporter);
  if (aItem.mRecord.mAddress != before.mAddress) {
    RemoveFromAddress(before);
    mInstancesByAddress[aItem.mRecord.mAddress].insert(aItem.mRecord.mInstance);
  }
  if (aItem.mRecord.mSequence > before.mSequence) {
    aItem.mHeartbeatRevision = ++mRevision;
  }
  const bool changed = !SameForRouters(before, aItem.mRecord);
  if (changed) {
    MarkChanged(aItem, aReporter);
  }
  return changed;
}

void UpstreamRegistry::ApplyOlder(Item& aItem, const UpstreamRecord& aRecord,
                                  Millis aSeenAt,
                                  const std::string& aReporter) {
  std::optional<Incarnation>& pending = aItem.mPending;
  if (pending && pending->mRecord.mStart == aRecord.mStart) {
    UpdateFromRecord(*pending, aRecord, aSeenAt, aReporter);
    return;
  }
  if (!pending || aSeenAt > pending->mLastSeenAt) {
    pending = Incarnation{.mRecord = aRecord,
                          .mContentSequence = aRecord.mSequence,
                          .mLastSeenAt = aSeenAt,
                          .mFirstSeenAt = aSeenAt,
                          .mReporter = aReporter};
  }
}

bool UpstreamRegistry::ApplyNewer(Item& aItem, const UpstreamRecord& aRecord,
                                  Millis aSeenAt, const std::string& aReporter,
                                  Millis aNow) {
  if (aNow - aSeenAt > kMaxReportAge) {
    return false;
  }
  const Incarnation before = static_cast<const Incarnation&>(aItem);
  std::optional<Incarnation> pending = std::move(aItem.mPending);
  const bool unknown = aItem.mLeftUnseenAt >= 0;
  // The incarnation is the same, and only its start became known: one process
  // did not report it and another does. After a restart the sequence begins
  // again.
  const bool startLearned = before.mRecord.mStart == 0 &&
                            !IsLeavingOrGone(before.mRecord.mState) &&
                            aRecord.mSequence > before.mRecord.mSequence;
  const bool succeeds = !unknown && !startLearned;
  const bool left =
      unknown && aSeenAt <= aItem.mLeftUnseenAt + kLeaveDoubtWindow;
  if (succeeds && before.mLastSeenAt > aSeenAt) {
    pending = before;
  }
  RemoveFromAddress(before.mRecord);
  Begin(aItem, {.mRecord = aRecord,
                .mContentSequence = aRecord.mSequence,
                .mLastSeenAt = aSeenAt,
                .mFirstSeenAt = aSeenAt,
                .mReporter = aReporter});
  aItem.mHasPredecessor = succeeds;
  aItem.mPending = std::move(pending);
  if (left) {
    aItem.mRecord.mState = UpstreamState::kGone;
  }
  if (succeeds && mSuccessorHook) {
    mSuccessorHook(aItem.mRecord);
  }
  return true;
}

void UpstreamRegistry::Begin(Item& aItem, Incarnation aIncarnation) {
  static_cast<Incarnation&>(aItem) = std::move(aIncarnation);
  aItem.mHasPredecessor = false;
  aItem.mLeftUnseenAt = -1;
  aItem.mPending.reset();
  MarkChanged(aItem, aItem.mReporter);
  // A gone incarnation does not end the one that has its address now.
  const bool isPresent = aItem.mRecord.mState != UpstreamState::kGone;
  if (isPresent && !aItem.mRecord.mAddress.empty()) {
    EndPredecessors(aItem.mRecord);
  }
}

void UpstreamRegistry::EndPredecessors(const UpstreamRecord& aRecord) {
  // An address has one process at a time: the one before has ended.
  Item& added = mItems[aRecord.mInstance];
  std::set<std::string>& atAddress = mInstancesByAddress[aRecord.mAddress];
  for (const std::string& instance : atAddress) {
    Item& item = mItems[instance];
    if (item.mRecord.mState == UpstreamState::kGone) {
      continue;
    }
    const bool looksOlder = added.mRecord.mStart < item.mRecord.mStart;
    if (item.mLastSeenAt <= added.mLastSeenAt && !looksOlder) {
      End(item);
    } else if (added.mRecord.mState == UpstreamState::kReady) {
      // The report of the other one is later, or its start is. Forwarded times
      // may be inexact, and clocks may step, so the added upstream is silent
      // until its next heartbeat.
      added.mRecord.mState = UpstreamState::kSilent;
    }
  }
  atAddress.insert(aRecord.mInstance);
}

LeaveOutcome UpstreamRegistry::ApplyLeave(const std::string& aInstance,
                                          Millis aNow, std::int64_t aStart) {
  if (aStart == 0) {
    return ApplyLeaveWithoutStart(aInstance, aNow);
  }
  UpstreamRecord gone;
  gone.mInstance = aInstance;
  gone.mStart = aStart;
  gone.mState = UpstreamState::kGone;
  const auto [it, isNew] = mItems.try_emplace(aInstance);
  Item& item = it->second;
  if (isNew) {
    Begin(item, {.mRecord = gone, .mLastSeenAt = aNow, .mFirstSeenAt = aNow});
    return LeaveOutcome::kEnded;
  }
  if (aStart > item.mRecord.mStart) {
    ApplyNewer(item, gone, aNow, "", aNow);
    return LeaveOutcome::kEnded;
  }
  if (aStart < item.mRecord.mStart) {
    ApplyOlder(item, gone, aNow, "");
    return LeaveOutcome::kAlreadyKnown;
  }
  item.mLastSeenAt = aNow;
  if (item.mRecord.mState == UpstreamState::kGone) {
    return LeaveOutcome::kAlreadyKnown;
  }
  End(item);
  return LeaveOutcome::kEnded;
}

LeaveOutcome UpstreamRegistry::ApplyLeaveWithoutStart(
    const std::string& aInstance, Millis aSeenAt) {
  const auto [it, isNew] = mItems.try_emplace(aInstance);
  Item& item = it->second;
  if (isNew) {
    item.mRecord.mInstance = aInstance;
    item.mLastSeenAt = item.mFirstSeenAt = item.mLeftUnseenAt = aSeenAt;
    End(item);
    return LeaveOutcome::kEnded;
  }
  if (item.mHasPredecessor && aSeenAt - item.mFirstSeenAt < kLeaveDoubtWindow) {
    return LeaveOutcome::kInDoubt;
  }
  item.mLastSeenAt = std::max(item.mLastSeenAt, aSeenAt);
  if (item.mRecord.mState == UpstreamState::kGone) {
    return LeaveOutcome::kAlreadyKnown;
  }
  End(item);
  return LeaveOutcome::kEnded;
}

void UpstreamRegistry::End(Item& aItem) {
  aItem.mRecord.mState = UpstreamState::kGone;
  MarkChanged(aItem, "");
}

std::vector<UpstreamRecord> UpstreamRegistry::Expire(Millis aSilenceTimeout,
                                                     Millis aNow) {
  std::vector<UpstreamRecord> becameSilent;
  for (auto it = mItems.begin(); it != mItems.end();) {
    Item& item = it->second;
    if (DropExpired(item, aNow)) {
      it = mItems.erase(it);
      continue;
    }
    const Millis silent = aNow - item.mLastSeenAt;
    if (item.mRecord.mState == UpstreamState::kReady &&
        silent > aSilenceTimeout) {
      item.mRecord.mState = UpstreamState::kSilent;
      MarkChanged(item, "");
      becameSilent.push_back(item.mRecord);
      becameSilent.back().mLastSeenAgo = silent;
    }
    ++it;
  }
  return becameSilent;
}

void UpstreamRegistry::RemoveEnded(Millis aNow) {
  for (auto it = mItems.begin(); it != mItems.end();) {
    const bool ready = it->second.mRecord.mState == UpstreamState::kReady;
    it = !ready && DropExpired(it->second, aNow) ? mItems.erase(it)
                                                 : std::next(it);
  }
}

bool UpstreamRegistry::DropExpired(Item& aItem, Millis aNow) {
  if (aNow - aItem.mLastSeenAt <= kEndedRetention) {
    return false;
  }
  RemoveFromAddress(aItem.mRecord);
  if (!aItem.mPending || aNow - aItem.mPending->mLastSeenAt > kEndedRetention) {
    // Callers that store pointers to records compare this revision.
    mLastChangeRevision = ++mRevision;
    return true;
  }
  Begin(aItem, Incarnation(*aItem.mPending));
  aItem.mHasPredecessor = true;
  if (mSuccessorHook) {
    mSuccessorHook(aItem.mRecord);
  }
  return false;
}

void UpstreamRegistry::RemoveFromAddress(const UpstreamRecord& aRecord) {
  const auto it = mInstancesByAddress.find(aRecord.mAddress);
  if (it == mInstancesByAddress.end()) {
    return;
  }
  it->second.erase(aRecord.mInstance);
  if (it->second.empty()) {
    mInstancesByAddress.erase(it);
  }
}

std::set<std::string> UpstreamRegistry::ChangeReporters(
    std::int64_t aRevision) const {
  std::set<std::string> reporters;
  for (const auto& [instance, item] : mItems) {
    if (item.mChangeRevision > aRevision) {
      reporters.insert(item.mChangeReporter);
    }
  }
  return reporters;
}

std::vector<UpstreamRecord> UpstreamRegistry::ChangedSince(
    std::int64_t aRevision, Millis aNow,
    const std::optional<std::string>& aReporter) const {
  std::vector<UpstreamRecord> records;
  for (const auto& [instance, item] : mItems) {
    const bool isWanted =
        !aReporter.has_value() || item.mChangeReporter == *aReporter;
    if (isWanted && item.mChangeRevision > aRevision) {
      records.push_back(item.mRecord);
      records.back().mLastSeenAgo = aNow - item.mLastSeenAt;
    }
  }
  return records;
}

std::vector<UpstreamHeartbeat> UpstreamRegistry::HeartbeatsSince(
    std::int64_t aRevision, std::int64_t aKnown, Millis aNow,
    const std::set<std::string>& aReporters) const {
  std::vector<UpstreamHeartbeat> heartbeats;
  for (const auto& [instance, item] : mItems) {
    const bool isDue =
        item.mHeartbeatRevision > aRevision && item.mChangeRevision <= aKnown;
    const bool isKnown =
        !item.mReporter.empty() && aReporters.contains(item.mReporter);
    if (isDue && !isKnown) {
      heartbeats.push_back({instance, item.mRecord.mSequence,
                            aNow - item.mLastSeenAt, item.mRecord.mStart});
    }
  }
  return heartbeats;
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
    const std::vector<SilentUpstream>& aSilent, Millis aWindow,
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
                       aNow - item.mLastSeenAt <= aWindow;
    if (later) {
      records.push_back(item.mRecord);
      records.back().mLastSeenAgo = aNow - item.mLastSeenAt;
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
