#include "spindleweir/servers/claims/claim_keeper.h"

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// How long a message may be on its way.
constexpr Millis kReleasedKept = 60 * 1000;
constexpr Millis kSweepPeriod = 1000;
constexpr std::size_t kPageRecords = 500;

}  // namespace

ClaimKeeper::ClaimKeeper(ClaimKeeperOptions aOptions)
    : mOptions(std::move(aOptions)) {}

void ClaimKeeper::Restore(const ClaimRecord& aRecord) {
  if (aRecord.mState == ClaimState::kFree) {
    mRecords.erase(aRecord.mKey);
    return;
  }
  mRecords[aRecord.mKey] = aRecord;
  mByExpiry.emplace(aRecord.mExpiresWall, aRecord.mKey);
}

ClaimReply ClaimKeeper::Handle(const ClaimMessage& aMessage, Millis aWallNow) {
  Expire(aWallNow);
  switch (aMessage.mAsk) {
    case ClaimAsk::kAcquire:
      return Acquire(aMessage.mRecord, aWallNow);
    case ClaimAsk::kRelease:
      return Release(aMessage.mRecord, aWallNow);
    case ClaimAsk::kFinish:
      return Finish(aMessage.mRecord, aWallNow);
  }
  throw Error(ResultCode::kBadField, "unknown claim message");
}

ClaimReply ClaimKeeper::Acquire(const ClaimRecord& aAsked, Millis aWallNow) {
  const auto it = mRecords.find(aAsked.mKey);
  if (it != mRecords.end()) {
    const bool own = it->second.mOwner == aAsked.mOwner &&
                     it->second.mState == ClaimState::kHeld;
    return {own, it->second};
  }
  if (mAbstains) {
    throw Error(ResultCode::kNotReady,
                "this keeper has not taken over the others' claims yet");
  }
  if (mReleased.contains(aAsked.mOwner)) {
    return {};
  }
  if (mRecords.size() >= mOptions.mMaximumClaims) {
    throw Error(ResultCode::kOverLimit, "the claim keeper is full");
  }
  ClaimRecord record = aAsked;
  record.mState = ClaimState::kHeld;
  record.mGrantedWall = aWallNow;
  record.mExpiresWall = aWallNow + mOptions.mLifetime;
  record.mAnswer = {};
  Store(record);
  return {true, record};
}

ClaimReply ClaimKeeper::Release(const ClaimRecord& aAsked, Millis aWallNow) {
  mReleased[aAsked.mOwner] = aWallNow + kReleasedKept;
  const auto it = mRecords.find(aAsked.mKey);
  const bool own = it != mRecords.end() && it->second.mOwner == aAsked.mOwner &&
                   it->second.mState == ClaimState::kHeld;
  if (!own) {
    return {};
  }
  ClaimRecord record = it->second;
  record.mState = ClaimState::kFree;
  mOptions.mPersist(record);
  mRecords.erase(it);
  return {true, record};
}

ClaimReply ClaimKeeper::Finish(const ClaimRecord& aAsked, Millis aWallNow) {
  const auto it = mRecords.find(aAsked.mKey);
  const bool other = it != mRecords.end() && it->second.mOwner != aAsked.mOwner;
  if (other && it->second.mState != ClaimState::kHeld) {
    return {false, it->second};
  }
  // The owner was granted the key by a majority; a keeper that missed that, or
  // granted a loser, takes the owner's word.
  ClaimRecord record = aAsked;
  record.mExpiresWall = aWallNow + mOptions.mLifetime;
  if (record.mAnswer.mBody.size() > mOptions.mMaximumAnswerBytes) {
    record.mAnswer.mBody.clear();
    record.mAnswer.mKept = false;
  }
  Store(record);
  return {true, record};
}

void ClaimKeeper::Store(const ClaimRecord& aRecord) {
  mOptions.mPersist(aRecord);
  mRecords[aRecord.mKey] = aRecord;
  mByExpiry.emplace(aRecord.mExpiresWall, aRecord.mKey);
}

void ClaimKeeper::Adopt(const ClaimRecord& aRecord) {
  const auto it = mRecords.find(aRecord.mKey);
  const bool known =
      it != mRecords.end() &&
      static_cast<int>(it->second.mState) >= static_cast<int>(aRecord.mState);
  if (!known) {
    Store(aRecord);
  }
}

ClaimPage ClaimKeeper::Page(const ClaimPageQuestion& aQuestion) const {
  ClaimPage page;
  page.mWhole = !mAbstains;
  auto it = aQuestion.mAfter.empty() ? mRecords.begin()
                                     : mRecords.upper_bound(aQuestion.mAfter);
  for (; it != mRecords.end() && page.mRecords.size() < kPageRecords; ++it) {
    page.mRecords.push_back(it->second);
  }
  page.mLast = it == mRecords.end();
  return page;
}

void ClaimKeeper::Expire(Millis aWallNow) {
  if (aWallNow >= mSweepAt) {
    mSweepAt = aWallNow + kSweepPeriod;
    std::erase_if(mReleased, [aWallNow](const auto& aItem) {
      return aItem.second < aWallNow;
    });
  }
  while (!mByExpiry.empty() && mByExpiry.begin()->first < aWallNow) {
    const auto it = mRecords.find(mByExpiry.begin()->second);
    if (it != mRecords.end() && it->second.mExpiresWall < aWallNow) {
      mRecords.erase(it);
    }
    mByExpiry.erase(mByExpiry.begin());
  }
}

}  // namespace spindleweir
