/// A router's majority vote of the claim keepers, held before it dispatches a
/// call that must not run twice.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "spindleweir/servers/claims/claim_messages.h"

namespace spindleweir {

/// Result of a round.
enum class ClaimVerdict {
  kPending,     ///< Not decided yet.
  kGranted,     ///< A majority granted the claim: dispatch the call.
  kDone,        ///< The call ran before: return the stored answer.
  kInProgress,  ///< Another attempt holds the key.
  kUnknown,     ///< The call was dispatched before; outcome unknown.
  kKeyReused,   ///< The key was used with a different body.
  kNoQuorum,    ///< No majority is reachable; the call is not run.
};

/// Collects the keepers' replies to one kAcquire message.
class ClaimRound {
 public:
  /// A claim granted before aStaleWall (Unix time in milliseconds) belongs to a
  /// call that cannot be running any more: its outcome is unknown.
  ClaimRound(ClaimRecord aRequested, std::size_t aKeeperCount,
             Millis aStaleWall)
      : mRequest(std::move(aRequested)),
        mKeeperCount(aKeeperCount),
        mStaleWall(aStaleWall) {}

  /// Counts a keeper's reply; only its first reply or OnNoReply() counts.
  void OnReply(const std::string& aKeeper, const ClaimReply& aReply);
  /// Counts a keeper that did not reply.
  void OnNoReply(const std::string& aKeeper);

  /// kPending until a majority has decided or no majority is possible any more.
  /// Any other verdict is final.
  ClaimVerdict Verdict() const { return mVerdict; }
  const ClaimRecord& Request() const { return mRequest; }
  /// The record of the earlier call, for kDone.
  const ClaimRecord& Earlier() const { return mEarlier; }

 private:
  bool Majority(std::size_t aCount) const { return aCount * 2 > mKeeperCount; }
  void UpdateVerdict();
  ClaimVerdict VerdictFromEarlier() const;

  ClaimRecord mRequest;
  std::size_t mKeeperCount;
  Millis mStaleWall;
  std::set<std::string> mRespondedKeepers;
  std::size_t mGrantCount = 0;
  std::size_t mConflictCount = 0;  ///< Keepers with another attempt's record.
  std::size_t mNoReplyCount = 0;
  ClaimRecord mEarlier;  ///< Most advanced record of another attempt.
  ClaimVerdict mVerdict = ClaimVerdict::kPending;
};

}  // namespace spindleweir
