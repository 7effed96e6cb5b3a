/// Log replication of a voter: entries, snapshots and commit.
#include <algorithm>

#include "spindleweir/servers/consensus/raft_node.h"

namespace spindleweir {

namespace {

/// Rounds whose start times ConfirmedAt() can look up.
constexpr std::size_t kMaxRoundTimes = 128;
/// A call that fails within this time was refused: a refused connection fails
/// within a round trip, a few milliseconds between zones, and the rest allows
/// for scheduling delays. A timeout doesn't show whether the message arrived;
/// sending entries again after timeouts put up to 256 KB each 0.1 s instead of
/// each 0.4 s on a congested link and congested it further.
constexpr Millis kRefusedCallWindow = 200;
/// Heartbeats of voters for each one of a learner, which elects nobody.
constexpr Millis kLearnerHeartbeats = 4;

}  // namespace

void RaftNode::HandleAppend(const RaftMessage& aMessage) {
  if (aMessage.mTerm < mHardState.mTerm) {
    Reply(aMessage, RaftKind::kAppendReply, false, LastIndex());
    return;
  }
  BecomeFollower(aMessage.mTerm, aMessage.mFrom);
  mLeaderLastSeenAt = mNow;
  mHasSeenLeader = true;
  if (!StoreEntries(aMessage)) {
    const std::int64_t hint = std::min(LastIndex(), aMessage.mIndex - 1);
    Reply(aMessage, RaftKind::kAppendReply, false, hint);
    return;
  }
  const std::int64_t last =
      aMessage.mIndex + static_cast<std::int64_t>(aMessage.mEntries.size());
  OnLogMatches(last);
  mCommit = std::max(mCommit, std::min(aMessage.mCommit, last));
  ApplyCommitted();
  RaftMessage reply = MakeReply(aMessage, RaftKind::kAppendReply, true, last);
  reply.mReceived = mLeaderMatch;
  if (!aMessage.mEntries.empty() && last > mWrites.DurableIndex()) {
    SendWhenDurable(std::move(reply));
    return;
  }
  // A heartbeat confirms the leader, whatever the disk does meanwhile.
  reply.mIndex = std::min(mLeaderMatch, mWrites.DurableIndex());
  Send(std::move(reply));
}

void RaftNode::OnLogMatches(std::int64_t aLast) {
  const bool isSameLeader = mLeaderMatchTerm == mHardState.mTerm;
  mLeaderMatch = isSameLeader ? std::max(mLeaderMatch, aLast) : aLast;
  mLeaderMatchTerm = mHardState.mTerm;
}

bool RaftNode::StoreEntries(const RaftMessage& aMessage) {
  if (aMessage.mIndex > LastIndex()) {
    return false;
  }
  if (aMessage.mIndex >= mSnapshot.mIndex &&
      TermAt(aMessage.mIndex) != aMessage.mLogTerm) {
    return false;
  }
  for (std::size_t i = 0; i < aMessage.mEntries.size(); i++) {
    const LogEntry& entry = aMessage.mEntries[i];
    const bool isStored =
        entry.mIndex <= mSnapshot.mIndex ||
        (entry.mIndex <= LastIndex() && TermAt(entry.mIndex) == entry.mTerm);
    if (isStored) {
      continue;
    }
    if (entry.mIndex <= mCommit) {
      // Who would replace a committed entry has no log that may be followed.
      return false;
    }
    const auto newEntries = std::span(aMessage.mEntries).subspan(i);
    WriteEntries(newEntries);
    mEntries.resize(
        static_cast<std::size_t>(entry.mIndex - mSnapshot.mIndex - 1));
    mEntries.insert(mEntries.end(), newEntries.begin(), newEntries.end());
    RefreshVoters();
    break;
  }
  return true;
}

void RaftNode::HandleAppendReply(const RaftMessage& aMessage) {
  if (mRole != RaftRole::kLeader || aMessage.mTerm != mHardState.mTerm) {
    return;
  }
  const std::int64_t received = std::max(aMessage.mIndex, aMessage.mReceived);
  if (aMessage.mGranted && received > LastIndex()) {
    // Nobody can have more of this leader's log than there is.
    return;
  }
  Progress& progress = mProgress[aMessage.mFrom];
  progress.mLastSeenAt = mNow;
  progress.mRound = std::max(progress.mRound, aMessage.mRound);
  if (aMessage.mGranted && received >= progress.mLastInFlight) {
    progress.mLastInFlight = 0;
  }
  if (!aMessage.mGranted) {
    const std::int64_t before = progress.mNext;
    progress.mNext = std::max(progress.mMatch + 1, aMessage.mIndex + 1);
    if (progress.mNext != before) {
      // If nothing changed, the next heartbeat is soon enough: sending the same
      // message at once would repeat without end.
      progress.mLastInFlight = 0;
      SendAppend(aMessage.mFrom);
    }
    FinishReads();
    return;
  }
  progress.mMatch = std::max(progress.mMatch, aMessage.mIndex);
  progress.mNext = std::max(progress.mNext, received + 1);
  AdvanceCommit();
  FinishReads();
  const bool isBehind = progress.mNext <= LastEntryFor(aMessage.mFrom);
  if (isBehind && progress.mLastInFlight == 0) {
    SendAppend(aMessage.mFrom);
  }
}

void RaftNode::OnSendFailed(const std::string& aTo, Millis aAfter) {
  if (aAfter >= kRefusedCallWindow) {
    return;
  }
  const auto it = mProgress.find(aTo);
  if (mRole == RaftRole::kLeader && it != mProgress.end()) {
    // Marks the entries as no longer in flight. Otherwise a voter that starts
    // after the leader's first entry was sent would receive that entry only
    // after mResendTimeout, up to 0.4 s later, and know no ready leader until
    // then.
    it->second.mLastInFlight = 0;
  }
}

void RaftNode::HandleSnapshot(const RaftMessage& aMessage) {
  if (aMessage.mTerm < mHardState.mTerm) {
    Reply(aMessage, RaftKind::kAppendReply, false, LastIndex());
    return;
  }
  BecomeFollower(aMessage.mTerm, aMessage.mFrom);
  mLeaderLastSeenAt = mNow;
  mHasSeenLeader = true;
  const Snapshot& snapshot = aMessage.mSnapshot;
  if (snapshot.mIndex > mCommit) {
    // Entries after the snapshot may have been acknowledged, so they must be
    // retained if they follow the same log.
    std::vector<LogEntry> remaining;
    const bool sameLog = snapshot.mIndex <= LastIndex() &&
                         TermAt(snapshot.mIndex) == snapshot.mTerm;
    if (sameLog) {
      remaining.assign(
          mEntries.begin() +
              static_cast<std::ptrdiff_t>(snapshot.mIndex - mSnapshot.mIndex),
          mEntries.end());
    }
    if (!sameLog) {
      // Beyond the commit the disk holds another log until then.
      mWrites.Truncate(mCommit);
    }
    WriteSnapshot(snapshot, remaining);
    mSnapshot = snapshot;
    mEntries = std::move(remaining);
    mCommit = snapshot.mIndex;
    mApplied = snapshot.mIndex;
    RefreshVoters();
    mOptions.mInstallSnapshot(snapshot.mData);
  }
  OnLogMatches(snapshot.mIndex);
  SendWhenDurable(
      MakeReply(aMessage, RaftKind::kAppendReply, true, snapshot.mIndex));
}

void RaftNode::AppendToLog(LogEntry aEntry) {
  aEntry.mIndex = LastIndex() + 1;
  aEntry.mTerm = mHardState.mTerm;
  WriteEntries(std::span(&aEntry, 1));
  mEntries.push_back(std::move(aEntry));
  RefreshVoters();
  BroadcastAppend();
}

void RaftNode::BroadcastAppend() {
  mHeartbeatAt = mNow + mOptions.mHeartbeatInterval;
  // Each broadcast has a round number of its own: a voter that answers the
  // round followed this leader when the round began.
  mRound++;
  mRoundTimes.push_back({mRound, mNow});
  if (mRoundTimes.size() > kMaxRoundTimes) {
    mRoundTimes.pop_front();
  }
  for (const std::string& id : mVoters) {
    if (id != mOptions.mId) {
      SendAppend(id);
    }
  }
  for (const std::string& id : mLearners) {
    if (!IsVoter(id)) {
      SendToLearner(id);
    }
  }
}

void RaftNode::SendToLearner(const std::string& aTo) {
  const Progress& progress = mProgress[aTo];
  const bool isBehind =
      progress.mNext <= LastEntryFor(aTo) && progress.mLastInFlight == 0;
  const bool isDue = mNow - progress.mContactAt >=
                     kLearnerHeartbeats * mOptions.mHeartbeatInterval;
  if (isBehind || isDue) {
    SendAppend(aTo);
  }
}

void RaftNode::SendAppend(const std::string& aTo) {
  Progress& progress = mProgress[aTo];
  progress.mContactAt = mNow;
  RaftMessage message;
  message.mTo = aTo;
  message.mTerm = mHardState.mTerm;
  message.mRound = mRound;
  message.mCommit = mCommit;
  const bool inFlight = progress.mLastInFlight > 0 &&
                        mNow - progress.mSentAt < mOptions.mResendTimeout;
  if (progress.mNext <= mSnapshot.mIndex && !inFlight) {
    progress.mLastInFlight = mSnapshot.mIndex;
    progress.mSentAt = mNow;
    message.mKind = RaftKind::kSnapshot;
    message.mSnapshot = mSnapshot;
    Send(std::move(message));
    return;
  }
  if (progress.mNext <= mSnapshot.mIndex) {
    // Only a heartbeat: the snapshot is still in flight.
    message.mKind = RaftKind::kAppend;
    message.mIndex = LastIndex();
    message.mLogTerm = TermAt(message.mIndex);
    message.mCommit = 0;
    Send(std::move(message));
    return;
  }
  message.mKind = RaftKind::kAppend;
  message.mIndex = progress.mNext - 1;
  message.mLogTerm = TermAt(message.mIndex);
  if (!inFlight) {
    AddEntries(progress, message, LastEntryFor(aTo));
  }
  Send(std::move(message));
}

std::int64_t RaftNode::LastEntryFor(const std::string& aId) const {
  return IsVoter(aId) ? LastIndex() : mCommit;
}

void RaftNode::NotifyRemovedVoters() {
  if (!VotersAreCommitted()) {
    return;
  }
  // Without the entry one would take itself for a voter without a leader.
  for (const std::string& id : mRemovedVoters) {
    SendAppend(id);
  }
  mRemovedVoters.clear();
}

void RaftNode::AddEntries(Progress& aProgress, RaftMessage& aMessage,
                          std::int64_t aLast) {
  std::size_t bytes = 0;
  for (std::int64_t i = aProgress.mNext; i <= aLast; i++) {
    bytes += EntryAt(i).mPayload.size();
    const bool full =
        aMessage.mEntries.size() >= mOptions.mMaxEntriesPerMessage ||
        bytes > mOptions.mMaxBytesPerMessage;
    if (!aMessage.mEntries.empty() && full) {
      break;
    }
    aMessage.mEntries.push_back(EntryAt(i));
    aProgress.mLastInFlight = i;
    aProgress.mSentAt = mNow;
  }
}

void RaftNode::AdvanceCommit() {
  for (std::int64_t i = LastIndex(); i > mCommit; i--) {
    if (TermAt(i) != mHardState.mTerm) {
      return;
    }
    const bool isDurable = mWrites.DurableIndex() >= i;
    std::size_t stored = (IsVoter(mOptions.mId) && isDurable) ? 1 : 0;
    for (const auto& [id, progress] : mProgress) {
      const bool has = progress.mMatch >= i;
      stored += (id != mOptions.mId && IsVoter(id) && has) ? 1 : 0;
    }
    if (IsMajority(stored)) {
      mCommit = i;
      ApplyCommitted();
      BroadcastAppend();
      NotifyRemovedVoters();
      return;
    }
  }
}

void RaftNode::ApplyCommitted() {
  while (mApplied < mCommit) {
    mApplied++;
    const LogEntry entry = EntryAt(mApplied);
    mBytesSinceSnapshot += entry.mPayload.size();
    if (!entry.mPayload.empty()) {
      mOptions.mApply(entry);
    }
  }
  SnapshotIfDue();
}

void RaftNode::SnapshotIfDue() {
  const auto applied = static_cast<std::size_t>(mApplied - mSnapshot.mIndex);
  if (applied < mOptions.mSnapshotThresholdEntries &&
      mBytesSinceSnapshot < mOptions.mSnapshotThresholdBytes) {
    return;
  }
  mBytesSinceSnapshot = 0;
  Snapshot snapshot{.mIndex = mApplied, .mTerm = TermAt(mApplied)};
  snapshot.mVoters = mSnapshot.mVoters;
  for (std::int64_t i = mSnapshot.mIndex + 1; i <= mApplied; i++) {
    if (!EntryAt(i).mVoters.empty()) {
      snapshot.mVoters = EntryAt(i).mVoters;
    }
  }
  snapshot.mData = mOptions.mMakeSnapshot();
  const std::vector<LogEntry> remaining(
      mEntries.begin() + static_cast<std::ptrdiff_t>(applied), mEntries.end());
  WriteSnapshot(snapshot, remaining);
  mSnapshot = std::move(snapshot);
  mEntries = remaining;
}

}  // namespace spindleweir
