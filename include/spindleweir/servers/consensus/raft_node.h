/// One voter of the replicated log (Raft: Ongaro and Ousterhout 2014, with
/// pre-vote, and a leader that steps down without answers from a majority).
/// Uses no sockets, files or clocks directly: the caller passes in the time
/// and the messages.
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

/// Settings and hooks of a voter.
struct RaftOptions {
  std::string mId;
  /// The initial voters, used if the storage holds none; saved from then on.
  std::vector<std::string> mVoters;
  Millis mElectionTimeout = 500;  ///< Minimum; the maximum is twice this.
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

 private:
  /// What the leader knows of another voter.
  struct Progress {
    std::int64_t mNext = 1;   ///< The next entry to send.
    std::int64_t mMatch = 0;  ///< The last entry known to be stored there.
    std::int64_t mRound = 0;  ///< The last round that it answered.
    Millis mLastSeenAt = 0;
    std::int64_t mLastInFlight = 0;  ///< Last entry in flight; 0: none.
    Millis mSentAt = 0;
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

  /// Runs aStep unless the storage has failed; if it fails now, steps down for
  /// good.
  void RunUnlessFailed(const std::function<void()>& aStep);
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
  void SnapshotIfDue();
  void FinishReads();
  void FailReads();
  void AppendToLog(LogEntry aEntry);
  void RestartElectionTimer();
  /// Until a first contact with a leader: sets the timer to a random number of
  /// heartbeat intervals in this range, so that voters which start together
  /// elect a leader soon. Safety doesn't depend on a minimum timeout, since
  /// terms and votes are stored before they are sent.
  void RestartElectionTimer(Millis aMinHeartbeats, Millis aMaxHeartbeats);

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
  std::deque<RoundTime> mRoundTimes;  ///< Of this term as leader, oldest first.
  std::size_t mBytesSinceSnapshot = 0;  ///< Payload bytes applied.
  std::set<std::string> mVotes;
  std::map<std::string, Progress> mProgress;
  std::vector<PendingRead> mPendingReads;
  std::mt19937_64 mRandom;
  Millis mNow;
  Millis mElectionAt = 0;
  Millis mHeartbeatAt = 0;
  Millis mLeaderLastSeenAt = 0;
  bool mHasSeenLeader = false;  ///< Since the process started.
  int mElectionsSeen = 0;       ///< Candidacies and votes granted.
  bool mFailed = false;
};

}  // namespace spindleweir
