/// One voter of the replicated log (Raft: Ongaro and Ousterhout 2014, with
/// pre-vote, and a leader that steps down without answers from a majority).
/// Uses no sockets, files or clocks directly: the caller passes in the time
/// and the messages. Never waits for its storage: what rests on a write is sent
/// or counted once the write is durable, and all else goes on meanwhile.
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
#include "spindleweir/servers/consensus/pending_writes.h"
#include "spindleweir/servers/consensus/raft_messages.h"
#include "spindleweir/servers/consensus/raft_storage.h"

namespace spindleweir {

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// Settings and hooks of a voter.
struct RaftOptions {
  std::string mId;
  /// The initial voters, used if the storage holds none; saved from then on.
  std::vector<std::string> mVoters;
  /// Time without a leader's message after which an election begins: at least
  /// this, at most twice. Elections that fail make it longer.
  Millis mElectionTimeout = 500;
  Millis mHeartbeatInterval = 100;
  std::size_t mMaxEntriesPerMessage = 64;
  /// Maximum payload bytes in a message that holds more than one entry.
  std::size_t mMaxBytesPerMessage = 256 * 1024;
  /// Unacknowledged entries are sent again after this time.
  Millis mResendTimeout = 400;
  /// A snapshot is made after this many applied entries, or after this many
  /// payload bytes, whichever comes first.
  std::size_t mSnapshotThresholdEntries = 512;
  std::size_t mSnapshotThresholdBytes = 16 * 1024 * 1024;
  std::uint64_t mSeed = 1;
  RaftStorage* mStorage = nullptr;
  std::function<void(const RaftMessage&)> mSend;
  /// Called with each committed command, in order.
  std::function<void(const LogEntry&)> mApply;
  /// Returns the applied state.
  std::function<std::string()> mMakeSnapshot;
  /// Replaces the applied state by that of a snapshot.
  std::function<void(const std::string&)> mInstallSnapshot;
};

/// One voter. The caller calls Tick() regularly and Receive() for each message;
/// the voter calls the hooks in RaftOptions. After a storage failure Failed()
/// is true and the voter ignores ticks and messages.
class RaftNode {
 public:
  RaftNode(RaftOptions aOptions, Millis aNow);

  void Tick(Millis aNow);
  void Receive(const RaftMessage& aMessage, Millis aNow);
  /// Writes of the storage have become durable, or have failed.
  void OnStorageProgress(Millis aNow);
  /// A call that carried a message to aTo failed aAfter milliseconds after it
  /// began. If it failed within a short time, the connection was refused and
  /// the message did not arrive: its entries are sent again with the next
  /// heartbeat.
  void OnSendFailed(const std::string& aTo, Millis aAfter);

  /// Appends a command to the log. Returns its index, or 0 if this voter is not
  /// the leader. The command is committed when mApply is called for that index
  /// with the same term.
  std::int64_t Propose(const std::string& aPayload);
  /// Replaces the voters. The lists must differ by exactly one voter. Returns
  /// the index of the entry, or 0 if they don't, if this voter is not the
  /// leader or if another change is not committed yet.
  std::int64_t ProposeVoters(const std::vector<std::string>& aVoters);
  /// On a leader: sets who receives the log without being a voter. They count
  /// in no majority. Ends with the leadership.
  void SetLearners(std::vector<std::string> aIds);
  /// On a leader: whether aId has answered lately and its disk holds the log,
  /// but for what one message brings.
  bool HoldsLog(const std::string& aId) const;
  /// On a leader: asks the first of aTo that votes and has received the whole
  /// log to stand for election at once; its vote is durable after its log.
  void TransferLeadership(std::span<const std::string> aTo);
  /// Calls aDone(true) once a majority has confirmed that this voter is still
  /// the leader and all entries committed before this call are applied, or
  /// aDone(false) if this voter is not the leader or ceases to be.
  void ConfirmRead(std::function<void(bool)> aDone);

  /// On a leader: the latest time at which a majority is known to have followed
  /// it, so that no other leader had committed anything by then. -1: unknown.
  Millis ConfirmedAt() const;

  RaftRole Role() const { return mRole; }
  bool Failed() const { return mFailed; }
  /// Whether this voter is the leader and an entry of its term is committed, so
  /// that it may answer reads and accept changes.
  bool Leads() const;
  /// Whether this voter knows a leader and a committed entry of the current
  /// term, so that this leader may answer reads and accept changes.
  bool HasCommitInTerm() const;
  const std::string& Leader() const { return mLeader; }
  /// On a follower: whether the last contact with the leader is less than two
  /// heartbeat intervals ago. On a leader: the same as Leads().
  bool HasLeaderContact(Millis aNow) const;
  std::int64_t Term() const { return mHardState.mTerm; }
  std::int64_t CommitIndex() const { return mCommit; }
  std::int64_t LastIndex() const;
  std::int64_t FirstLogIndex() const { return mSnapshot.mIndex + 1; }
  const std::vector<std::string>& Voters() const { return mVoters; }
  /// Whether the last change of the voters is committed, as far as is known.
  bool VotersAreCommitted() const;
  /// How long the oldest write that is not durable has taken so far; 0: none.
  Millis PendingWriteAge(Millis aNow) const { return mWrites.OldestAge(aNow); }
  /// Candidacies of this voter that ended without its becoming the leader.
  std::int64_t FailedElections() const { return mFailedElections; }

 private:
  /// What the leader knows of another voter.
  struct Progress {
    std::int64_t mNext = 1;   ///< The next entry to send.
    std::int64_t mMatch = 0;  ///< The last entry known to be stored there.
    std::int64_t mRound = 0;  ///< The last round that it answered.
    Millis mLastSeenAt = 0;
    std::int64_t mLastInFlight = 0;  ///< Last entry in flight; 0: none.
    Millis mSentAt = 0;              ///< Of these entries.
    Millis mContactAt = 0;           ///< Of the last message of any kind.
  };
  /// The time at which the leader began a broadcast round.
  struct RoundTime {
    std::int64_t mRound;
    Millis mAt;
  };
  /// A read that waits for its round to be answered and its index applied.
  struct PendingRead {
    std::int64_t mRound;
    std::int64_t mIndex;
    std::function<void(bool)> mDone;
  };

  /// A message that may be sent once a write is durable.
  struct HeldMessage {
    std::int64_t mWrite;
    RaftMessage mMessage;
  };

  /// Runs aStep unless the storage has failed, then what waited for writes that
  /// are durable now; if the storage fails, steps down for good.
  void RunUnlessFailed(const std::function<void()>& aStep);
  void Step(const RaftMessage& aMessage);
  void HandlePreVote(const RaftMessage& aMessage);
  void HandleVote(const RaftMessage& aMessage);
  void HandleVoteReply(const RaftMessage& aMessage);
  void HandleAppend(const RaftMessage& aMessage);
  void HandleAppendReply(const RaftMessage& aMessage);
  void HandleSnapshot(const RaftMessage& aMessage);
  void HandleTimeoutNow(const RaftMessage& aMessage);
  bool StoreEntries(const RaftMessage& aMessage);
  /// The leader's log and this one are the same up to aLast.
  void OnLogMatches(std::int64_t aLast);

  /// Begins to write the hard state, if it has changed.
  void WriteHardState();
  void WriteEntries(std::span<const LogEntry> aEntries);
  void WriteSnapshot(const Snapshot& aSnapshot,
                     std::span<const LogEntry> aRemaining);
  /// Does what waited for writes that have become durable; false if none have.
  bool FinishWrites();
  /// Sends a message once all that was written so far is durable.
  void SendWhenDurable(RaftMessage aMessage);

  /// On a leader: whether a majority of the voters has not answered lately.
  bool HasLostQuorum() const;
  /// On a leader: whether its disk hangs while a majority commits without it,
  /// so that one of that majority can lead.
  bool IsLeftBehind() const;
  void StartPreVote();
  void StartElection();
  /// Counts a vote for the candidacy that this voter stands for.
  void CountVote(const std::string& aFrom);
  /// Ends the candidacy without success, if there is one.
  void EndCandidacy();
  /// Whether this voter's vote is not durable yet, or was so recently that the
  /// votes of others may still be on their way to the same candidate.
  bool IsElectionRunning() const;
  void BecomeLeader();
  void BecomeFollower(std::int64_t aTerm, const std::string& aLeader);
  void BroadcastVote(RaftKind aKind, std::int64_t aTerm);
  void BroadcastAppend();
  void SendAppend(const std::string& aTo);
  /// Sends a learner what it lacks, or a heartbeat if none was sent for long.
  void SendToLearner(const std::string& aTo);
  /// aLast: the last entry that may be sent.
  void AddEntries(Progress& aProgress, RaftMessage& aMessage,
                  std::int64_t aLast);
  /// The last entry that a control may be sent. One that doesn't vote gets what
  /// is committed only: with a newer log than the voters of the last change it
  /// would refuse them its vote, and by that log not stand itself.
  std::int64_t LastEntryFor(const std::string& aId) const;
  /// Tells voters that were removed, once that is committed.
  void NotifyRemovedVoters();
  RaftMessage MakeReply(const RaftMessage& aTo, RaftKind aKind, bool aGranted,
                        std::int64_t aIndex) const;
  void Reply(const RaftMessage& aTo, RaftKind aKind, bool aGranted,
             std::int64_t aIndex);
  void Send(RaftMessage aMessage);
  void AdvanceCommit();
  void ApplyCommitted();
  void SnapshotIfDue();
  void FinishReads();
  void FailReads();
  void AppendToLog(LogEntry aEntry);
  void RestartElectionTimer(Millis aTimeout);
  /// Until a first contact with a leader: sets the timer to a random number of
  /// heartbeat intervals in this range, so that voters which start together
  /// elect a leader soon. Safety doesn't depend on a minimum timeout, since
  /// votes are stored before they are sent.
  void RestartElectionTimer(Millis aMinHeartbeats, Millis aMaxHeartbeats);
  /// Sets the timer to the time that an election may take from now on; called
  /// again when this voter's own vote is durable.
  void RestartVoteTimer();
  /// How long the vote of another voter may take, going by this one's writes.
  Millis ExpectedVoteTime() const;
  /// The election timeout after the elections that have failed.
  Millis GrownElectionTimeout() const;

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
  std::vector<std::string> mLearners;  ///< On a leader.
  /// On a leader: voters whose removal is not committed yet.
  std::vector<std::string> mRemovedVoters;
  std::string mLeader;
  std::int64_t mCommit = 0;
  std::int64_t mApplied = 0;
  std::int64_t mRound = 0;
  std::deque<RoundTime> mRoundTimes;  ///< Of this term as leader, oldest first.
  std::size_t mBytesSinceSnapshot = 0;  ///< Payload bytes applied.
  std::set<std::string> mPreVotes;
  /// Whether votes for this voter's last candidacy may still make it the
  /// leader, also while it already asks for the next pre-votes.
  bool mIsStanding = false;
  std::set<std::string> mVotes;  ///< For that candidacy.
  std::map<std::string, Progress> mProgress;
  std::vector<PendingRead> mPendingReads;
  std::mt19937_64 mRandom;
  Millis mNow;
  Millis mElectionAt = 0;
  Millis mHeartbeatAt = 0;
  Millis mLeaderLastSeenAt = 0;
  bool mHasSeenLeader = false;  ///< Since the process started.
  /// Candidacies and votes granted since the last contact with a leader.
  int mElectionsSeen = 0;
  std::int64_t mFailedElections = 0;
  /// The last index up to which the log is known to be that of the leader of
  /// mLeaderMatchTerm.
  std::int64_t mLeaderMatch = 0;
  std::int64_t mLeaderMatchTerm = 0;
  PendingWrites mWrites;
  /// Whether mHardState has a newer term than was written. It is written with
  /// the next vote or entry of that term, since nothing else rests on it.
  bool mHardStateChanged = false;
  std::deque<HeldMessage> mHeld;
  std::int64_t mVoteWrite = 0;  ///< The write of the last vote; 0: none.
  Millis mVoteDurableAt = 0;    ///< When that write became durable.
  /// Number of this voter's last candidacy. It starts at random, so that votes
  /// for a candidacy of an earlier process don't count for a later one.
  std::int64_t mCandidacy = 0;
  bool mFailed = false;
};

}  // namespace spindleweir
