#include "daemons/router/claim_gate.h"

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
constexpr std::size_t kMaximumAnswerBytes = 64 * 1024;
/// Longer than any call may take: a claim held for longer has lost its owner.
constexpr Millis kStaleClaim = 120 * 1000;

/// One round, shared by the replies that it waits for.
struct OpenRound {
  ClaimRound mRound;
  std::function<void(const ClaimOutcome&)> mDone;
};

void Settle(const std::shared_ptr<OpenRound>& aOpen) {
  if (aOpen->mRound.Verdict() == ClaimVerdict::kOpen || !aOpen->mDone) {
    return;
  }
  const auto done = std::move(aOpen->mDone);
  aOpen->mDone = nullptr;
  done({aOpen->mRound.Verdict(), aOpen->mRound.Asked(),
        aOpen->mRound.Earlier()});
}

}  // namespace

ResultCode CodeOf(ClaimVerdict aVerdict) {
  switch (aVerdict) {
    case ClaimVerdict::kInProgress:
      return ResultCode::kInProgress;
    case ClaimVerdict::kUnknown:
      return ResultCode::kOutcomeUnknown;
    case ClaimVerdict::kReused:
      return ResultCode::kKeyReused;
    case ClaimVerdict::kDone:
      return ResultCode::kAnswerNotKept;
    case ClaimVerdict::kOpen:
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
  const ClaimMessage message{ClaimAsk::kAcquire, asked};
  for (const EntryVm& keeper : keepers) {
    mContext.mRpc.Call(
        keeper.mAddress, kClaimMethod, ToJson(message), kAskTimeout,
        [open, id = keeper.mId](const RpcResult& aResult) {
          if (aResult.mOk) {
            open->mRound.Replied(id, FromJson<ClaimReply>(aResult.mAnswer));
          } else {
            open->mRound.Silent(id);
          }
          Settle(open);
        });
  }
}

void ClaimGate::Release(const ClaimRecord& aRecord) {
  const ClaimMessage message{ClaimAsk::kRelease, aRecord};
  for (const EntryVm& keeper :
       mContext.mEntryVms.Current().OfRole(EntryRole::kControl)) {
    Tell(keeper, message, kTellTries);
  }
}

void ClaimGate::Finish(ClaimRecord aRecord, ClaimState aState,
                       const StoredAnswer& aAnswer) {
  aRecord.mState = aState;
  aRecord.mAnswer = aAnswer;
  if (aRecord.mAnswer.mBody.size() > kMaximumAnswerBytes) {
    aRecord.mAnswer.mBody.clear();
    aRecord.mAnswer.mKept = false;
  }
  const ClaimMessage message{ClaimAsk::kFinish, aRecord};
  for (const EntryVm& keeper :
       mContext.mEntryVms.Current().OfRole(EntryRole::kControl)) {
    Tell(keeper, message, kTellTries);
  }
}

void ClaimGate::Tell(const EntryVm& aKeeper, const ClaimMessage& aMessage,
                     int aTries) {
  if (aTries == 0) {
    mContext.mCounters.Add("claim_outcomes_untold");
    LogLine(LogLevel::kWarning, "claim_outcome_untold")
        .Add("keeper", aKeeper.mId);
    return;
  }
  mContext.mRpc.Call(
      aKeeper.mAddress, kClaimMethod, ToJson(aMessage), kTellTimeout,
      [this, aKeeper, aMessage, aTries](const RpcResult& aResult) {
        if (aResult.mOk) {
          return;
        }
        const auto again = std::make_shared<std::unique_ptr<Timer>>();
        *again = mContext.mLoop.After(kTellAgain,
                                      [this, again, aKeeper, aMessage, aTries] {
                                        again->reset();
                                        Tell(aKeeper, aMessage, aTries - 1);
                                      });
      });
}

}  // namespace spindleweir
