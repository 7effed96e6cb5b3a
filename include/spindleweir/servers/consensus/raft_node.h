/// One voter of the replicated log (Raft: Ongaro and Ousterhout 2014, with
/// pre-vote and leadership checks). No sockets, files or clocks of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/consensus/raft_messages.h"
#include "spindleweir/servers/consensus/raft_storage.h"

namespace spindleweir {

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// How a voter is set up.
struct RaftOptions {
  std::string mId;
  /// The first voters, for an empty storage; it remembers them from then on.
  std::vector<std::string> mVoters;
  Millis mElectionTimeout = 500;  ///< The least; the most is twice as long.
  Millis mHeartbeatInterval = 100;
  std::size_t mEntriesPerMessage = 64;
  /// Payload bytes in one message; one entry goes in any case.
  std::size_t mBytesPerMessage = 256 * 1024;
  /// Entries that were not answered are sent again after this time.
  Millis mResend = 400;
  std::size_t mSnapshotThresholdEntries = 512;
  /// Payload bytes after which a snapshot is made in any case.
  std::size_t mSnapshotThresholdBytes = 16 * 1024 * 1024;
  std::uint64_t mSeed = 1;
  RaftStorage* mStorage = nullptr;
  std::function<void(const RaftMessage&)> mSend;
  std::function<void(const LogEntry&)> mApply;
  std::function<std::string()> mMakeSnapshot;
  std::function<void(const std::string&)> mInstallSnapshot;
};

/// One voter. Call Tick often; give it each message; it calls the hooks.
/// After a storage failure it is Failed() and does nothing more.
class RaftNode {
 public:
  RaftNode(RaftOptions aOptions, Millis aNow);

  void Tick(Millis aNow);
  void Receive(const RaftMessage& aMessage, Millis aNow);
  /// The call with a message to another voter failed so long after it began.
  /// One that was turned away at once did not arrive: what it held goes again
  /// with the next heartbeat.
  void OnSendFailed(const std::string& aTo, Millis aAfter);

  /// Adds a command to the log. Returns its index, or 0 where this voter does
  /// not lead. Acceptance is known when mApply is called for that index with
  /// the same term.
  std::int64_t Propose(const std::string& aPayload);
  /// Replaces the voters; the lists may differ by one voter. Returns the
  /// index, or 0 where this voter does not lead or a change is under way.
  std::int64_t ProposeVoters(const std::vector<std::string>& aVoters);
  /// Calls aDone(true) once a majority has confirmed that this voter still
  /// leads and all that was committed before is applied; else aDone(false).
  void ConfirmRead(std::function<void(bool)> aDone);

  /// On a leader: a time at which a majority still followed it, so that
  /// nothing was committed elsewhere before; -1: not known.
  Millis ConfirmedAt() const;

  RaftRole Role() const { return mRole; }
  bool Failed() const { return mFailed; }
  /// Whether this voter leads and may promise: its own term has a commit.
  bool Leads() const;
  /// Whether an entry of the newest term is committed, as far as is known here:
  /// then its leader may promise.
  bool HasCommitInTerm() const;
  const std::string& Leader() const { return mLeader; }
  /// Whether the leader was heard within the time in which it speaks at least
  /// twice; of a leader itself, whether it may promise.
  bool HasLeaderContact(Millis aNow) const;
  std::int64_t Term() const { return mHardState.mTerm; }
  std::int64_t CommitIndex() const { return mCommit; }
  std::int64_t LastIndex() const;
  std::int64_t FirstLogIndex() const { return mSnapshot.mIndex + 1; }
  const std::vector<std::string>& Voters() const { return mVoters; }

 private:
  struct Progress {
    std::int64_t mNext = 1;
    std::int64_t mMatch = 0;
    std::int64_t mRound = 0;
    Millis mHeardAt = 0;
    std::int64_t mSentLast = 0;  ///< Last entry under way; 0: none.
    Millis mSentAt = 0;
  };
  /// When a round was sent.
  struct RoundTime {
    std::int64_t mRound;
    Millis mAt;
  };
  struct PendingRead {
    std::int64_t mRound;
    std::int64_t mIndex;
    std::function<void(bool)> mDone;
  };

  void Guard(const std::function<void()>& aStep);
  void Step(const RaftMessage& aMessage);
  void HandlePreVote(const RaftMessage& aMessage);
  void HandleVote(const RaftMessage& aMessage);
  void HandleVoteReply(const RaftMessage& aMessage);
  void HandleAppend(const RaftMessage& aMessage);
  void HandleAppendReply(const RaftMessage& aMessage);
  void HandleSnapshot(const RaftMessage& aMessage);
  bool StoreEntries(const RaftMessage& aMessage);

  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void BecomeFollower(std::int64_t aTerm, const std::string& aLeader);
  void BroadcastVote(RaftKind aKind, std::int64_t aTerm);
  void BroadcastAppend();
  void SendAppend(const std::string& aTo);
  void AddEntries(Progress& aProgress, RaftMessage& aMessage);
  void Reply(const RaftMessage& aTo, RaftKind aKind, bool aGranted,
             std::int64_t aIndex);
  void Send(RaftMessage aMessage);
  void AdvanceCommit();
  void ApplyCommitted();
  void MaybeSnapshot();
  void FinishReads();
  void FailReads();
  void AppendOwn(LogEntry aEntry);
  void RestartElectionTimer();
  /// Until a leader was heard: after some heartbeats by chance, so that voters
  /// which start together soon have one. Agreement needs no least time: terms
  /// and votes are stored before they are told.
  void RestartElectionTimer(Millis aLeast, Millis aMost);

  bool IsVoter(const std::string& aId) const;
  bool IsMajority(std::size_t aCount) const;
  bool LogIsCurrent(const RaftMessage& aMessage) const;
  std::int64_t TermAt(std::int64_t aIndex) const;
  const LogEntry& EntryAt(std::int64_t aIndex) const;
  void RefreshVoters();

  RaftOptions mOptions;
  RaftRole mRole = RaftRole::kFollower;
  HardState mHardState;
  Snapshot mSnapshot;
  std::vector<LogEntry> mEntries;
  std::vector<std::string> mVoters;
  std::string mLeader;
  std::int64_t mCommit = 0;
  std::int64_t mApplied = 0;
  std::int64_t mRound = 0;
  std::deque<RoundTime> mRoundTimes;  ///< Of this leadership, oldest first.
  std::size_t mBytesApplied = 0;      ///< Payloads since the snapshot.
  std::set<std::string> mVotes;
  std::map<std::string, Progress> mProgress;
  std::vector<PendingRead> mReads;
  std::mt19937_64 mRandom;
  Millis mNow;
  Millis mElectionAt = 0;
  Millis mHeartbeatAt = 0;
  Millis mLeaderHeardAt = 0;
  bool mHeardLeader = false;  ///< Ever, since the start.
  int mElections = 0;         ///< Begun or voted in, since the start.
  bool mFailed = false;
};

}  // namespace spindleweir
