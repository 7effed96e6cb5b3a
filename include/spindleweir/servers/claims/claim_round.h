/// One router's round with the claim keepers, before a call that must not run
/// twice is dispatched.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "spindleweir/servers/claims/claim_messages.h"

namespace spindleweir {

/// What a round came to.
enum class ClaimVerdict {
  kPending,     ///< Not known yet.
  kGranted,     ///< A majority granted it: dispatch.
  kDone,        ///< It ran before: give the stored answer.
  kInProgress,  ///< Another attempt holds it.
  kUnknown,     ///< It was dispatched before; the outcome is not known.
  kKeyReused,   ///< The key belongs to another body.
  kNoQuorum,    ///< No majority can be had: not run.
};

/// Collects the keepers' replies to one kAcquire.
class ClaimRound {
 public:
  /// A claim held since before aStaleWall belongs to a call that cannot be
  /// running any more: its outcome is unknown.
  ClaimRound(ClaimRecord aRequested, std::size_t aKeeperCount,
             Millis aStaleWall)
      : mRequest(std::move(aRequested)),
        mKeeperCount(aKeeperCount),
        mStaleWall(aStaleWall) {}

  void OnReply(const std::string& aKeeper, const ClaimReply& aReply);
  void OnNoReply(const std::string& aKeeper);

  /// kPending until a majority has spoken one way or cannot any more. Once it
  /// is anything else it does not change.
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
  std::size_t mHeldByOther = 0;  ///< Keepers that hold it for another.
  std::size_t mNoReplies = 0;
  ClaimRecord mEarlier;  ///< The furthest record of another attempt.
  ClaimVerdict mVerdict = ClaimVerdict::kPending;
};

}  // namespace spindleweir
