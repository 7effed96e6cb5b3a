#include "spindleweir/servers/claims/claim_round.h"

namespace spindleweir {

namespace {

/// A record that tells more replaces one that tells less.
int Rank(ClaimState aState) {
  switch (aState) {
    case ClaimState::kFree:
      return 0;
    case ClaimState::kHeld:
      return 1;
    case ClaimState::kUnknown:
      return 2;
    case ClaimState::kDone:
      return 3;
  }
  return 0;
}

}  // namespace

void ClaimRound::Replied(const std::string& aKeeper, const ClaimReply& aReply) {
  if (!mAnswered.insert(aKeeper).second) {
    return;
  }
  if (aReply.mGranted) {
    mGrants++;
  } else if (aReply.mRecord.mState == ClaimState::kFree) {
    mSilent++;
  } else {
    mHeld++;
    if (Rank(aReply.mRecord.mState) > Rank(mEarlier.mState)) {
      mEarlier = aReply.mRecord;
    }
  }
  Judge();
}

void ClaimRound::Silent(const std::string& aKeeper) {
  if (!mAnswered.insert(aKeeper).second) {
    return;
  }
  mSilent++;
  Judge();
}

void ClaimRound::Judge() {
  if (mVerdict != ClaimVerdict::kOpen) {
    return;
  }
  // A finished call is known from a single keeper: only its owner could have
  // written that, after a majority had granted it.
  const bool finished = mEarlier.mState == ClaimState::kDone ||
                        mEarlier.mState == ClaimState::kUnknown;
  if (finished) {
    mVerdict = VerdictOfEarlier();
    return;
  }
  if (Majority(mGrants)) {
    mVerdict = ClaimVerdict::kGranted;
    return;
  }
  const std::size_t open = mKeepers - mAnswered.size();
  if (Majority(mGrants + open)) {
    return;
  }
  // An outcome that a majority has is among the answers still to come, unless
  // a majority has said that it has none: silent keepers say nothing of it.
  if (mHeld > 0 && open > 0 && !Majority(mHeld)) {
    return;
  }
  mVerdict = mHeld > 0 ? VerdictOfEarlier() : ClaimVerdict::kNoQuorum;
}

ClaimVerdict ClaimRound::VerdictOfEarlier() const {
  if (mEarlier.mDigest != mAsked.mDigest) {
    return ClaimVerdict::kReused;
  }
  switch (mEarlier.mState) {
    case ClaimState::kDone:
      return ClaimVerdict::kDone;
    case ClaimState::kUnknown:
      return ClaimVerdict::kUnknown;
    case ClaimState::kHeld:
      return mEarlier.mGrantedWall < mStaleWall ? ClaimVerdict::kUnknown
                                                : ClaimVerdict::kInProgress;
    case ClaimState::kFree:
      return ClaimVerdict::kInProgress;
  }
  return ClaimVerdict::kInProgress;
}

}  // namespace spindleweir
