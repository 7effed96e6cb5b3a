#include "daemons/router/claim_gate.h"

#include <utility>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr const char* kClaimMethod = "claim.ask";
constexpr Millis kAskTimeout = 1000;
constexpr Millis kTellTimeout = 2000;
constexpr Millis kTellAgain = 500;
constexpr int kTellTries = 240;
/// An answer waits no longer for keepers to hold it. A round to them and their
/// disks takes some 5 ms; where no majority of them is left, the caller's
/// answer goes before what a resend of it would be told.
constexpr Millis kKeptWait = 1000;
constexpr std::size_t kMaximumAnswerBytes = 64 * 1024;
/// Longer than any call may take: a claim held for longer has lost its owner.
constexpr Millis kStaleClaim = 120 * 1000;

/// One round, shared by the replies that it waits for.
struct OpenRound {
  ClaimRound mRound;
  std::function<void(const ClaimOutcome&)> mDone;
};

void Settle(const std::shared_ptr<OpenRound>& aOpen) {
  if (aOpen->mRound.Verdict() == ClaimVerdict::kPending || !aOpen->mDone) {
    return;
  }
  const auto done = std::move(aOpen->mDone);
  aOpen->mDone = nullptr;
  done({aOpen->mRound.Verdict(), aOpen->mRound.Request(),
        aOpen->mRound.Earlier()});
}

/// Counts the keepers that have an outcome, and calls back once.
class KeptCount {
 public:
  KeptCount(std::size_t aKeepers, std::function<void()> aKept)
      : mKeepers(aKeepers), mKept(std::move(aKept)) {}

  void Told() {
    mTold++;
    if (mTold * 2 > mKeepers) {
      Settle();
    }
  }

  void Settle() {
    mTimer.reset();
    const std::function<void()> kept = std::exchange(mKept, nullptr);
    if (kept) {
      kept();
    }
  }

  std::unique_ptr<Timer> mTimer;

 private:
  std::size_t mKeepers;
  std::size_t mTold = 0;
  std::function<void()> mKept;
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

void ClaimGate::Acquire(const std::string& aKey, const std::string& aOwner,
                        const std::string& aBody,
                        std::function<void(const ClaimOutcome&)> aDone) {
  ClaimRecord asked;
  asked.mKey = aKey;
  asked.mDigest = Sha256Hex(aBody);
  asked.mOwner = aOwner;
  const std::vector<EntryVm> keepers =
      mContext.mEntryVms.Current().OfRole(EntryRole::kControl);
  if (keepers.empty()) {
    aDone({ClaimVerdict::kNoQuorum, asked, {}});
    return;
  }
  const auto open = std::make_shared<OpenRound>(
      OpenRound{ClaimRound(asked, keepers.size(), WallNow() - kStaleClaim),
                std::move(aDone)});
  const ClaimMessage message{ClaimOperation::kAcquire, asked};
  for (const EntryVm& keeper : keepers) {
    mContext.mRpc.Call(
        keeper.mAddress, kClaimMethod, ToJson(message), kAskTimeout,
        [open, id = keeper.mId](const RpcResult& aResult) {
          if (aResult.mOk) {
            open->mRound.OnReply(id, FromJson<ClaimReply>(aResult.mAnswer));
          } else {
            open->mRound.OnNoReply(id);
          }
          Settle(open);
        });
  }
}

void ClaimGate::Release(const ClaimRecord& aRecord) {
  const ClaimMessage message{ClaimOperation::kRelease, aRecord};
  for (const EntryVm& keeper :
       mContext.mEntryVms.Current().OfRole(EntryRole::kControl)) {
    Tell(keeper, message, kTellTries, nullptr);
  }
}

void ClaimGate::Finish(ClaimRecord aRecord, ClaimState aState,
                       const StoredAnswer& aAnswer,
                       std::function<void()> aKept) {
  aRecord.mState = aState;
  aRecord.mAnswer = aAnswer;
  if (aRecord.mAnswer.mBody.size() > kMaximumAnswerBytes) {
    aRecord.mAnswer.mBody.clear();
    aRecord.mAnswer.mBodyStored = false;
  }
  const ClaimMessage message{ClaimOperation::kFinish, aRecord};
  const std::vector<EntryVm> keepers =
      mContext.mEntryVms.Current().OfRole(EntryRole::kControl);
  const auto count =
      std::make_shared<KeptCount>(keepers.size(), std::move(aKept));
  for (const EntryVm& keeper : keepers) {
    Tell(keeper, message, kTellTries, [count] { count->Told(); });
  }
  if (keepers.empty()) {
    count->Settle();
    return;
  }
  // The messages under way hold the count, its timer does not.
  count->mTimer = mContext.mLoop.AfterRunning(
      kKeptWait, [this, weak = std::weak_ptr<KeptCount>(count)] {
        mContext.mCounters.Add("claim_outcomes_late");
        if (const auto late = weak.lock()) {
          late->Settle();
        }
      });
}

void ClaimGate::Tell(const EntryVm& aKeeper, const ClaimMessage& aMessage,
                     int aTries, const std::function<void()>& aTold) {
  if (aTries == 0) {
    mContext.mCounters.Add("claim_outcomes_untold");
    LogLine(LogLevel::kWarning, "claim_outcome_untold")
        .Add("keeper", aKeeper.mId);
    return;
  }
  mContext.mRpc.Call(
      aKeeper.mAddress, kClaimMethod, ToJson(aMessage), kTellTimeout,
      [this, aKeeper, aMessage, aTries, aTold](const RpcResult& aResult) {
        if (aResult.mOk) {
          if (aTold) {
            aTold();
          }
          return;
        }
        const auto again = std::make_shared<std::unique_ptr<Timer>>();
        *again = mContext.mLoop.After(
            kTellAgain, [this, again, aKeeper, aMessage, aTries, aTold] {
              again->reset();
              Tell(aKeeper, aMessage, aTries - 1, aTold);
            });
      });
}

}  // namespace spindleweir
