#include "spindleweir/servers/limits/pool_share.h"

#include <algorithm>

namespace spindleweir {

PoolShare::PoolShare(PoolShareOptions aOptions)
    : mOptions(aOptions),
      mVoters(aOptions.mGrantRetention + aOptions.mLeaderTimeout),
      mOpensAt(aOptions.mStartedAt) {
  if (aOptions.mPrevious == PreviousGrants::kUnknown) {
    mOpensAt += ChangeRetention();
  }
}

void PoolShare::Update(const VoterState& aState, Millis aNow) {
  const bool becameVoter = mIsKnown && aState.mIsVoter && !mState.mIsVoter;
  if (becameVoter) {
    mOpensAt = std::max(mOpensAt, aNow + ChangeRetention());
  }
  if (!mIsKnown && mOptions.mPrevious != PreviousGrants::kNone) {
    mVoters.Record(aState.mVoters + 1, aNow);
  }
  mVoters.Record(aState.mVoters, aNow);
  if (aState.mHasLeaderContact) {
    mLeaderSeenAt = aNow;
  }
  mState = aState;
  mIsKnown = true;
}

double PoolShare::Value(Millis aNow) const {
  const bool hasLeader =
      mLeaderSeenAt >= 0 && aNow - mLeaderSeenAt <= mOptions.mLeaderTimeout;
  if (!mState.mIsVoter || !hasLeader || aNow < mOpensAt) {
    return 0;
  }
  return 1.0 / std::max(1, mVoters.Value());
}

}  // namespace spindleweir
