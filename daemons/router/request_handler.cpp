#include "daemons/router/request_handler.h"

#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

RequestHandler::RequestHandler(RouterContext& aContext, ClaimClient& aClaims,
                               CallerRequest aRequest,
                               const std::string& aTarget)
    : mContext(aContext), mClaims(aClaims), mRequest(std::move(aRequest)) {
  mReceipt.mRequest = mRequest.mId;
  mReceipt.mWorkspace = mRequest.mWorkspace.mName;
  mReceipt.mTarget = aTarget;
  mReceipt.mRouter = mContext.mOptions.mId;
  mReceipt.mZone = mContext.mOptions.mZone;
  mReceipt.mConfigurationVersion = mContext.AcceptedConfiguration().mVersion;
  mReceipt.mStartedWall = WallNow();
}

void RequestHandler::Open(std::shared_ptr<void> aSelf) {
  mSelf = aSelf.get();
  mContext.mOpenRequests.Add(std::move(aSelf));
}

void RequestHandler::RequestAdmission(
    double aServiceMillis, std::function<void(const AdmissionOutcome&)> aDone) {
  AdmissionRequest admission;
  admission.mWorkspace = mRequest.mWorkspace.mName;
  admission.mPriority = mRequest.mPriority;
  admission.mDeadline = mRequest.mDeadline;
  admission.mServiceMillis = aServiceMillis;
  mTicket = mContext.SubmitForAdmission(admission, std::move(aDone));
}

void RequestHandler::ReplyWithError(ResultCode aCode,
                                    const std::string& aMessage,
                                    Millis aRetryAfter) {
  mRequest.mExchange->AddHeader("X-Request-Id", mRequest.mId);
  ReplyError(*mRequest.mExchange, {.mCode = aCode,
                                   .mMessage = aMessage,
                                   .mRequest = mRequest.mId,
                                   .mRetryAfter = aRetryAfter});
}

void RequestHandler::SettleClaim(bool aMayHaveRun) {
  if (!mClaimHeld) {
    return;
  }
  mClaimHeld = false;
  if (aMayHaveRun) {
    mClaims.Finish(mClaim, ClaimState::kUnknown, {});
  } else {
    mClaims.Release(mClaim);
  }
}

void RequestHandler::FinishClaim(const StoredAnswer& aAnswer,
                                 std::function<void()> aThen) {
  if (!mClaimHeld) {
    aThen();
    return;
  }
  mClaimHeld = false;
  mClaims.Finish(mClaim, ClaimState::kDone, aAnswer, std::move(aThen));
}

void RequestHandler::Close(ResultCode aCode, Ran aRan, int aTokens,
                           int aAttempts) {
  mContext.WithdrawTicket(mTicket);
  const ResultCodeInfo& info = InfoOf(aCode);
  mReceipt.mDurationMillis = SteadyNow() - mRequest.mStarted;
  mReceipt.mTokens = aTokens;
  mReceipt.mCode = static_cast<int>(aCode);
  mReceipt.mRan = NameOf(aRan);
  mContext.mOutbox.Add(mReceipt);
  mContext.mCounters.Add("requests",
                         "code=\"" + std::string(info.mName) + "\"");
  LogLine(LogLevel::kInfo, "request_ended")
      .Add("request", mRequest.mId)
      .Add("workspace", mRequest.mWorkspace.mName)
      .Add("code", static_cast<int>(aCode))
      .Add("name", std::string(info.mName))
      .Add("ran", mReceipt.mRan)
      .Add("tokens", aTokens)
      .Add("attempts", aAttempts)
      .Add("took_ms", static_cast<Json::Int64>(mReceipt.mDurationMillis));
  if (mHoldsSlot) {
    mHoldsSlot = false;
    mContext.ReleaseSlot(mRequest.mWorkspace.mName);
  }
  // A member function of this object is still on the stack.
  mContext.mLoop.Post([self = mContext.mOpenRequests.Remove(mSelf)] {});
}

}  // namespace spindleweir
