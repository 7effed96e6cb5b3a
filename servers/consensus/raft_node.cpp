#include "spindleweir/servers/consensus/raft_node.h"

#include <algorithm>
#include <limits>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// A leader without contact for this many heartbeat intervals may have failed.
constexpr Millis kLeaderContactHeartbeats = 2;
/// A leader whose disk has not confirmed a write for this time gives way, if
/// changes are committed without it.
constexpr Millis kMaxLeaderWrite = 5000;
/// A learner that lacks at most this many entries gets them in one message.
constexpr std::int64_t kMaxLearnerLag = 16;

}  // namespace

RaftNode::RaftNode(RaftOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)), mRandom(mOptions.mSeed), mNow(aNow) {
  DurableState state = mOptions.mStorage->Load();
  mHardState = state.mHardState;
  mSnapshot = std::move(state.mSnapshot);
  mEntries = std::move(state.mEntries);
  mCommit = mSnapshot.mIndex;
  mApplied = mSnapshot.mIndex;
  mWrites.SetDurableIndex(LastIndex());
  mCandidacy = std::uniform_int_distribution<std::int64_t>(
      1, std::numeric_limits<std::int32_t>::max())(mRandom);
  mLeaderLastSeenAt = aNow - mOptions.mElectionTimeout;
  if (mSnapshot.mIndex > 0) {
    mOptions.mInstallSnapshot(mSnapshot.mData);
  }
  if (mSnapshot.mVoters.empty() && !mOptions.mVoters.empty()) {
    // A restart may pass no voters, so the initial ones are saved too.
    mSnapshot.mVoters = mOptions.mVoters;
    WriteSnapshot(mSnapshot, mEntries);
    FinishWrites();
  }
  RefreshVoters();
  // No leader is known, so an early pre-vote disturbs none.
  std::uniform_int_distribution<Millis> spread(0, mOptions.mElectionTimeout);
  mElectionAt = mNow + spread(mRandom);
}

void RaftNode::RunUnlessFailed(const std::function<void()>& aStep) {
  if (mFailed) {
    return;
  }
  try {
    aStep();
    while (FinishWrites()) {
    }
  } catch (const Error& error) {
    const bool isStorageError = error.Code() == ResultCode::kStorageFailed ||
                                error.Code() == ResultCode::kDataUnwritable;
    if (!isStorageError) {
      throw;
    }
    // The state on disk is unknown, so this voter can't vote or acknowledge
    // entries any more.
    mFailed = true;
    mRole = RaftRole::kFollower;
    mLeader.clear();
    mHeld.clear();
    FailReads();
  }
}

void RaftNode::WriteHardState() {
  if (!mHardStateChanged) {
    return;
  }
  mOptions.mStorage->SaveHardState(mHardState);
  mHardStateChanged = false;
  mWrites.Begin(LastIndex(), mNow);
}

void RaftNode::WriteEntries(std::span<const LogEntry> aEntries) {
  WriteHardState();
  mOptions.mStorage->Append(aEntries);
  mWrites.Truncate(aEntries.front().mIndex - 1);
  mWrites.Begin(aEntries.back().mIndex, mNow);
}

void RaftNode::WriteSnapshot(const Snapshot& aSnapshot,
                             std::span<const LogEntry> aRemaining) {
  mOptions.mStorage->SaveSnapshot(aSnapshot, aRemaining, mHardState);
  mHardStateChanged = false;
  mWrites.Begin(aSnapshot.mIndex + static_cast<std::int64_t>(aRemaining.size()),
                mNow);
}

bool RaftNode::FinishWrites() {
  if (mWrites.Empty() ||
      !mWrites.Finish(mOptions.mStorage->DurableWrites(), mNow)) {
    return false;
  }
  while (!mHeld.empty() && !mWrites.IsPending(mHeld.front().mWrite)) {
    const RaftMessage message = std::move(mHeld.front().mMessage);
    mHeld.pop_front();
    Send(message);
  }
  if (mVoteWrite != 0 && !mWrites.IsPending(mVoteWrite)) {
    mVoteWrite = 0;
    mVoteDurableAt = mNow;
    if (mLeader.empty()) {
      RestartVoteTimer();
    }
    if (mIsStanding) {
      CountVote(mOptions.mId);
    }
  }
  if (mRole == RaftRole::kLeader) {
    AdvanceCommit();
    FinishReads();
  }
  return true;
}

void RaftNode::OnStorageProgress(Millis aNow) {
  mNow = aNow;
  RunUnlessFailed([] {});
}

void RaftNode::Tick(Millis aNow) {
  mNow = aNow;
  RunUnlessFailed([this] {
    if (mRole == RaftRole::kLeader) {
      if (HasLostQuorum() || IsLeftBehind()) {
        // Fails pending reads now instead of leaving them open.
        BecomeFollower(mHardState.mTerm, "");
      } else if (mNow >= mHeartbeatAt) {
        BroadcastAppend();
      }
      return;
    }
    // A voter whose own vote is not on its disk yet can't win an election, nor
    // can one whose vote would wait behind a write that takes long.
    const bool waitsForDisk =
        mVoteWrite != 0 || mWrites.OldestAge(mNow) > mOptions.mElectionTimeout;
    if (mNow >= mElectionAt && !waitsForDisk && IsVoter(mOptions.mId)) {
      StartPreVote();
    }
  });
}

bool RaftNode::HasLostQuorum() const {
  std::size_t seen = 1;
  for (const auto& [id, progress] : mProgress) {
    const bool recent =
        mNow - progress.mLastSeenAt < 2 * mOptions.mElectionTimeout;
    seen += (IsVoter(id) && recent) ? 1 : 0;
  }
  return !IsMajority(seen);
}

bool RaftNode::IsLeftBehind() const {
  return mWrites.OldestAge(mNow) >= kMaxLeaderWrite &&
         mCommit > mWrites.DurableIndex();
}

void RaftNode::Receive(const RaftMessage& aMessage, Millis aNow) {
  mNow = aNow;
  if (aMessage.mTo != mOptions.mId) {
    return;
  }
  RunUnlessFailed([this, &aMessage] { Step(aMessage); });
}

void RaftNode::Step(const RaftMessage& aMessage) {
  if (aMessage.mKind == RaftKind::kPreVote) {
    HandlePreVote(aMessage);
    return;
  }
  const bool grantedPreVote =
      aMessage.mKind == RaftKind::kPreVoteReply && aMessage.mGranted;
  if (aMessage.mTerm > mHardState.mTerm && !grantedPreVote) {
    const bool leads = aMessage.mKind == RaftKind::kAppend ||
                       aMessage.mKind == RaftKind::kSnapshot;
    BecomeFollower(aMessage.mTerm, leads ? aMessage.mFrom : "");
  }
  switch (aMessage.mKind) {
    case RaftKind::kPreVote:
      break;
    case RaftKind::kVote:
      HandleVote(aMessage);
      break;
    case RaftKind::kPreVoteReply:
    case RaftKind::kVoteReply:
      HandleVoteReply(aMessage);
      break;
    case RaftKind::kAppend:
      HandleAppend(aMessage);
      break;
    case RaftKind::kAppendReply:
      HandleAppendReply(aMessage);
      break;
    case RaftKind::kSnapshot:
      HandleSnapshot(aMessage);
      break;
    case RaftKind::kTimeoutNow:
      HandleTimeoutNow(aMessage);
      break;
  }
}

std::int64_t RaftNode::Propose(const std::string& aPayload) {
  std::int64_t index = 0;
  RunUnlessFailed([this, &aPayload, &index] {
    if (mRole == RaftRole::kLeader) {
      const std::int64_t next = LastIndex() + 1;
      AppendToLog({.mPayload = aPayload});
      index = next;
    }
  });
  return index;
}

std::int64_t RaftNode::ProposeVoters(const std::vector<std::string>& aVoters) {
  const auto missing = [](const std::vector<std::string>& aFrom,
                          const std::vector<std::string>& aIn) {
    return std::count_if(
        aFrom.begin(), aFrom.end(), [&aIn](const std::string& aId) {
          return std::find(aIn.begin(), aIn.end(), aId) == aIn.end();
        });
  };
  const bool oneVoterChanged =
      missing(aVoters, mVoters) + missing(mVoters, aVoters) == 1;
  if (aVoters.empty() || !oneVoterChanged || !Leads() ||
      !VotersAreCommitted()) {
    return 0;
  }
  std::int64_t index = 0;
  RunUnlessFailed([this, &aVoters, &index] {
    const std::int64_t next = LastIndex() + 1;
    const std::vector<std::string> before = mVoters;
    AppendToLog({.mVoters = aVoters});
    index = next;
    for (const std::string& id : before) {
      if (!IsVoter(id)) {
        mRemovedVoters.push_back(id);
      }
    }
  });
  return index;
}

bool RaftNode::VotersAreCommitted() const {
  for (std::int64_t i = std::max(mCommit, mSnapshot.mIndex) + 1;
       i <= LastIndex(); i++) {
    if (!EntryAt(i).mVoters.empty()) {
      return false;
    }
  }
  return true;
}

void RaftNode::SetLearners(std::vector<std::string> aIds) {
  if (mRole != RaftRole::kLeader) {
    return;
  }
  mLearners = std::move(aIds);
  for (const std::string& id : mLearners) {
    mProgress.try_emplace(id, Progress{.mNext = LastIndex() + 1});
  }
}

bool RaftNode::HoldsLog(const std::string& aId) const {
  const auto it = mProgress.find(aId);
  return mRole == RaftRole::kLeader && it != mProgress.end() &&
         mNow - it->second.mLastSeenAt < 2 * mOptions.mElectionTimeout &&
         it->second.mMatch > 0 && it->second.mMatch + kMaxLearnerLag >= mCommit;
}

void RaftNode::TransferLeadership(std::span<const std::string> aTo) {
  const auto it =
      std::find_if(aTo.begin(), aTo.end(), [this](const std::string& aId) {
        return aId != mOptions.mId && IsVoter(aId) && HoldsLog(aId) &&
               mProgress.at(aId).mNext > LastIndex();
      });
  if (it == aTo.end()) {
    return;
  }
  RaftMessage message;
  message.mKind = RaftKind::kTimeoutNow;
  message.mTo = *it;
  message.mTerm = mHardState.mTerm;
  Send(std::move(message));
}

Millis RaftNode::ConfirmedAt() const {
  if (!Leads()) {
    return -1;
  }
  if (IsMajority(IsVoter(mOptions.mId) ? 1 : 0)) {
    return mNow;
  }
  for (auto it = mRoundTimes.rbegin(); it != mRoundTimes.rend(); ++it) {
    std::size_t echoed = IsVoter(mOptions.mId) ? 1 : 0;
    for (const auto& [id, progress] : mProgress) {
      const bool has = progress.mRound >= it->mRound;
      echoed += (id != mOptions.mId && IsVoter(id) && has) ? 1 : 0;
    }
    if (IsMajority(echoed)) {
      return it->mAt;
    }
  }
  return -1;
}

void RaftNode::ConfirmRead(std::function<void(bool)> aDone) {
  if (!Leads()) {
    aDone(false);
    return;
  }
  // BroadcastAppend() starts round mRound + 1, which a majority must answer.
  mPendingReads.push_back({mRound + 1, mCommit, std::move(aDone)});
  BroadcastAppend();
  FinishReads();
}

void RaftNode::FinishReads() {
  std::size_t done = 0;
  while (done < mPendingReads.size()) {
    std::size_t confirmed = IsVoter(mOptions.mId) ? 1 : 0;
    for (const auto& [id, progress] : mProgress) {
      const bool echoed = progress.mRound >= mPendingReads[done].mRound;
      confirmed += (id != mOptions.mId && IsVoter(id) && echoed) ? 1 : 0;
    }
    if (!IsMajority(confirmed) || mApplied < mPendingReads[done].mIndex) {
      break;
    }
    done++;
  }
  const auto end = mPendingReads.begin() + static_cast<std::ptrdiff_t>(done);
  const std::vector<PendingRead> finished(mPendingReads.begin(), end);
  mPendingReads.erase(mPendingReads.begin(), end);
  for (const PendingRead& read : finished) {
    read.mDone(true);
  }
}

void RaftNode::FailReads() {
  const std::vector<PendingRead> reads = std::move(mPendingReads);
  mPendingReads.clear();
  for (const PendingRead& read : reads) {
    read.mDone(false);
  }
}

bool RaftNode::HasCommitInTerm() const {
  return !mFailed && !mLeader.empty() && TermAt(mCommit) == mHardState.mTerm;
}

bool RaftNode::HasLeaderContact(Millis aNow) const {
  if (mRole == RaftRole::kLeader) {
    return Leads();
  }
  return !mFailed && !mLeader.empty() &&
         aNow - mLeaderLastSeenAt <
             kLeaderContactHeartbeats * mOptions.mHeartbeatInterval;
}

bool RaftNode::Leads() const {
  return !mFailed && mRole == RaftRole::kLeader &&
         TermAt(mCommit) == mHardState.mTerm;
}

RaftMessage RaftNode::MakeReply(const RaftMessage& aTo, RaftKind aKind,
                                bool aGranted, std::int64_t aIndex) const {
  RaftMessage reply;
  reply.mKind = aKind;
  reply.mTo = aTo.mFrom;
  reply.mTerm = mHardState.mTerm;
  reply.mGranted = aGranted;
  reply.mIndex = aIndex;
  reply.mRound = aTo.mRound;
  return reply;
}

void RaftNode::Reply(const RaftMessage& aTo, RaftKind aKind, bool aGranted,
                     std::int64_t aIndex) {
  Send(MakeReply(aTo, aKind, aGranted, aIndex));
}

void RaftNode::Send(RaftMessage aMessage) {
  aMessage.mFrom = mOptions.mId;
  mOptions.mSend(aMessage);
}

void RaftNode::SendWhenDurable(RaftMessage aMessage) {
  if (mWrites.Empty()) {
    Send(std::move(aMessage));
    return;
  }
  mHeld.push_back(
      {.mWrite = mWrites.Newest(), .mMessage = std::move(aMessage)});
}

bool RaftNode::IsVoter(const std::string& aId) const {
  return std::find(mVoters.begin(), mVoters.end(), aId) != mVoters.end();
}

bool RaftNode::IsMajority(std::size_t aCount) const {
  return aCount * 2 > mVoters.size();
}

bool RaftNode::LogIsCurrent(const RaftMessage& aMessage) const {
  const std::int64_t lastTerm = TermAt(LastIndex());
  return aMessage.mLogTerm > lastTerm ||
         (aMessage.mLogTerm == lastTerm && aMessage.mIndex >= LastIndex());
}

std::int64_t RaftNode::LastIndex() const {
  return mSnapshot.mIndex + static_cast<std::int64_t>(mEntries.size());
}

std::int64_t RaftNode::TermAt(std::int64_t aIndex) const {
  return aIndex <= mSnapshot.mIndex ? mSnapshot.mTerm : EntryAt(aIndex).mTerm;
}

const LogEntry& RaftNode::EntryAt(std::int64_t aIndex) const {
  return mEntries[static_cast<std::size_t>(aIndex - mSnapshot.mIndex - 1)];
}

void RaftNode::RefreshVoters() {
  mVoters = mSnapshot.mVoters;
  for (const LogEntry& entry : mEntries) {
    if (!entry.mVoters.empty()) {
      mVoters = entry.mVoters;
    }
  }
  for (const std::string& id : mVoters) {
    // A voter that joins while this voter is the leader counts as just seen, so
    // that it has the full timeout for its first answer.
    mProgress.try_emplace(id, Progress{.mNext = 1, .mLastSeenAt = mNow});
  }
}

}  // namespace spindleweir
