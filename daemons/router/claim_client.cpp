#include "daemons/router/claim_client.h"

#include <utility>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr const char* kClaimMethod = "claim.ask";
/// A keeper on a slow disk answers after two syncs of up to 1.2 s each: the one
/// that runs when the message comes, and its own.
constexpr Millis kAcquireTimeout = 3000;
constexpr Millis kReportTimeout = 4000;
constexpr Millis kReportRetryDelay = 500;
constexpr int kMaxReportAttempts = 240;
/// Maximum delay of an answer while the keepers store it; a round trip with
/// the disk write takes about 5 ms. If no majority of the keepers is reachable,
/// the answer is sent although a resend would not get it yet.
constexpr Millis kStorageTimeout = 1000;
constexpr std::size_t kMaxStoredAnswerBytes = 64 * 1024;
/// Longer than any call may take: the owner of an older claim has crashed.
constexpr Millis kStaleClaimAge = 120 * 1000;

/// A claim round that is shared by the callbacks of its pending replies.
struct PendingRound {
  ClaimRound mRound;
  std::function<void(const ClaimOutcome&)> mDone;
};

void Settle(const std::shared_ptr<PendingRound>& aPending) {
  if (aPending->mRound.Verdict() == ClaimVerdict::kPending ||
      !aPending->mDone) {
    return;
  }
  const auto done = std::move(aPending->mDone);
  aPending->mDone = nullptr;
  done({aPending->mRound.Verdict(), aPending->mRound.Request(),
        aPending->mRound.Earlier()});
}

/// Counts the keepers that have stored an outcome, and calls back once a
/// majority has, or when Settle() is called.
class StorageQuorum {
 public:
  StorageQuorum(std::size_t aKeepers, std::function<void()> aOnStored)
      : mKeepers(aKeepers), mOnStored(std::move(aOnStored)) {}

  void OnAcknowledged() {
    mAcknowledged++;
    if (mAcknowledged * 2 > mKeepers) {
      Settle();
    }
  }

  void Settle() {
    mTimer.reset();
    const std::function<void()> callback = std::exchange(mOnStored, nullptr);
    if (callback) {
      callback();
    }
  }

  std::unique_ptr<Timer> mTimer;

 private:
  std::size_t mKeepers;
  std::size_t mAcknowledged = 0;
  std::function<void()> mOnStored;
};

}  // namespace

ResultCode CodeOf(ClaimVerdict aVerdict) {
  switch (aVerdict) {
    case ClaimVerdict::kInProgress:
      return ResultCode::kInProgress;
    case ClaimVerdict::kUnknown:
      return ResultCode::kOutcomeUnknown;
    case ClaimVerdict::kKeyReused:
      return ResultCode::kKeyReused;
    case ClaimVerdict::kDone:
      return ResultCode::kAnswerNotKept;
    case ClaimVerdict::kPending:
    case ClaimVerdict::kGranted:
    case ClaimVerdict::kNoQuorum:
      break;
  }
  return ResultCode::kNoClaimQuorum;
}

void ClaimClient::Acquire(const std::string& aKey, const std::string& aOwner,
                          const std::string& aBody,
                          std::function<void(const ClaimOutcome&)> aDone) {
  ClaimRecord request;
  request.mKey = aKey;
  request.mDigest = Sha256Hex(aBody);
  request.mOwner = aOwner;
  const std::vector<EntryVm> keepers =
      mContext.mEntryVms.Current().OfRole(EntryRole::kControl);
  if (keepers.empty()) {
    aDone({ClaimVerdict::kNoQuorum, request, {}});
    return;
  }
  const auto pending = std::make_shared<PendingRound>(PendingRound{
      ClaimRound(request, keepers.size(), WallNow() - kStaleClaimAge),
      std::move(aDone)});
  const ClaimMessage message{ClaimOperation::kAcquire, request};
  for (const EntryVm& keeper : keepers) {
    mContext.mRpc.Call(
        keeper.mAddress, kClaimMethod, ToJson(message), kAcquireTimeout,
        [pending, id = keeper.mId](const RpcResult& aResult) {
          if (aResult.mOk) {
            pending->mRound.OnReply(id, FromJson<ClaimReply>(aResult.mAnswer));
          } else {
            pending->mRound.OnNoReply(id);
          }
          Settle(pending);
        });
  }
}

void ClaimClient::Release(const ClaimRecord& aRecord) {
  const ClaimMessage message{ClaimOperation::kRelease, aRecord};
  for (const EntryVm& keeper :
       mContext.mEntryVms.Current().OfRole(EntryRole::kControl)) {
    SendUntilAcknowledged(keeper, message, kMaxReportAttempts, nullptr);
  }
}

void ClaimClient::Finish(ClaimRecord aRecord, ClaimState aState,
                         const StoredAnswer& aAnswer,
                         std::function<void()> aOnStored) {
  aRecord.mState = aState;
  aRecord.mAnswer = aAnswer;
  if (aRecord.mAnswer.mBody.size() > kMaxStoredAnswerBytes) {
    aRecord.mAnswer.mBody.clear();
    aRecord.mAnswer.mBodyStored = false;
  }
  const ClaimMessage message{ClaimOperation::kFinish, aRecord};
  const std::vector<EntryVm> keepers =
      mContext.mEntryVms.Current().OfRole(EntryRole::kControl);
  const auto quorum =
      std::make_shared<StorageQuorum>(keepers.size(), std::move(aOnStored));
  for (const EntryVm& keeper : keepers) {
    SendUntilAcknowledged(keeper, message, kMaxReportAttempts,
                          [quorum] { quorum->OnAcknowledged(); });
  }
  if (keepers.empty()) {
    quorum->Settle();
    return;
  }
  // The pending messages own the quorum object; its timer must not.
  quorum->mTimer = mContext.mLoop.AfterRunning(
      kStorageTimeout, [this, weak = std::weak_ptr<StorageQuorum>(quorum)] {
        mContext.mCounters.Add("claim_outcomes_late");
        if (const auto late = weak.lock()) {
          late->Settle();
        }
      });
}

void ClaimClient::SendUntilAcknowledged(
    const EntryVm& aKeeper, const ClaimMessage& aMessage, int aAttemptsLeft,
    const std::function<void()>& aOnAcknowledged) {
  if (aAttemptsLeft == 0) {
    mContext.mCounters.Add("claim_outcomes_untold");
    LogLine(LogLevel::kWarning, "claim_outcome_untold")
        .Add("keeper", aKeeper.mId);
    return;
  }
  mContext.mRpc.Call(
      aKeeper.mAddress, kClaimMethod, ToJson(aMessage), kReportTimeout,
      [this, aKeeper, aMessage, aAttemptsLeft,
       aOnAcknowledged](const RpcResult& aResult) {
        if (aResult.mOk) {
          if (aOnAcknowledged) {
            aOnAcknowledged();
          }
          return;
        }
        const std::int64_t id = mNextRetry++;
        mRetryTimers[id] = mContext.mLoop.After(
            kReportRetryDelay,
            [this, id, aKeeper, aMessage, aAttemptsLeft, aOnAcknowledged] {
              mRetryTimers.erase(id);
              SendUntilAcknowledged(aKeeper, aMessage, aAttemptsLeft - 1,
                                    aOnAcknowledged);
            });
      });
}

}  // namespace spindleweir
