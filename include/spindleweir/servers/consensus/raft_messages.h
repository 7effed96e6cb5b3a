/// Entries, persistent state and messages of the replicated log.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace spindleweir {

/// One entry of the replicated log.
struct LogEntry {
  std::int64_t mIndex = 0;  ///< From 1.
  std::int64_t mTerm = 0;
  std::string mPayload;  ///< A command; empty in a new leader's first entry.
  std::vector<std::string> mVoters;  ///< The new voters; empty: unchanged.

  bool operator==(const LogEntry&) const = default;
  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("index", mIndex);
    aCodec.Required("term", mTerm);
    aCodec.Field("payload", mPayload);
    aCodec.Field("voters", mVoters);
  }
};

/// Term and vote of a voter. A vote is durable before it is sent to others; a
/// term is with the first vote or entry in it.
struct HardState {
  std::int64_t mTerm = 0;
  std::string mVotedFor;  ///< Empty: no vote cast in this term.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("term", mTerm);
    aCodec.Required("voted_for", mVotedFor);
  }
};

/// The applied state up to and including mIndex. Replaces the log entries up to
/// there.
struct Snapshot {
  std::int64_t mIndex = 0;
  std::int64_t mTerm = 0;            ///< Term of the entry at mIndex.
  std::vector<std::string> mVoters;  ///< Voters as of mIndex.
  std::string mData;  ///< State as RaftOptions::mMakeSnapshot returns it.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("index", mIndex);
    aCodec.Required("term", mTerm);
    aCodec.Required("voters", mVoters);
    aCodec.Required("data", mData);
  }
};

/// The kinds of messages between voters.
enum class RaftKind {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kTimeoutNow,  ///< The leader asks the receiver to stand for election at once.
};

/// One message between voters; the kind decides which fields are used.
struct RaftMessage {
  RaftKind mKind = RaftKind::kAppend;
  std::string mFrom;
  std::string mTo;
  std::int64_t mTerm = 0;
  /// kAppend: index of the entry before mEntries. Vote requests: the sender's
  /// last index. Append replies: the last durable index that matches the
  /// leader's log, or, if refused, the index after which the leader should
  /// continue.
  std::int64_t mIndex = 0;
  std::int64_t mLogTerm = 0;  ///< Term of the entry at mIndex.
  std::int64_t mCommit = 0;
  /// The leader's broadcast round, or the number of a candidacy; replies echo
  /// it.
  std::int64_t mRound = 0;
  /// Append replies: the last index that matches the leader's log, durable or
  /// not; mIndex counts durable entries only.
  std::int64_t mReceived = 0;
  bool mGranted = false;  ///< In replies: whether the request is granted.
  std::vector<LogEntry> mEntries;
  Snapshot mSnapshot;

  template <class Codec>
  void Fields(Codec& aCodec) {
    int kind = static_cast<int>(mKind);
    aCodec.Required("kind", kind);
    mKind = static_cast<RaftKind>(kind);
    aCodec.Required("from", mFrom);
    aCodec.Required("to", mTo);
    aCodec.Required("term", mTerm);
    aCodec.Field("index", mIndex);
    aCodec.Field("log_term", mLogTerm);
    aCodec.Field("commit", mCommit);
    aCodec.Field("round", mRound);
    aCodec.Sparse("received", mReceived);
    aCodec.Field("granted", mGranted);
    aCodec.Field("entries", mEntries);
    if (mKind == RaftKind::kSnapshot) {
      aCodec.Field("snapshot", mSnapshot);
    }
  }
};

/// The name of a kind as it stands in logs.
const char* NameOf(RaftKind aKind);

}  // namespace spindleweir
