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

void ClaimRound::OnReply(const std::string& aKeeper, const ClaimReply& aReply) {
  if (!mRespondedKeepers.insert(aKeeper).second) {
    return;
  }
  if (aReply.mGranted) {
    mGrantCount++;
  } else if (aReply.mRecord.mState == ClaimState::kFree) {
    mNoReplies++;
  } else {
    mHeldByOther++;
    if (Rank(aReply.mRecord.mState) > Rank(mEarlier.mState)) {
      mEarlier = aReply.mRecord;
    }
  }
  UpdateVerdict();
}

void ClaimRound::OnNoReply(const std::string& aKeeper) {
  if (!mRespondedKeepers.insert(aKeeper).second) {
    return;
  }
  mNoReplies++;
  UpdateVerdict();
}

void ClaimRound::UpdateVerdict() {
  if (mVerdict != ClaimVerdict::kPending) {
    return;
  }
  // A finished call is known from a single keeper: only its owner could have
  // written that, after a majority had granted it.
  const bool finished = mEarlier.mState == ClaimState::kDone ||
                        mEarlier.mState == ClaimState::kUnknown;
  if (finished) {
    mVerdict = VerdictFromEarlier();
    return;
  }
  if (Majority(mGrantCount)) {
    mVerdict = ClaimVerdict::kGranted;
    return;
  }
  const std::size_t open = mKeeperCount - mRespondedKeepers.size();
  if (Majority(mGrantCount + open)) {
    return;
  }
  // An outcome that a majority has is among the answers still to come, unless
  // a majority has said that it has none: silent keepers say nothing of it.
  if (mHeldByOther > 0 && open > 0 && !Majority(mHeldByOther)) {
    return;
  }
  mVerdict = mHeldByOther > 0 ? VerdictFromEarlier() : ClaimVerdict::kNoQuorum;
}

ClaimVerdict ClaimRound::VerdictFromEarlier() const {
  if (mEarlier.mDigest != mRequest.mDigest) {
    return ClaimVerdict::kKeyReused;
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
