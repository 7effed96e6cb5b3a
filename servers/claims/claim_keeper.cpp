#include "spindleweir/servers/claims/claim_keeper.h"

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// Longest time that a message may be delayed in the network.
constexpr Millis kReleasedOwnerRetention = 60 * 1000;
constexpr Millis kSweepInterval = 1000;
constexpr std::size_t kMaxPageRecords = 500;

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
  switch (aMessage.mOperation) {
    case ClaimOperation::kAcquire:
      return Acquire(aMessage.mRecord, aWallNow);
    case ClaimOperation::kRelease:
      return Release(aMessage.mRecord, aWallNow);
    case ClaimOperation::kFinish:
      return Finish(aMessage.mRecord, aWallNow);
  }
  throw Error(ResultCode::kBadField, "claim message: unknown operation");
}

ClaimReply ClaimKeeper::Acquire(const ClaimRecord& aRequested,
                                Millis aWallNow) {
  const auto it = mRecords.find(aRequested.mKey);
  if (it != mRecords.end()) {
    const bool isOwner = it->second.mOwner == aRequested.mOwner &&
                         it->second.mState == ClaimState::kHeld;
    return {isOwner, it->second};
  }
  if (mAbstains) {
    throw Error(ResultCode::kNotReady,
                "the claim keeper has not copied the claims of the other "
                "keepers yet");
  }
  if (mReleasedOwners.contains(aRequested.mOwner)) {
    return {};
  }
  if (mRecords.size() >= mOptions.mMaxClaims) {
    throw Error(ResultCode::kOverLimit, "the claim keeper is full");
  }
  ClaimRecord record = aRequested;
  record.mState = ClaimState::kHeld;
  record.mGrantedWall = aWallNow;
  record.mExpiresWall = aWallNow + mOptions.mLifetime;
  record.mAnswer = {};
  Store(record);
  return {true, record};
}

ClaimReply ClaimKeeper::Release(const ClaimRecord& aRequested,
                                Millis aWallNow) {
  mReleasedOwners[aRequested.mOwner] = aWallNow + kReleasedOwnerRetention;
  const auto it = mRecords.find(aRequested.mKey);
  const bool isOwner = it != mRecords.end() &&
                       it->second.mOwner == aRequested.mOwner &&
                       it->second.mState == ClaimState::kHeld;
  if (!isOwner) {
    return {};
  }
  ClaimRecord record = it->second;
  record.mState = ClaimState::kFree;
  mOptions.mPersist(record);
  mRecords.erase(it);
  return {true, record};
}

ClaimReply ClaimKeeper::Finish(const ClaimRecord& aRequested, Millis aWallNow) {
  const auto it = mRecords.find(aRequested.mKey);
  const bool ownedByOther =
      it != mRecords.end() && it->second.mOwner != aRequested.mOwner;
  if (ownedByOther && it->second.mState != ClaimState::kHeld) {
    return {false, it->second};
  }
  // A majority granted the key to the owner; a keeper that missed that, or
  // granted the key to an attempt that lost the round, accepts the outcome.
  ClaimRecord record = aRequested;
  record.mExpiresWall = aWallNow + mOptions.mLifetime;
  if (record.mAnswer.mBody.size() > mOptions.mMaximumAnswerBytes) {
    record.mAnswer.mBody.clear();
    record.mAnswer.mBodyStored = false;
  }
  Store(record);
  return {true, record};
}

void ClaimKeeper::Store(const ClaimRecord& aRecord) {
  mOptions.mPersist(aRecord);
  mRecords[aRecord.mKey] = aRecord;
  mByExpiry.emplace(aRecord.mExpiresWall, aRecord.mKey);
}

void ClaimKeeper::MergeRecord(const ClaimRecord& aRecord) {
  const auto it = mRecords.find(aRecord.mKey);
  const bool upToDate =
      it != mRecords.end() &&
      static_cast<int>(it->second.mState) >= static_cast<int>(aRecord.mState);
  if (!upToDate) {
    Store(aRecord);
  }
}

ClaimPage ClaimKeeper::Page(const ClaimPageRequest& aRequest) const {
  ClaimPage page;
  page.mIsComplete = !mAbstains;
  auto it = aRequest.mAfter.empty() ? mRecords.begin()
                                    : mRecords.upper_bound(aRequest.mAfter);
  for (; it != mRecords.end() && page.mRecords.size() < kMaxPageRecords; ++it) {
    page.mRecords.push_back(it->second);
  }
  page.mIsLast = it == mRecords.end();
  return page;
}

void ClaimKeeper::Expire(Millis aWallNow) {
  if (aWallNow >= mNextSweepAt) {
    mNextSweepAt = aWallNow + kSweepInterval;
    std::erase_if(mReleasedOwners, [aWallNow](const auto& aItem) {
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
