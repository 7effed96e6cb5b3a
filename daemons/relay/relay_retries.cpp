/// The part of RelayRequest that spends retries: each attempt that reaches an
/// upstream beyond the first one has to be paid for.
#include "daemons/relay/relay_request.h"
#include "daemons/relay/retry_credit_requester.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// Interval at which a request that waits for a retry credit checks for it.
constexpr Millis kRetryCreditPollInterval = 20;
/// How long any request waits for control to grant a retry credit: a call takes
/// some milliseconds, and twice as long on a busy router.
constexpr Millis kCreditTimeout = 60;
/// The same while a control has not answered, as long as a call to it takes.
constexpr Millis kMaxCreditWait = 300;

}  // namespace

bool RelayRequest::IsFirstSent() const {
  return mRanAttempts + mRefusedAttempts == 0;
}

bool RelayRequest::HoldsRetry() {
  const bool isSpent =
      mRetrySpentAt > 0 && SteadyNow() - mRetrySpentAt <= kMaxRetrySendDelay;
  mAttempt->mLacksRetry = !IsFirstSent() && !isSpent && !TrySpendRetry();
  return !mAttempt->mLacksRetry;
}

void RelayRequest::LogRetry() const {
  if (IsFirstSent()) {
    return;
  }
  LogLine(LogLevel::kInfo, "retry_sent")
      .Add("request", mFacts.mId)
      .Add("service", mService->mName)
      .Add("instance", mAttempt->mInstance)
      .Add("by_credit", mSpentCredit)
      .Add("spent_ago_ms",
           static_cast<Json::Int64>(SteadyNow() - mRetrySpentAt));
  mContext.mCounters.Add("retries_sent",
                         mSpentCredit ? "by=\"credit\"" : "by=\"own\"");
}

bool RelayRequest::TrySpendRetry() {
  RetryAllowance& allowance = mContext.RetryAllowanceOf(mService->mName);
  const Millis now = SteadyNow();
  const bool hasCredit = allowance.HasCredit(now);
  if (allowance.TrySpend(now)) {
    mRetrySpentAt = now;
    mSpentCredit = hasCredit;
    return true;
  }
  // The own allowance is used up quickly if many requests of this router fail
  // at one upstream.
  mContext.mRetryCreditRequester->Request(mService->mName, this);
  return false;
}

bool RelayRequest::MayWaitForCredit() {
  const Millis now = SteadyNow();
  mCreditAwaitedAt = mCreditAwaitedAt == 0 ? now : mCreditAwaitedAt;
  const bool isAsking =
      mContext.mRetryCreditRequester->IsAsking(mService->mName);
  const Millis limit = isAsking ? kMaxCreditWait : kCreditTimeout;
  return now - mCreditAwaitedAt < limit && !mExchange->Closed() &&
         Remaining() > kCreditTimeout;
}

void RelayRequest::RetryOrGiveUp(ResultCode aCode) {
  mRetryCode = aCode;
  if (TrySpendRetry()) {
    mContext.mCounters.Add("retries");
    mCreditAwaitedAt = 0;
    StartAttempt();
    return;
  }
  SetLack(Lack::kRetries);
  if (!IsWorthWaiting() && !MayWaitForCredit()) {
    GiveUp(aCode);
    return;
  }
  // Retries of the window become available one by one, and control grants
  // others. Breaking a stream off at once loses all that its caller has read.
  mPathTimer = mContext.mLoop.After(kRetryCreditPollInterval,
                                    [this, aCode] { RetryOrGiveUp(aCode); });
}

void RelayRequest::SwitchWithCredit(ResultCode aCode, bool aMayStay) {
  if (!MayWaitForCredit()) {
    mCreditAwaitedAt = 0;
    return;
  }
  const Millis startedAt = mAttempt->mStartedAt;
  const Millis lastDataAt = mAttempt->mLastDataAt;
  mSwitchTimer = mContext.mLoop.After(
      kRetryCreditPollInterval, [this, aCode, aMayStay, startedAt, lastDataAt] {
        const bool isUnchanged = mAttempt != nullptr &&
                                 mAttempt->mStartedAt == startedAt &&
                                 mAttempt->mLastDataAt == lastDataAt;
        if (isUnchanged) {
          SwitchAttempt(aCode, aMayStay);
        }
      });
}

}  // namespace spindleweir
