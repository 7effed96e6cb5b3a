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

/// A single heartbeat does not replace an incarnation at its address that sent
/// this many: it may be late.
constexpr int kSteadyHeartbeats = 2;

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
  const UpstreamState before = item.mRecord.mState;
  const bool wasSilent = StateToReport(item) == UpstreamState::kSilent;
  if (wasSilent) {
    SetState(item, UpstreamState::kReady);
  }
  OnNewerHeartbeat(item, wasSilent);
  if (item.mRecord.mState == before) {
    return false;
  }
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
  const std::int64_t sequence = aIncarnation.mRecord.mSequence;
  const UpstreamState before = StateToReport(aIncarnation);
  if (aRecord.mSequence > sequence) {
    // An upstream that leaves does not come back before its next start.
    const bool back = IsLeavingOrGone(before) && aRecord.mState < before;
    return back ? before : aRecord.mState;
  }
  const bool ends = IsLeavingOrGone(aRecord.mState) && aRecord.mState > before;
  // A report may mark the upstream as silent only if it knows the same newest
  // heartbeat. Its time is less exact the more processes forwarded it.
  const bool silent = aRecord.mState == UpstreamState::kSilent &&
                      before == UpstreamState::kReady &&
                      aRecord.mSequence == sequence &&
                      aSeenAt + kLastSeenTolerance >= aIncarnation.mLastSeenAt;
  return ends || silent ? aRecord.mState : before;
}

UpstreamState UpstreamRegistry::StateToReport(const Incarnation& aIncarnation) {
  return aIncarnation.mIsReplaced ? UpstreamState::kSilent
                                  : aIncarnation.mRecord.mState;
}

void UpstreamRegistry::SetState(Incarnation& aIncarnation,
                                UpstreamState aState) {
  aIncarnation.mIsReplaced =
      aIncarnation.mIsReplaced && aState == UpstreamState::kSilent;
  aIncarnation.mRecord.mState =
      aIncarnation.mIsReplaced ? UpstreamState::kGone : aState;
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
  SetState(aIncarnation, state);
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
  const bool wasSilent = StateToReport(aItem) == UpstreamState::kSilent;
  UpdateFromRecord(aItem, aRecord, aSeenAt, aReporter);
  if (aItem.mRecord.mAddress != before.mAddress) {
    RemoveFromAddress(before);
    mInstancesByAddress[aItem.mRecord.mAddress].insert(aItem.mRecord.mInstance);
  }
  if (aItem.mRecord.mSequence > before.mSequence) {
    aItem.mHeartbeatRevision = ++mRevision;
    OnNewerHeartbeat(aItem, wasSilent);
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
                            !IsLeavingOrGone(StateToReport(before)) &&
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
  aItem.mHeartbeats = 1;
  MarkChanged(aItem, aItem.mReporter);
  // A gone incarnation does not replace the one that has its address now.
  const bool isPresent = aItem.mRecord.mState != UpstreamState::kGone;
  if (isPresent && !aItem.mRecord.mAddress.empty()) {
    mInstancesByAddress[aItem.mRecord.mAddress].insert(aItem.mRecord.mInstance);
    OnFirstHeartbeat(aItem);
  }
}

std::vector<std::string> UpstreamRegistry::OthersAtAddress(
    const UpstreamRecord& aRecord) const {
  std::vector<std::string> others;
  const auto it = mInstancesByAddress.find(aRecord.mAddress);
  if (it == mInstancesByAddress.end()) {
    return others;
  }
  for (const std::string& instance : it->second) {
    const bool isOther =
        instance != aRecord.mInstance &&
        mItems.at(instance).mRecord.mState != UpstreamState::kGone;
    if (isOther) {
      others.push_back(instance);
    }
  }
  return others;
}

void UpstreamRegistry::OnFirstHeartbeat(Item& aAdded) {
  const std::vector<std::string> others = OthersAtAddress(aAdded.mRecord);
  const bool isSilent = aAdded.mRecord.mState == UpstreamState::kSilent;
  const bool isLast =
      std::all_of(others.begin(), others.end(), [&](const std::string& aOther) {
        const Item& other = mItems.at(aOther);
        return other.mLastSeenAt <= aAdded.mLastSeenAt &&
               other.mRecord.mStart <= aAdded.mRecord.mStart;
      });
  if (isSilent && !isLast) {
    Replace(aAdded);
  } else if (isLast && !isSilent) {
    for (const std::string& other : others) {
      Replace(mItems.at(other));
    }
  } else if (aAdded.mRecord.mState == UpstreamState::kReady) {
    // The report of another one is later, or its start is. Forwarded times may
    // be inexact, and clocks may step, so the added upstream is silent until
    // its next heartbeat.
    aAdded.mRecord.mState = UpstreamState::kSilent;
  }
}

void UpstreamRegistry::OnNewerHeartbeat(Item& aItem, bool aWasSilent) {
  if (aItem.mRecord.mState == UpstreamState::kSilent ||
      aItem.mRecord.mState == UpstreamState::kGone) {
    return;
  }
  aItem.mHeartbeats++;
  for (const std::string& instance : OthersAtAddress(aItem.mRecord)) {
    Item& other = mItems.at(instance);
    const bool isLater = other.mLastSeenAt > aItem.mLastSeenAt;
    if (!isLater && Outlives(aItem, other)) {
      Replace(other);
    }
    if (isLater && aWasSilent &&
        other.mRecord.mState != UpstreamState::kSilent) {
      // A forwarded heartbeat from before the other one's.
      Replace(aItem);
    }
  }
}

bool UpstreamRegistry::Outlives(const Item& aItem, const Item& aOther) {
  if (aItem.mRecord.mStart != aOther.mRecord.mStart) {
    return aItem.mRecord.mStart > aOther.mRecord.mStart;
  }
  // One heartbeat may be late by seconds. Where the other one was heard several
  // times, both are used until either is heard again.
  return aItem.mHeartbeats >= kSteadyHeartbeats ||
         aOther.mHeartbeats < kSteadyHeartbeats;
}

void UpstreamRegistry::Replace(Item& aItem) {
  aItem.mHeartbeats = 0;
  const bool mayReturn = !IsLeavingOrGone(aItem.mRecord.mState);
  End(aItem);
  aItem.mIsReplaced = mayReturn;
}

bool UpstreamRegistry::IsReplaced(const std::string& aInstance) const {
  const auto it = mItems.find(aInstance);
  return it != mItems.end() && it->second.mIsReplaced;
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
  if (StateToReport(item) == UpstreamState::kGone) {
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
  if (StateToReport(item) == UpstreamState::kGone) {
    return LeaveOutcome::kAlreadyKnown;
  }
  End(item);
  return LeaveOutcome::kEnded;
}

void UpstreamRegistry::End(Item& aItem) {
  aItem.mIsReplaced = false;
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
      records.back().mState = StateToReport(item);
      records.back().mLastSeenAgo = aNow - item.mLastSeenAt;
    }
  }
  return records;
}

std::vector<UpstreamRecord> UpstreamRegistry::LeavingOrGone(Millis aNow) const {
  std::vector<UpstreamRecord> records;
  for (const auto& [instance, item] : mItems) {
    // One that was replaced may come back.
    if (IsLeavingOrGone(StateToReport(item))) {
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
    if (StateToReport(item) == UpstreamState::kSilent) {
      silent.push_back({instance, item.mRecord.mSequence, item.mRecord.mStart});
    }
  }
  AppendSharing(silent);
  return silent;
}

void UpstreamRegistry::AppendSharing(
    std::vector<SilentUpstream>& aSilent) const {
  for (const auto& [address, instances] : mInstancesByAddress) {
    std::vector<SilentUpstream> ready;
    if (instances.size() < 2) {
      continue;
    }
    for (const std::string& instance : instances) {
      const UpstreamRecord& record = mItems.at(instance).mRecord;
      if (record.mState == UpstreamState::kReady) {
        ready.push_back({instance, record.mSequence, record.mStart});
      }
    }
    if (ready.size() > 1) {
      aSilent.insert(aSilent.end(), ready.begin(), ready.end());
    }
  }
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
