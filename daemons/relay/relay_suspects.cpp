/// The part of RelayRequest that deals with crashes seen under the request and
/// under parts of its prompt.
#include "daemons/relay/relay_request.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// A part that crashes upstreams does so when they begin to write. One that is
/// still up after this time was not crashed by the request.
constexpr Millis kProofTime = 500;
constexpr Millis kTrialPollInterval = 50;
/// Callers leave after two seconds without an event: one who waits longer for a
/// trial would have nothing of it.
constexpr Millis kMaxTrialWait = 1200;

}  // namespace

bool RelayRequest::IsBarred() const {
  const CrashWatch& crashes = mContext.mCrashes;
  if (crashes.Ledger().HasBarredRequests() &&
      crashes.IsBarred(Content(), mParts)) {
    return true;
  }
  const bool isTrial = mAttempt != nullptr && mAttempt->mIsTrial;
  return !isTrial && DecideByParts() == PartDecision::kBarred;
}

PartDecision RelayRequest::DecideByParts() const {
  return mContext.mCrashes.Parts().Decide(mParts, SteadyNow());
}

bool RelayRequest::WaitsForTrial() {
  if (DecideByParts() != PartDecision::kWait) {
    StopWaitingForTrial();
    return false;
  }
  const Millis now = SteadyNow();
  const bool starts = mTrialAwaitedAt == 0;
  mTrialAwaitedAt = starts ? now : mTrialAwaitedAt;
  const bool mayWait = (!starts || StartWaitingForTrial()) &&
                       now - mTrialAwaitedAt < kMaxTrialWait &&
                       Remaining() > kTrialPollInterval && !mExchange->Closed();
  if (!mayWait) {
    StopWaitingForTrial();
    mContext.mCounters.Add("suspects_refused");
    GiveUp(ResultCode::kUnderSuspicion);
    return true;
  }
  mPathTimer =
      mContext.mLoop.After(kTrialPollInterval, [this] { StartAttempt(); });
  return true;
}

bool RelayRequest::StartWaitingForTrial() {
  mContext.mCounters.Add("suspects_held");
  LogLine(LogLevel::kInfo, "waits_for_trial")
      .Add("request", mFacts.mId)
      .Add("parts", LoggedParts())
      .Add("sent", mRanAttempts);
  return mContext.mCrashes.Parts().OnWaitStarted(this, mParts, SteadyNow());
}

void RelayRequest::StopWaitingForTrial() {
  if (mTrialAwaitedAt > 0) {
    mTrialAwaitedAt = 0;
    mContext.mCrashes.Parts().OnWaitEnded(this);
  }
}

void RelayRequest::BeginTrial() {
  if (DecideByParts() != PartDecision::kTry) {
    return;
  }
  mAttempt->mIsTrial = true;
  mContext.mCrashes.Parts().OnTrialStarted(mParts);
  mContext.mCounters.Add("part_trials");
  LogLine(LogLevel::kInfo, "part_trial")
      .Add("request", mFacts.mId)
      .Add("instance", mAttempt->mInstance)
      .Add("parts", LoggedParts());
}

void RelayRequest::EndTrial() {
  if (mAttempt->mIsTrial) {
    mAttempt->mIsTrial = false;
    mContext.mCrashes.Parts().OnTrialEnded(mParts);
  }
}

bool RelayRequest::IsSuspect() const {
  return !mAttempt->mStayedUp && mContext.mCrashes.Parts().HasUnproven(mParts);
}

void RelayRequest::AwaitProof() {
  if (mParts.empty() || !mAttempt->mHadEvents || mAttempt->mFirstEventAt != 0) {
    return;
  }
  mAttempt->mFirstEventAt = SteadyNow();
  mAttempt->mProofTimer =
      mContext.mLoop.After(kProofTime, [this] { ExcuseParts(); });
}

void RelayRequest::ExcuseParts() {
  if (mParts.empty() || mAttempt->mStayedUp) {
    return;
  }
  mAttempt->mStayedUp = true;
  const Millis now = SteadyNow();
  const Millis begun =
      mAttempt->mFirstEventAt == 0 ? now : mAttempt->mFirstEventAt;
  mContext.mCrashes.Parts().OnAnswered(mParts, begun, now);
  EndTrial();
}

}  // namespace spindleweir
