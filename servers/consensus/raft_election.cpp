/// Elections of a voter: pre-votes, votes and their timers.
#include <algorithm>

#include "spindleweir/servers/consensus/raft_node.h"

namespace spindleweir {

namespace {

/// Until a first contact with a leader, an unsuccessful pre-vote is repeated
/// after one to this many heartbeat intervals: the other voters may not have
/// been listening yet, and a pre-vote doesn't disturb a running leader.
constexpr Millis kMaxPreVoteHeartbeats = 3;
/// Until a first contact with a leader, an election without a winner is
/// repeated after two to this many heartbeat intervals. Three of five voters
/// that restart together need all three votes, and two simultaneous candidates
/// deny them to each other.
constexpr Millis kMaxElectionHeartbeats = 4;
/// After this many elections without a leader the regular election timeout
/// applies, and doubles with each further one: the votes may take longer than
/// the timeout, for reasons that a voter can't see.
constexpr int kMaxFastElections = 3;
constexpr int kMaxDoublings = 3;

}  // namespace

void RaftNode::HandlePreVote(const RaftMessage& aMessage) {
  // A pre-vote is refused while a leader is in contact, so that a voter which
  // rejoins after a long time doesn't disturb it, and while an election may
  // still succeed: the next term would only cost each voter one more write.
  const bool noLeaderContact =
      mRole != RaftRole::kLeader &&
      mNow - mLeaderLastSeenAt >= mOptions.mElectionTimeout;
  const bool granted = noLeaderContact && !IsElectionRunning() &&
                       aMessage.mTerm > mHardState.mTerm &&
                       LogIsCurrent(aMessage);
  if (mRole == RaftRole::kLeader && !IsVoter(aMessage.mFrom)) {
    // It hasn't heard that it was removed, or it would not ask.
    SendAppend(aMessage.mFrom);
  }
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
  if (!granted) {
    Reply(aMessage, RaftKind::kVoteReply, false, 0);
    return;
  }
  if (mHardState.mVotedFor.empty()) {
    mHardState.mVotedFor = aMessage.mFrom;
    mHardStateChanged = true;
    WriteHardState();
    mVoteWrite = mWrites.Newest();
    mElectionsSeen++;
    mRole = RaftRole::kFollower;
    RestartVoteTimer();
  }
  SendWhenDurable(MakeReply(aMessage, RaftKind::kVoteReply, true, 0));
}

void RaftNode::HandleVoteReply(const RaftMessage& aMessage) {
  if (!aMessage.mGranted || !IsVoter(aMessage.mFrom)) {
    return;
  }
  if (aMessage.mKind == RaftKind::kPreVoteReply) {
    const bool isAwaited = mRole == RaftRole::kPreCandidate &&
                           aMessage.mTerm == mHardState.mTerm + 1;
    if (isAwaited && mPreVotes.insert(aMessage.mFrom).second &&
        IsMajority(mPreVotes.size())) {
      StartElection();
    }
    return;
  }
  if (mIsStanding && aMessage.mTerm == mHardState.mTerm &&
      aMessage.mRound == mCandidacy) {
    CountVote(aMessage.mFrom);
  }
}

void RaftNode::HandleTimeoutNow(const RaftMessage& aMessage) {
  const bool isFromLeader = aMessage.mTerm == mHardState.mTerm &&
                            aMessage.mFrom == mLeader &&
                            mRole == RaftRole::kFollower;
  if (isFromLeader && mVoteWrite == 0 && IsVoter(mOptions.mId)) {
    // Without a pre-vote: the others would refuse it, since they have a leader.
    mLeader.clear();
    StartElection();
  }
}

void RaftNode::CountVote(const std::string& aFrom) {
  mVotes.insert(aFrom);
  // Without its own vote on disk a candidate might stand in this term again
  // after a restart, with another log.
  if (IsMajority(mVotes.size()) && mVotes.contains(mOptions.mId)) {
    BecomeLeader();
  }
}

bool RaftNode::IsElectionRunning() const {
  return mVoteWrite != 0 || mNow - mVoteDurableAt < ExpectedVoteTime();
}

void RaftNode::StartPreVote() {
  // Votes for a candidacy whose time is over still count until the next one:
  // the disks of the others may be slower than this voter's.
  mRole = RaftRole::kPreCandidate;
  mLeader.clear();
  mPreVotes = {mOptions.mId};
  RestartElectionTimer(1, kMaxPreVoteHeartbeats);
  if (IsMajority(mPreVotes.size())) {
    StartElection();
    return;
  }
  BroadcastVote(RaftKind::kPreVote, mHardState.mTerm + 1);
}

void RaftNode::StartElection() {
  EndCandidacy();
  mIsStanding = true;
  mRole = RaftRole::kCandidate;
  mHardState.mTerm++;
  mHardState.mVotedFor = mOptions.mId;
  mHardStateChanged = true;
  WriteHardState();
  mVoteWrite = mWrites.Newest();
  mVotes.clear();
  mCandidacy++;
  mElectionsSeen++;
  RestartVoteTimer();
  // The others write their votes while this voter writes its own.
  BroadcastVote(RaftKind::kVote, mHardState.mTerm);
}

void RaftNode::EndCandidacy() {
  if (mIsStanding) {
    mFailedElections++;
  }
  mIsStanding = false;
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
    message.mRound = mCandidacy;
    Send(message);
  }
}

void RaftNode::BecomeLeader() {
  mIsStanding = false;
  mRole = RaftRole::kLeader;
  mLeader = mOptions.mId;
  mHasSeenLeader = true;
  mElectionsSeen = 0;
  mProgress.clear();
  mLearners.clear();
  mRemovedVoters.clear();
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
  EndCandidacy();
  mRole = RaftRole::kFollower;
  mLeader = aLeader;
  if (!aLeader.empty()) {
    mElectionsSeen = 0;
  }
  if (aTerm > mHardState.mTerm) {
    mHardState = {.mTerm = aTerm, .mVotedFor = ""};
    mHardStateChanged = true;
  }
  RestartElectionTimer(aLeader.empty() ? GrownElectionTimeout()
                                       : mOptions.mElectionTimeout);
}

void RaftNode::RestartElectionTimer(Millis aTimeout) {
  std::uniform_int_distribution<Millis> spread(0, aTimeout);
  mElectionAt = mNow + aTimeout + spread(mRandom);
}

void RaftNode::RestartElectionTimer(Millis aMinHeartbeats,
                                    Millis aMaxHeartbeats) {
  if (mHasSeenLeader) {
    RestartElectionTimer(mOptions.mElectionTimeout);
    return;
  }
  std::uniform_int_distribution<Millis> spread(
      aMinHeartbeats * mOptions.mHeartbeatInterval,
      aMaxHeartbeats * mOptions.mHeartbeatInterval);
  mElectionAt = mNow + spread(mRandom);
}

Millis RaftNode::GrownElectionTimeout() const {
  const int failed =
      std::clamp(mElectionsSeen - kMaxFastElections, 0, kMaxDoublings);
  return mOptions.mElectionTimeout << failed;
}

Millis RaftNode::ExpectedVoteTime() const {
  // A disk that stood still once would otherwise hold up elections for as long
  // again after it has returned.
  return std::min(mWrites.RecentDuration(mNow),
                  mOptions.mElectionTimeout << kMaxDoublings);
}

void RaftNode::RestartVoteTimer() {
  // The votes of the others may take as long as this voter's writes do.
  const Millis vote = ExpectedVoteTime();
  if (mRole == RaftRole::kCandidate && mElectionsSeen <= kMaxFastElections) {
    RestartElectionTimer(2, kMaxElectionHeartbeats);
    mElectionAt += vote;
    return;
  }
  RestartElectionTimer(std::max(GrownElectionTimeout(), vote));
}

}  // namespace spindleweir
