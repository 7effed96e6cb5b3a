#include "spindleweir/servers/consensus/raft_messages.h"

namespace spindleweir {

const char* NameOf(RaftKind aKind) {
  switch (aKind) {
    case RaftKind::kPreVote:
      return "pre_vote";
    case RaftKind::kPreVoteReply:
      return "pre_vote_reply";
    case RaftKind::kVote:
      return "vote";
    case RaftKind::kVoteReply:
      return "vote_reply";
    case RaftKind::kAppend:
      return "append";
    case RaftKind::kAppendReply:
      return "append_reply";
    case RaftKind::kSnapshot:
      return "snapshot";
    case RaftKind::kTimeoutNow:
      return "timeout_now";
  }
  return "unknown";
}

}  // namespace spindleweir
