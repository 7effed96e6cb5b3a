#include "spindleweir/servers/consensus/raft_node.h"

#include <algorithm>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// A leader without contact for this many heartbeat intervals may have failed.
constexpr Millis kLeaderContactHeartbeats = 2;
/// Until a first contact with a leader, an unsuccessful pre-vote is repeated
/// after one to this many heartbeat intervals: the other voters may not have
/// been listening yet, and a pre-vote doesn't disturb a running leader. With
/// the regular election timeout, three voters that start within 0.25 s of each
/// other took up to 0.7 s to elect a leader.
constexpr Millis kMaxPreVoteHeartbeats = 3;
/// Until a first contact with a leader, an election without a winner is
/// repeated after two to this many heartbeat intervals. Three of five voters
/// that restart together need all three votes, and two simultaneous candidates
/// deny them to each other; with two lost disks, electing a leader took 0.53 s.
constexpr Millis kMaxElectionHeartbeats = 4;
/// After this many elections without a leader the regular election timeout
/// applies. If a vote (disk sync and call) takes 0.4 s, as on slow disks after
/// a restart of all voters, a candidacy of 2 to 4 heartbeat intervals of 70 ms
/// ends before its votes arrive: three voters may then lack a leader for 5 s
/// and longer.
constexpr int kMaxFastElections = 3;

}  // namespace

RaftNode::RaftNode(RaftOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)), mRandom(mOptions.mSeed), mNow(aNow) {
  DurableState state = mOptions.mStorage->Load();
  mHardState = state.mHardState;
  mSnapshot = std::move(state.mSnapshot);
  mEntries = std::move(state.mEntries);
  mCommit = mSnapshot.mIndex;
  mApplied = mSnapshot.mIndex;
  mLeaderLastSeenAt = aNow - mOptions.mElectionTimeout;
  if (mSnapshot.mIndex > 0) {
    mOptions.mInstallSnapshot(mSnapshot.mData);
  }
  if (mSnapshot.mVoters.empty() && !mOptions.mVoters.empty()) {
    // A restart may pass no voters, so the initial ones are saved too.
    mSnapshot.mVoters = mOptions.mVoters;
    mOptions.mStorage->SaveSnapshot(mSnapshot, mEntries, mHardState);
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
    FailReads();
  }
}

void RaftNode::Tick(Millis aNow) {
  mNow = aNow;
  RunUnlessFailed([this] {
    if (mRole == RaftRole::kLeader) {
      std::size_t seen = 1;
      for (const auto& [id, progress] : mProgress) {
        const bool recent =
            mNow - progress.mLastSeenAt < 2 * mOptions.mElectionTimeout;
        seen += (IsVoter(id) && recent) ? 1 : 0;
      }
      if (!IsMajority(seen)) {
        // The leader is partitioned from a majority. Stepping down fails
        // pending reads now instead of leaving them open.
        BecomeFollower(mHardState.mTerm, "");
        return;
      }
      if (mNow >= mHeartbeatAt) {
        BroadcastAppend();
      }
      return;
    }
    if (mNow >= mElectionAt && IsVoter(mOptions.mId)) {
      StartPreVote();
    }
  });
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
  }
}

void RaftNode::HandlePreVote(const RaftMessage& aMessage) {
  // A pre-vote is refused while a leader is in contact, so that a voter which
  // rejoins after a long time doesn't disturb it.
  const bool noLeaderContact =
      mRole != RaftRole::kLeader &&
      mNow - mLeaderLastSeenAt >= mOptions.mElectionTimeout;
  const bool granted = noLeaderContact && aMessage.mTerm > mHardState.mTerm &&
                       LogIsCurrent(aMessage);
  RaftMessage reply;
  reply.mKind = RaftKind::kPreVoteReply;
  reply.mTo = aMessage.mFrom;
  reply.mTerm = granted ? aMessage.mTerm : mHardState.mTerm;
  reply.mGranted = granted;
  Send(reply);
}

void RaftNode::HandleVote(const RaftMessage& aMessage) {
  const bool voteAvailable =
      mHardState.mVotedFor.empty() || mHardState.mVotedFor == aMessage.mFrom;
  const bool granted = aMessage.mTerm == mHardState.mTerm && voteAvailable &&
                       LogIsCurrent(aMessage);
  if (granted) {
    mHardState.mVotedFor = aMessage.mFrom;
    mOptions.mStorage->SaveHardState(mHardState);
    mElectionsSeen++;
    RestartElectionTimer();
  }
  Reply(aMessage, RaftKind::kVoteReply, granted, 0);
}

void RaftNode::HandleVoteReply(const RaftMessage& aMessage) {
  const bool pre = aMessage.mKind == RaftKind::kPreVoteReply;
  const RaftRole requiredRole =
      pre ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  const std::int64_t term = pre ? mHardState.mTerm + 1 : mHardState.mTerm;
  if (mRole != requiredRole || aMessage.mTerm != term || !aMessage.mGranted ||
      !IsVoter(aMessage.mFrom)) {
    return;
  }
  mVotes.insert(aMessage.mFrom);
  if (!IsMajority(mVotes.size())) {
    return;
  }
  if (pre) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

void RaftNode::StartPreVote() {
  mRole = RaftRole::kPreCandidate;
  mLeader.clear();
  mVotes = {mOptions.mId};
  RestartElectionTimer(1, kMaxPreVoteHeartbeats);
  if (IsMajority(mVotes.size())) {
    StartElection();
    return;
  }
  BroadcastVote(RaftKind::kPreVote, mHardState.mTerm + 1);
}

void RaftNode::StartElection() {
  mRole = RaftRole::kCandidate;
  mHardState.mTerm++;
  mHardState.mVotedFor = mOptions.mId;
  mOptions.mStorage->SaveHardState(mHardState);
  mVotes = {mOptions.mId};
  mElectionsSeen++;
  if (mElectionsSeen > kMaxFastElections) {
    RestartElectionTimer();
  } else {
    RestartElectionTimer(2, kMaxElectionHeartbeats);
  }
  if (IsMajority(mVotes.size())) {
    BecomeLeader();
    return;
  }
  BroadcastVote(RaftKind::kVote, mHardState.mTerm);
}

void RaftNode::BroadcastVote(RaftKind aKind, std::int64_t aTerm) {
  for (const std::string& id : mVoters) {
    if (id == mOptions.mId) {
      continue;
    }
    RaftMessage message;
    message.mKind = aKind;
    message.mTo = id;
    message.mTerm = aTerm;
    message.mIndex = LastIndex();
    message.mLogTerm = TermAt(LastIndex());
    Send(message);
  }
}

void RaftNode::BecomeLeader() {
  mRole = RaftRole::kLeader;
  mLeader = mOptions.mId;
  mHasSeenLeader = true;
  mProgress.clear();
  mRoundTimes.clear();
  for (const std::string& id : mVoters) {
    mProgress[id] = {.mNext = LastIndex() + 1, .mLastSeenAt = mNow};
  }
  // Entries of earlier terms are committed only together with one of this term
  // (Raft, section 5.4.2), so a new leader appends an empty entry.
  AppendToLog({});
}

void RaftNode::BecomeFollower(std::int64_t aTerm, const std::string& aLeader) {
  if (mRole == RaftRole::kLeader) {
    FailReads();
  }
  mRole = RaftRole::kFollower;
  mLeader = aLeader;
  if (aTerm > mHardState.mTerm) {
    mHardState = {.mTerm = aTerm, .mVotedFor = ""};
    mOptions.mStorage->SaveHardState(mHardState);
  }
  RestartElectionTimer();
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
  bool pending = !Leads();
  for (std::int64_t i = std::max(mCommit, mSnapshot.mIndex) + 1;
       i <= LastIndex(); i++) {
    pending = pending || !EntryAt(i).mVoters.empty();
  }
  if (aVoters.empty() || !oneVoterChanged || pending) {
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
        // No later message goes to it. Without the entry it would take itself
        // for a voter without a leader.
        SendAppend(id);
      }
    }
  });
  return index;
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

void RaftNode::Reply(const RaftMessage& aTo, RaftKind aKind, bool aGranted,
                     std::int64_t aIndex) {
  RaftMessage reply;
  reply.mKind = aKind;
  reply.mTo = aTo.mFrom;
  reply.mTerm = mHardState.mTerm;
  reply.mGranted = aGranted;
  reply.mIndex = aIndex;
  reply.mRound = aTo.mRound;
  Send(std::move(reply));
}

void RaftNode::Send(RaftMessage aMessage) {
  aMessage.mFrom = mOptions.mId;
  mOptions.mSend(aMessage);
}

void RaftNode::RestartElectionTimer() {
  std::uniform_int_distribution<Millis> spread(0, mOptions.mElectionTimeout);
  mElectionAt = mNow + mOptions.mElectionTimeout + spread(mRandom);
}

void RaftNode::RestartElectionTimer(Millis aMinHeartbeats,
                                    Millis aMaxHeartbeats) {
  if (mHasSeenLeader) {
    RestartElectionTimer();
    return;
  }
  std::uniform_int_distribution<Millis> spread(
      aMinHeartbeats * mOptions.mHeartbeatInterval,
      aMaxHeartbeats * mOptions.mHeartbeatInterval);
  mElectionAt = mNow + spread(mRandom);
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
