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
    AssumeFormerVoters(aState.mVoters, aNow);
  }
  mVoters.Record(aState.mVoters, aNow);
  if (aState.mHasLeaderContact) {
    mLeaderSeenAt = aNow;
  }
  mState = aState;
  mIsKnown = true;
}

void PoolShare::AssumeFormerVoters(int aVoters, Millis aNow) {
  const int before = mOptions.mPreviousVoters;
  mVoters.Record(before, aNow);
  mAssumedVoters =
      before > 0 ? std::max(aVoters, before) + 1 : mOptions.mMaxVoters;
}

double PoolShare::Value(Millis aNow) const {
  const bool hasLeader =
      mLeaderSeenAt >= 0 && aNow - mLeaderSeenAt <= mOptions.mLeaderTimeout;
  if (!mState.mIsVoter || !hasLeader || aNow < mOpensAt) {
    return 0;
  }
  const bool hasStarted = aNow - mOptions.mStartedAt <= ChangeRetention();
  const int assumed = hasStarted ? mAssumedVoters : 0;
  return 1.0 / std::max({1, assumed, mVoters.Value()});
}

}  // namespace spindleweir
