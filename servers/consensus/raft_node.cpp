#include "spindleweir/servers/consensus/raft_node.h"

#include <algorithm>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// A leader that was not heard for so many of its heartbeats may be gone.
constexpr Millis kHeartbeatsHeard = 2;
/// Until a leader was heard, a pre-vote that nobody granted is asked for again
/// after one to this many heartbeats: the others may not have been listening,
/// and a pre-vote disturbs no one. After the usual time a start of three voters
/// within 0.25 s of each other took up to 0.7 s to its leader.
constexpr Millis kHeartbeatsToPreVote = 3;
/// And an election that nobody won after two to this many: three of five voters
/// that come back together need all three votes, which two candidates at a time
/// deny each other (0.53 s to a leader in a day with two lost disks).
constexpr Millis kHeartbeatsToElection = 4;
/// After so many elections without a leader the usual time counts all the same:
/// where a vote (its sync and the call) takes 0.4 s, as on slow disks after a
/// stop of all voters, each candidacy of 2 to 4 heartbeats of 70 ms ends before
/// its votes come (plays of three voters: some had no leader within 5 s).
constexpr int kSoonElections = 3;

}  // namespace

RaftNode::RaftNode(RaftOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)), mRandom(mOptions.mSeed), mNow(aNow) {
  DurableState state = mOptions.mStorage->Load();
  mHardState = state.mHardState;
  mSnapshot = std::move(state.mSnapshot);
  mEntries = std::move(state.mEntries);
  mCommit = mSnapshot.mIndex;
  mApplied = mSnapshot.mIndex;
  mLeaderHeardAt = aNow - mOptions.mElectionTimeout;
  if (mSnapshot.mIndex > 0) {
    mOptions.mInstallSnapshot(mSnapshot.mData);
  }
  if (mSnapshot.mVoters.empty() && !mOptions.mVoters.empty()) {
    // The first voters are part of what must be remembered.
    mSnapshot.mVoters = mOptions.mVoters;
    mOptions.mStorage->SaveSnapshot(mSnapshot, mEntries, mHardState);
  }
  RefreshVoters();
  // Nobody is known to lead: asking for a pre-vote soon disturbs no one.
  std::uniform_int_distribution<Millis> spread(0, mOptions.mElectionTimeout);
  mElectionAt = mNow + spread(mRandom);
}

void RaftNode::Guard(const std::function<void()>& aStep) {
  if (mFailed) {
    return;
  }
  try {
    aStep();
  } catch (const Error& error) {
    if (error.Code() != ResultCode::kStorageFailed) {
      throw;
    }
    // What is on the disk is unknown now, so that no promise can be kept.
    mFailed = true;
    mRole = RaftRole::kFollower;
    mLeader.clear();
    FailReads();
  }
}

void RaftNode::Tick(Millis aNow) {
  mNow = aNow;
  Guard([this] {
    if (mRole == RaftRole::kLeader) {
      std::size_t heard = 1;
      for (const auto& [id, progress] : mProgress) {
        const bool recent =
            mNow - progress.mHeardAt < 2 * mOptions.mElectionTimeout;
        heard += (IsVoter(id) && recent) ? 1 : 0;
      }
      if (!IsMajority(heard)) {
        // Cut off: whoever waits is told now, and reads elsewhere are safe.
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
  Guard([this, &aMessage] { Step(aMessage); });
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
  // While a leader is heard nobody else is wanted: a voter that comes back
  // from a long silence disturbs nothing.
  const bool quiet = mRole != RaftRole::kLeader &&
                     mNow - mLeaderHeardAt >= mOptions.mElectionTimeout;
  const bool granted =
      quiet && aMessage.mTerm > mHardState.mTerm && LogIsCurrent(aMessage);
  RaftMessage reply;
  reply.mKind = RaftKind::kPreVoteReply;
  reply.mTo = aMessage.mFrom;
  reply.mTerm = granted ? aMessage.mTerm : mHardState.mTerm;
  reply.mGranted = granted;
  Send(reply);
}

void RaftNode::HandleVote(const RaftMessage& aMessage) {
  const bool free =
      mHardState.mVotedFor.empty() || mHardState.mVotedFor == aMessage.mFrom;
  const bool granted =
      aMessage.mTerm == mHardState.mTerm && free && LogIsCurrent(aMessage);
  if (granted) {
    mHardState.mVotedFor = aMessage.mFrom;
    mOptions.mStorage->SaveHardState(mHardState);
    mElections++;
    RestartElectionTimer();
  }
  Reply(aMessage, RaftKind::kVoteReply, granted, 0);
}

void RaftNode::HandleVoteReply(const RaftMessage& aMessage) {
  const bool pre = aMessage.mKind == RaftKind::kPreVoteReply;
  const RaftRole wanted = pre ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  const std::int64_t term = pre ? mHardState.mTerm + 1 : mHardState.mTerm;
  if (mRole != wanted || aMessage.mTerm != term || !aMessage.mGranted ||
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
  RestartElectionTimer(1, kHeartbeatsToPreVote);
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
  mElections++;
  if (mElections > kSoonElections) {
    RestartElectionTimer();
  } else {
    RestartElectionTimer(2, kHeartbeatsToElection);
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
  mHeardLeader = true;
  mProgress.clear();
  mRoundTimes.clear();
  for (const std::string& id : mVoters) {
    mProgress[id] = {.mNext = LastIndex() + 1, .mHeardAt = mNow};
  }
  // Entries of earlier terms are committed only through one of this term.
  AppendOwn({});
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
  Guard([this, &aPayload, &index] {
    if (mRole == RaftRole::kLeader) {
      const std::int64_t next = LastIndex() + 1;
      AppendOwn({.mPayload = aPayload});
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
  const bool oneStep =
      missing(aVoters, mVoters) + missing(mVoters, aVoters) == 1;
  bool pending = !Leads();
  for (std::int64_t i = std::max(mCommit, mSnapshot.mIndex) + 1;
       i <= LastIndex(); i++) {
    pending = pending || !EntryAt(i).mVoters.empty();
  }
  if (aVoters.empty() || !oneStep || pending) {
    return 0;
  }
  std::int64_t index = 0;
  Guard([this, &aVoters, &index] {
    const std::int64_t next = LastIndex() + 1;
    AppendOwn({.mVoters = aVoters});
    index = next;
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
  // The broadcast begins the round that must be answered.
  mReads.push_back({mRound + 1, mCommit, std::move(aDone)});
  BroadcastAppend();
  FinishReads();
}

void RaftNode::FinishReads() {
  std::size_t done = 0;
  while (done < mReads.size()) {
    std::size_t confirmed = IsVoter(mOptions.mId) ? 1 : 0;
    for (const auto& [id, progress] : mProgress) {
      const bool echoed = progress.mRound >= mReads[done].mRound;
      confirmed += (id != mOptions.mId && IsVoter(id) && echoed) ? 1 : 0;
    }
    if (!IsMajority(confirmed) || mApplied < mReads[done].mIndex) {
      break;
    }
    done++;
  }
  const auto end = mReads.begin() + static_cast<std::ptrdiff_t>(done);
  const std::vector<PendingRead> finished(mReads.begin(), end);
  mReads.erase(mReads.begin(), end);
  for (const PendingRead& read : finished) {
    read.mDone(true);
  }
}

void RaftNode::FailReads() {
  const std::vector<PendingRead> reads = std::move(mReads);
  mReads.clear();
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
         aNow - mLeaderHeardAt < kHeartbeatsHeard * mOptions.mHeartbeatInterval;
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

void RaftNode::RestartElectionTimer(Millis aLeast, Millis aMost) {
  if (mHeardLeader) {
    RestartElectionTimer();
    return;
  }
  std::uniform_int_distribution<Millis> spread(
      aLeast * mOptions.mHeartbeatInterval,
      aMost * mOptions.mHeartbeatInterval);
  mElectionAt = mNow + spread(mRandom);
}

bool RaftNode::IsVoter(const std::string& aId) const {
  return std::find(mVoters.begin(), mVoters.end(), aId) != mVoters.end();
}

bool RaftNode::IsMajority(std::size_t aCount) const {
  return aCount * 2 > mVoters.size();
}

bool RaftNode::LogIsCurrent(const RaftMessage& aMessage) const {
  const std::int64_t own = TermAt(LastIndex());
  return aMessage.mLogTerm > own ||
         (aMessage.mLogTerm == own && aMessage.mIndex >= LastIndex());
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
    // A voter that joins under a leader gets its time to answer.
    mProgress.try_emplace(id, Progress{.mNext = 1, .mHeardAt = mNow});
  }
}

}  // namespace spindleweir
