#include "spindleweir/servers/claims/claim_round.h"

namespace spindleweir {

namespace {

/// Order of records: one of a greater rank replaces one of a smaller rank.
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
    mNoReplyCount++;
  } else {
    mConflictCount++;
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
  mNoReplyCount++;
  UpdateVerdict();
}

void ClaimRound::UpdateVerdict() {
  if (mVerdict != ClaimVerdict::kPending) {
    return;
  }
  // One keeper's record of a finished call is enough: only the owner could
  // have written it, after a majority had granted the claim.
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
  const std::size_t pending = mKeeperCount - mRespondedKeepers.size();
  if (Majority(mGrantCount + pending)) {
    return;
  }
  // An outcome that a majority stores is among the pending replies, unless a
  // majority replied that the key is only held. Keepers that do not reply rule
  // nothing out.
  if (mConflictCount > 0 && pending > 0 && !Majority(mConflictCount)) {
    return;
  }
  mVerdict =
      mConflictCount > 0 ? VerdictFromEarlier() : ClaimVerdict::kNoQuorum;
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
