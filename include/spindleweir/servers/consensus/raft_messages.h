/// What the replicated log consists of and what its voters say to each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace spindleweir {

/// One entry of the replicated log.
struct LogEntry {
  std::int64_t mIndex = 0;  ///< From 1.
  std::int64_t mTerm = 0;
  std::string mPayload;              ///< A command; empty for a leader's first.
  std::vector<std::string> mVoters;  ///< New voters; empty: no change.

  bool operator==(const LogEntry&) const = default;
  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("index", mIndex);
    aCodec.Required("term", mTerm);
    aCodec.Field("payload", mPayload);
    aCodec.Field("voters", mVoters);
  }
};

/// What a voter must never forget.
struct HardState {
  std::int64_t mTerm = 0;
  std::string mVotedFor;  ///< Empty: none in this term.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("term", mTerm);
    aCodec.Required("voted_for", mVotedFor);
  }
};

/// The state up to an index, in place of the entries before.
struct Snapshot {
  std::int64_t mIndex = 0;
  std::int64_t mTerm = 0;
  std::vector<std::string> mVoters;
  std::string mData;

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
};

/// One message between voters; which fields count depends on the kind.
struct RaftMessage {
  RaftKind mKind = RaftKind::kAppend;
  std::string mFrom;
  std::string mTo;
  std::int64_t mTerm = 0;
  std::int64_t mIndex = 0;    ///< Index before the entries; last of a log.
  std::int64_t mLogTerm = 0;  ///< Term of the entry at mIndex.
  std::int64_t mCommit = 0;
  std::int64_t mRound = 0;  ///< Number of the leader's round, echoed.
  bool mGranted = false;    ///< The answer of a reply.
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
    aCodec.Field("granted", mGranted);
    aCodec.Field("entries", mEntries);
    if (mKind == RaftKind::kSnapshot) {
      aCodec.Field("snapshot", mSnapshot);
    }
  }
};

/// The name of a kind, for logs.
const char* NameOf(RaftKind aKind);

}  // namespace spindleweir
