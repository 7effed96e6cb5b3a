#include "spindleweir/servers/membership/steward_lease.h"

#include <algorithm>

namespace spindleweir {

LeaseVoter::LeaseVoter(LeaseOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)),
      mAbstainsUntil(aNow + mOptions.mDuration),
      mEpoch(mOptions.mFirstEpoch) {}

LeaseReply LeaseVoter::Handle(const LeaseRequest& aRequest, Millis aNow) {
  LeaseReply reply{.mVoter = mOptions.mId, .mRound = aRequest.mRound};
  const bool same = mPromisedTo == aRequest.mCandidate;
  if (aRequest.mRelease) {
    // A late release of an earlier lease must not end the present one.
    const bool isCurrentLease = same && aRequest.mEpoch == mEpoch;
    mPromisedUntil = isCurrentLease ? 0 : mPromisedUntil;
    reply.mEpoch = mEpoch;
    return reply;
  }
  const bool free = same || aNow >= mPromisedUntil;
  // A renewal keeps its epoch; any other request needs a greater one.
  const bool newer =
      aRequest.mEpoch > mEpoch || (same && aRequest.mEpoch == mEpoch);
  if (aNow >= mAbstainsUntil && free && newer) {
    mPromisedTo = aRequest.mCandidate;
    mPromisedUntil = aNow + mOptions.mDuration;
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
      mNextRoundAt(aNow) {}

void LeaseHolder::Tick(Millis aNow) {
  if (mReleased || aNow < mNextRoundAt) {
    return;
  }
  if (mRoundActive && !Holds(aNow)) {
    AbandonRound(aNow);
    return;
  }
  StartRound(aNow);
}

void LeaseHolder::AbandonRound(Millis aNow) {
  // If all candidates kept requesting, split votes would stay split for ever.
  // The promises are released, and after a random delay one of the candidates
  // is alone.
  mRoundActive = false;
  BroadcastRelease();
  mRound++;
  mNextRoundAt =
      aNow + static_cast<Millis>(static_cast<double>(mOptions.mDuration) *
                                 mOptions.mRandom());
}

void LeaseHolder::StartRound(Millis aNow) {
  if (!Holds(aNow)) {
    mEpoch = std::max(mEpoch, mSeenEpoch) + 1;
  }
  mRound++;
  mRoundStartedAt = aNow;
  mGrants.clear();
  mRoundActive = true;
  mNextRoundAt = aNow + mOptions.mRenewInterval;
  mBroadcast({.mCandidate = mOptions.mId, .mEpoch = mEpoch, .mRound = mRound});
}

void LeaseHolder::Handle(const LeaseReply& aReply, Millis aNow) {
  OnEpochSeen(aReply.mEpoch);
  const bool isCurrent = aReply.mRound == mRound && aReply.mEpoch == mEpoch;
  if (!isCurrent || !aReply.mGranted || mReleased) {
    return;
  }
  mGrants.insert(aReply.mVoter);
  if (mGrants.size() * 2 <= mOptions.mVoters) {
    return;
  }
  // The lease starts before the request is sent and is shortened by the
  // greatest drift, so that it ends before any voter's promise.
  const auto leaseDuration = static_cast<Millis>(
      static_cast<double>(mOptions.mDuration) * (1 - mOptions.mMaxDrift));
  if (aNow < mRoundStartedAt + leaseDuration) {
    mHeldUntil = std::max(mHeldUntil, mRoundStartedAt + leaseDuration);
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
