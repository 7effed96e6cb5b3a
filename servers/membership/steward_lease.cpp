#include "spindleweir/servers/membership/steward_lease.h"

#include <algorithm>

namespace spindleweir {

LeaseVoter::LeaseVoter(LeaseOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)),
      mSilentUntil(aNow + mOptions.mLength),
      mEpoch(mOptions.mFirstEpoch) {}

LeaseReply LeaseVoter::Handle(const LeaseRequest& aRequest, Millis aNow) {
  LeaseReply reply{.mVoter = mOptions.mId, .mRound = aRequest.mRound};
  const bool same = mPromisedTo == aRequest.mCandidate;
  if (aRequest.mRelease) {
    // A late release of an earlier lease must not end the present one.
    const bool own = same && aRequest.mEpoch == mEpoch;
    mPromisedUntil = own ? 0 : mPromisedUntil;
    reply.mEpoch = mEpoch;
    return reply;
  }
  const bool free = same || aNow >= mPromisedUntil;
  // A renewal keeps its epoch; anyone else needs a greater one.
  const bool newer =
      aRequest.mEpoch > mEpoch || (same && aRequest.mEpoch == mEpoch);
  if (aNow >= mSilentUntil && free && newer) {
    mPromisedTo = aRequest.mCandidate;
    mPromisedUntil = aNow + mOptions.mLength;
    mEpoch = aRequest.mEpoch;
    reply.mGranted = true;
  }
  reply.mEpoch = mEpoch;
  return reply;
}

LeaseHolder::LeaseHolder(LeaseOptions aOptions, Millis aNow,
                         std::function<void(const LeaseRequest&)> aBroadcast)
    : mOptions(std::move(aOptions)),
      mBroadcast(std::move(aBroadcast)),
      mEpoch(mOptions.mFirstEpoch),
      mRound(mOptions.mFirstRound),
      mNextAt(aNow) {}

void LeaseHolder::Tick(Millis aNow) {
  if (mReleased || aNow < mNextAt) {
    return;
  }
  if (mTrying && !Holds(aNow)) {
    GiveUpRound(aNow);
    return;
  }
  StartRound(aNow);
}

void LeaseHolder::GiveUpRound(Millis aNow) {
  // Votes that are split among candidates who all go on asking would stay
  // split for ever: the promises are given back, and a random wait lets one
  // of the candidates be alone.
  mTrying = false;
  BroadcastRelease();
  mRound++;
  mNextAt = aNow + static_cast<Millis>(static_cast<double>(mOptions.mLength) *
                                       mOptions.mRandom());
}

void LeaseHolder::StartRound(Millis aNow) {
  if (!Holds(aNow)) {
    mEpoch = std::max(mEpoch, mSeenEpoch) + 1;
  }
  mRound++;
  mRoundAt = aNow;
  mGrants.clear();
  mTrying = true;
  mNextAt = aNow + mOptions.mRenew;
  mBroadcast({.mCandidate = mOptions.mId, .mEpoch = mEpoch, .mRound = mRound});
}

void LeaseHolder::Handle(const LeaseReply& aReply, Millis aNow) {
  OnEpochSeen(aReply.mEpoch);
  const bool mine = aReply.mRound == mRound && aReply.mEpoch == mEpoch;
  if (!mine || !aReply.mGranted || mReleased) {
    return;
  }
  mGrants.insert(aReply.mVoter);
  if (mGrants.size() * 2 <= mOptions.mVoters) {
    return;
  }
  // Counted from before the request was sent, and shortened by the drift, so
  // that it ends before any voter's promise.
  const auto own = static_cast<Millis>(static_cast<double>(mOptions.mLength) *
                                       (1 - mOptions.mDrift));
  if (aNow < mRoundAt + own) {
    mHeldUntil = std::max(mHeldUntil, mRoundAt + own);
  }
}

void LeaseHolder::BroadcastRelease() {
  mBroadcast({.mCandidate = mOptions.mId,
              .mEpoch = mEpoch,
              .mRound = mRound,
              .mRelease = true});
}

void LeaseHolder::OnEpochSeen(std::int64_t aEpoch) {
  mSeenEpoch = std::max(mSeenEpoch, aEpoch);
}

void LeaseHolder::Release(Millis aNow) {
  if (Holds(aNow)) {
    BroadcastRelease();
  }
  mReleased = true;
  mHeldUntil = 0;
}

}  // namespace spindleweir
