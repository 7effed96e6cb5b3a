/// The parts of a voter that copy the log: entries, snapshots, commit.
#include <algorithm>

#include "spindleweir/servers/consensus/raft_node.h"

namespace spindleweir {

namespace {

constexpr std::size_t kRoundsKept = 128;
/// Where nobody listens a call ends within a round trip, a few milliseconds
/// between zones, and this leaves room for a late process. A time-out says
/// nothing: on a choked link entries went again with each heartbeat, up to
/// 256 KB each 0.1 s instead of each 0.4 s, and choked it further.
constexpr Millis kTurnedAwayWithin = 200;

}  // namespace

void RaftNode::HandleAppend(const RaftMessage& aMessage) {
  if (aMessage.mTerm < mHardState.mTerm) {
    Reply(aMessage, RaftKind::kAppendReply, false, LastIndex());
    return;
  }
  BecomeFollower(aMessage.mTerm, aMessage.mFrom);
  mLeaderHeardAt = mNow;
  mHeardLeader = true;
  if (!StoreEntries(aMessage)) {
    const std::int64_t hint = std::min(LastIndex(), aMessage.mIndex - 1);
    Reply(aMessage, RaftKind::kAppendReply, false, hint);
    return;
  }
  const std::int64_t last =
      aMessage.mIndex + static_cast<std::int64_t>(aMessage.mEntries.size());
  mCommit = std::max(mCommit, std::min(aMessage.mCommit, last));
  ApplyCommitted();
  Reply(aMessage, RaftKind::kAppendReply, true, last);
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
    const bool known =
        entry.mIndex <= mSnapshot.mIndex ||
        (entry.mIndex <= LastIndex() && TermAt(entry.mIndex) == entry.mTerm);
    if (known) {
      continue;
    }
    const auto fresh = std::span(aMessage.mEntries).subspan(i);
    mOptions.mStorage->Append(fresh);
    mEntries.resize(
        static_cast<std::size_t>(entry.mIndex - mSnapshot.mIndex - 1));
    mEntries.insert(mEntries.end(), fresh.begin(), fresh.end());
    RefreshVoters();
    break;
  }
  return true;
}

void RaftNode::HandleAppendReply(const RaftMessage& aMessage) {
  if (mRole != RaftRole::kLeader || aMessage.mTerm != mHardState.mTerm) {
    return;
  }
  Progress& progress = mProgress[aMessage.mFrom];
  progress.mHeardAt = mNow;
  progress.mRound = std::max(progress.mRound, aMessage.mRound);
  if (aMessage.mGranted && aMessage.mIndex >= progress.mSentLast) {
    progress.mSentLast = 0;
  }
  if (!aMessage.mGranted) {
    const std::int64_t before = progress.mNext;
    progress.mNext = std::max(progress.mMatch + 1, aMessage.mIndex + 1);
    if (progress.mNext != before) {
      // Otherwise the next heartbeat will do: sending the same again at once
      // would go on without end.
      progress.mSentLast = 0;
      SendAppend(aMessage.mFrom);
    }
    FinishReads();
    return;
  }
  progress.mMatch = std::max(progress.mMatch, aMessage.mIndex);
  progress.mNext = std::max(progress.mNext, progress.mMatch + 1);
  AdvanceCommit();
  FinishReads();
  if (progress.mNext <= LastIndex()) {
    SendAppend(aMessage.mFrom);
  }
}

void RaftNode::OnSendFailed(const std::string& aTo, Millis aAfter) {
  if (aAfter >= kTurnedAwayWithin) {
    return;
  }
  const auto it = mProgress.find(aTo);
  if (mRole == RaftRole::kLeader && it != mProgress.end()) {
    // A voter that started after its leader's first entry was sent knew of no
    // leader that may promise until that was sent again, up to 0.4 s later.
    it->second.mSentLast = 0;
  }
}

void RaftNode::HandleSnapshot(const RaftMessage& aMessage) {
  if (aMessage.mTerm < mHardState.mTerm) {
    Reply(aMessage, RaftKind::kAppendReply, false, LastIndex());
    return;
  }
  BecomeFollower(aMessage.mTerm, aMessage.mFrom);
  mLeaderHeardAt = mNow;
  mHeardLeader = true;
  const Snapshot& snapshot = aMessage.mSnapshot;
  if (snapshot.mIndex > mCommit) {
    // Entries after it may have been acknowledged, and then count.
    std::vector<LogEntry> rest;
    const bool same = snapshot.mIndex <= LastIndex() &&
                      TermAt(snapshot.mIndex) == snapshot.mTerm;
    if (same) {
      rest.assign(mEntries.begin() + static_cast<std::ptrdiff_t>(
                                         snapshot.mIndex - mSnapshot.mIndex),
                  mEntries.end());
    }
    mOptions.mStorage->SaveSnapshot(snapshot, rest, mHardState);
    mSnapshot = snapshot;
    mEntries = std::move(rest);
    mCommit = snapshot.mIndex;
    mApplied = snapshot.mIndex;
    RefreshVoters();
    mOptions.mInstallSnapshot(snapshot.mData);
  }
  Reply(aMessage, RaftKind::kAppendReply, true, snapshot.mIndex);
}

void RaftNode::AppendOwn(LogEntry aEntry) {
  aEntry.mIndex = LastIndex() + 1;
  aEntry.mTerm = mHardState.mTerm;
  mOptions.mStorage->Append(std::span(&aEntry, 1));
  mEntries.push_back(std::move(aEntry));
  RefreshVoters();
  AdvanceCommit();
  BroadcastAppend();
}

void RaftNode::BroadcastAppend() {
  mHeartbeatAt = mNow + mOptions.mHeartbeatInterval;
  // Each broadcast is a round of its own: who answers it followed this
  // leader at a time that is known.
  mRound++;
  mRoundTimes.push_back({mRound, mNow});
  if (mRoundTimes.size() > kRoundsKept) {
    mRoundTimes.pop_front();
  }
  for (const std::string& id : mVoters) {
    if (id != mOptions.mId) {
      SendAppend(id);
    }
  }
}

void RaftNode::SendAppend(const std::string& aTo) {
  Progress& progress = mProgress[aTo];
  RaftMessage message;
  message.mTo = aTo;
  message.mTerm = mHardState.mTerm;
  message.mRound = mRound;
  message.mCommit = mCommit;
  const bool underWay =
      progress.mSentLast > 0 && mNow - progress.mSentAt < mOptions.mResend;
  if (progress.mNext <= mSnapshot.mIndex && !underWay) {
    progress.mSentLast = mSnapshot.mIndex;
    progress.mSentAt = mNow;
    message.mKind = RaftKind::kSnapshot;
    message.mSnapshot = mSnapshot;
    Send(std::move(message));
    return;
  }
  if (progress.mNext <= mSnapshot.mIndex) {
    // Only to be heard: what stands before is on its way.
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
  if (!underWay) {
    AddEntries(progress, message);
  }
  Send(std::move(message));
}

void RaftNode::AddEntries(Progress& aProgress, RaftMessage& aMessage) {
  std::size_t bytes = 0;
  for (std::int64_t i = aProgress.mNext; i <= LastIndex(); i++) {
    bytes += EntryAt(i).mPayload.size();
    const bool full = aMessage.mEntries.size() >= mOptions.mEntriesPerMessage ||
                      bytes > mOptions.mBytesPerMessage;
    if (!aMessage.mEntries.empty() && full) {
      break;
    }
    aMessage.mEntries.push_back(EntryAt(i));
    aProgress.mSentLast = i;
    aProgress.mSentAt = mNow;
  }
}

void RaftNode::AdvanceCommit() {
  for (std::int64_t i = LastIndex(); i > mCommit; i--) {
    if (TermAt(i) != mHardState.mTerm) {
      return;
    }
    std::size_t stored = IsVoter(mOptions.mId) ? 1 : 0;
    for (const auto& [id, progress] : mProgress) {
      const bool has = progress.mMatch >= i;
      stored += (id != mOptions.mId && IsVoter(id) && has) ? 1 : 0;
    }
    if (IsMajority(stored)) {
      mCommit = i;
      ApplyCommitted();
      BroadcastAppend();
      return;
    }
  }
}

void RaftNode::ApplyCommitted() {
  while (mApplied < mCommit) {
    mApplied++;
    const LogEntry entry = EntryAt(mApplied);
    mBytesApplied += entry.mPayload.size();
    if (!entry.mPayload.empty()) {
      mOptions.mApply(entry);
    }
  }
  MaybeSnapshot();
}

void RaftNode::MaybeSnapshot() {
  const auto applied = static_cast<std::size_t>(mApplied - mSnapshot.mIndex);
  if (applied < mOptions.mSnapshotThresholdEntries &&
      mBytesApplied < mOptions.mSnapshotThresholdBytes) {
    return;
  }
  mBytesApplied = 0;
  Snapshot snapshot{.mIndex = mApplied, .mTerm = TermAt(mApplied)};
  snapshot.mVoters = mSnapshot.mVoters;
  for (std::int64_t i = mSnapshot.mIndex + 1; i <= mApplied; i++) {
    if (!EntryAt(i).mVoters.empty()) {
      snapshot.mVoters = EntryAt(i).mVoters;
    }
  }
  snapshot.mData = mOptions.mMakeSnapshot();
  const std::vector<LogEntry> rest(
      mEntries.begin() + static_cast<std::ptrdiff_t>(applied), mEntries.end());
  mOptions.mStorage->SaveSnapshot(snapshot, rest, mHardState);
  mSnapshot = std::move(snapshot);
  mEntries = rest;
}

}  // namespace spindleweir
