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
  kOpen,        ///< Not known yet.
  kGranted,     ///< A majority granted it: dispatch.
  kDone,        ///< It ran before: give the stored answer.
  kInProgress,  ///< Another attempt holds it.
  kUnknown,     ///< It was dispatched before; the outcome is not known.
  kReused,      ///< The key belongs to another body.
  kNoQuorum,    ///< No majority can be had: not run.
};

/// Collects the keepers' replies to one kAcquire.
class ClaimRound {
 public:
  /// A claim held since before aStaleWall belongs to a call that cannot be
  /// running any more: its outcome is unknown.
  ClaimRound(ClaimRecord aAsked, std::size_t aKeepers, Millis aStaleWall)
      : mAsked(std::move(aAsked)), mKeepers(aKeepers), mStaleWall(aStaleWall) {}

  void Replied(const std::string& aKeeper, const ClaimReply& aReply);
  void Silent(const std::string& aKeeper);

  /// kOpen until a majority has spoken one way or cannot any more. Once it is
  /// anything else it does not change.
  ClaimVerdict Verdict() const { return mVerdict; }
  const ClaimRecord& Asked() const { return mAsked; }
  /// The record of the earlier call, for kDone.
  const ClaimRecord& Earlier() const { return mEarlier; }

 private:
  bool Majority(std::size_t aCount) const { return aCount * 2 > mKeepers; }
  void Judge();
  ClaimVerdict VerdictOfEarlier() const;

  ClaimRecord mAsked;
  std::size_t mKeepers;
  Millis mStaleWall;
  std::set<std::string> mAnswered;
  std::size_t mGrants = 0;
  std::size_t mHeld = 0;  ///< Keepers that hold it for another.
  std::size_t mSilent = 0;
  ClaimRecord mEarlier;  ///< The furthest record of another attempt.
  ClaimVerdict mVerdict = ClaimVerdict::kOpen;
};

}  // namespace spindleweir
