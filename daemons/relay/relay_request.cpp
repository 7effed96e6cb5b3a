#include "daemons/relay/relay_request.h"

#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"
#include "spindleweir/servers/limits/prompt_part.h"
#include "spindleweir/servers/limits/request_digest.h"

namespace spindleweir {

namespace {

/// A request waits at most for this fraction (1/N) of its deadline while the
/// router starts up or warms up.
constexpr Millis kStartUpWaitDivisor = 2;
constexpr Millis kStartUpPollInterval = 20;
/// Callers leave a stream after about two seconds without an event.
constexpr Millis kMaxWarmUpWait = 1800;
constexpr double kMillisPerSecond = 1000;
/// Callers who were refused until a trial has ended return after this time to
/// twice this time. A crash is followed by trials for about as long.
constexpr Millis kTrialReturn = 1500;
/// Callers choose the number and the length of parts; log lines are bounded.
constexpr Json::ArrayIndex kMaxLoggedParts = 8;
constexpr std::size_t kMaxLoggedPartLength = 32;

ReturnCause CauseOf(ResultCode aGivenUpFor) {
  switch (aGivenUpFor) {
    case ResultCode::kCrashesUpstreams:
      // A barred request is never run, so that there is no time to return at.
      return ReturnCause::kNever;
    case ResultCode::kUnderSuspicion:
      return ReturnCause::kTrial;
    case ResultCode::kStopping:
      return ReturnCause::kElsewhere;
    default:
      return ReturnCause::kFull;
  }
}

}  // namespace

RelayRequest::RelayRequest(RelayContext& aContext,
                           std::shared_ptr<StreamExchange> aExchange,
                           std::function<void()> aOnEnd)
    : mContext(aContext),
      mExchange(std::move(aExchange)),
      mOnEnd(std::move(aOnEnd)) {}

RelayRequest::~RelayRequest() {
  DropAttempt();
  StopWaitingForTrial();
  StopWatching();
}

void RelayRequest::StopWatching() {
  if (mKey != 0) {
    mContext.mGuard->Remove(mKey);
    mKey = 0;
  }
}

Millis RelayRequest::Remaining() const {
  return mDeadline - SteadyNow();
}

void RelayRequest::Begin() {
  const std::weak_ptr<RelayRequest> self = weak_from_this();
  mExchange->OnClosed([self] {
    if (const auto request = self.lock()) {
      request->HandleCallerGone();
    }
  });
  mExchange->OnDrained([self] {
    const auto request = self.lock();
    if (request != nullptr && request->mAttempt != nullptr &&
        request->mAttempt->mCall != nullptr) {
      request->mAttempt->mCall->Pause(false);
    }
  });
  try {
    mFacts = mContext.mOptions.mCallers.mReadRequest(mExchange->Head());
  } catch (const Error& error) {
    Refuse(error.Code(), ReturnCause::kNever);
    return;
  }
  Admit();
}

bool RelayRequest::MayWaitForStartUp() const {
  const Millis waited = SteadyNow() - mExchange->ReceivedAt();
  const Millis wait = mContext.mOptions.mStartWait;
  const Millis maxWait =
      mFacts.mDeadline > 0
          ? std::min(wait, mFacts.mDeadline / kStartUpWaitDivisor)
          : wait;
  return mContext.IsStartingUp() && waited < maxWait && !mExchange->Closed();
}

bool RelayRequest::WaitForStartUp() {
  if (!MayWaitForStartUp()) {
    return false;
  }
  mPathTimer = mContext.mLoop.After(kStartUpPollInterval, [this] { Admit(); });
  return true;
}

void RelayRequest::Admit() {
  mTable = mContext.Table();
  const bool confirmed =
      mTable != nullptr && (!mTable->NeedsKeys() || mContext.HasValidLease());
  if (!confirmed && WaitForStartUp()) {
    return;
  }
  if (mTable == nullptr) {
    Refuse(ResultCode::kNotReady, ReturnCause::kNoLease);
    return;
  }
  mRoute = mTable->FindRoute(mFacts.mHost, mExchange->Head().mTarget);
  mNeedsLease = mTable->NeedsKeys() && (mRoute == nullptr || !mRoute->mPublic);
  if (mNeedsLease && !mContext.HasValidLease()) {
    // Without a valid lease neither a key nor its absence can be trusted.
    Refuse(ResultCode::kLeaseExpired, ReturnCause::kNoLease);
    return;
  }
  if (mRoute == nullptr) {
    Refuse(ResultCode::kNoRoute, ReturnCause::kNever);
    return;
  }
  if (mNeedsLease) {
    const TrafficWorkspace* workspace = mTable->FindWorkspace(mFacts.mKey);
    if (workspace == nullptr) {
      Refuse(ResultCode::kUnauthorized, ReturnCause::kNever);
      return;
    }
    mWorkspace = workspace->mName;
  }
  mParts = PartSubjects(mFacts.mSharedParts);
  const Millis wait = mFacts.mDeadline > 0
                          ? std::min(mFacts.mDeadline, mRoute->mTimeout)
                          : mRoute->mTimeout;
  mDeadline = mExchange->ReceivedAt() + wait;
  mTimeout = mContext.mLoop.After(std::max<Millis>(0, Remaining()),
                                  [this] { HandleTimeout(); });
  if (mRoute->mResumable) {
    mLastEvent = mFacts.mLastEvent;
  }
  // The deadline is capped by the timeout of the route, so that one large value
  // from a caller doesn't distort the typical deadline of the route.
  mContext.mAdmission->RecordDeadline(
      mRoute->mName, std::min(mFacts.mDeadline, mRoute->mTimeout));
  ChooseService();
  if (!mContext.mShutdownAdmission.Admits(
          mService->mName, mFacts.mExpectedTokens, wait, SteadyNow())) {
    Refuse(ResultCode::kStopping, ReturnCause::kElsewhere);
    return;
  }
  mContext.RetryAllowanceOf(mService->mName).RequestStarted(SteadyNow());
  mArrivedAt = SteadyNow();
  mContext.RecordArrival(mService->mName);
  AwaitWarmUp();
}

void RelayRequest::AwaitWarmUp() {
  if (!mService->IsEngine() || !mContext.mAdmission->IsWarmingUp()) {
    mContext.mAdmission->Withdraw(this);
    StartAttempt();
    return;
  }
  const Millis waitLimit =
      mFacts.mDeadline > 0
          ? std::min(kMaxWarmUpWait, mFacts.mDeadline / kStartUpWaitDivisor)
          : kMaxWarmUpWait;
  const WarmUpDecision decision =
      mContext.mAdmission->TryAdmit(this, *mService,
                                    {.mReceivedAt = mExchange->ReceivedAt(),
                                     .mTarget = mRoute->mTargetLatency,
                                     .mWaitLimit = waitLimit,
                                     .mPriority = mRoute->mPriority,
                                     .mPromptTokens = mFacts.mPromptTokens});
  if (decision.mVerdict == WarmUpVerdict::kWait) {
    mPathTimer =
        mContext.mLoop.After(decision.mAfter, [this] { AwaitWarmUp(); });
    return;
  }
  RecordWarmUp(decision);
  if (decision.mVerdict != WarmUpVerdict::kAdmit) {
    Refuse(ResultCode::kUpstreamFull, ReturnCause::kFull);
    return;
  }
  StartAttempt();
}

void RelayRequest::RecordWarmUp(const WarmUpDecision& aDecision) {
  const bool admitted = aDecision.mVerdict == WarmUpVerdict::kAdmit;
  LogLine(LogLevel::kInfo, "opening")
      .Add("request", mFacts.mId)
      .Add("let_in", admitted)
      .Add("waited_ms",
           static_cast<Json::Int64>(SteadyNow() - mExchange->ReceivedAt()))
      .Add("turn_in_ms", static_cast<Json::Int64>(aDecision.mAfter))
      .Add("tokens_ahead", aDecision.mTokensAhead)
      .Add("share_per_ms", aDecision.mShare)
      .Add("waiting", aDecision.mWaiting)
      .Add("routers", mContext.Routers());
  mContext.mCounters.Add(
      "opening", admitted ? "outcome=\"let_in\"" : "outcome=\"refused\"");
}

void RelayRequest::ChooseService() {
  double total = 0;
  for (const RouteTarget& target : mRoute->mTargets) {
    total += target.mWeight;
  }
  double left = mContext.Random() * total;
  const RouteTarget* picked = nullptr;
  for (const RouteTarget& target : mRoute->mTargets) {
    if (target.mWeight <= 0) {
      continue;
    }
    picked = &target;
    left -= target.mWeight;
    if (left <= 0) {
      break;
    }
  }
  mService = mTable->FindService(picked->mService);
}

const std::string& RelayRequest::Content() const {
  if (mContent.empty()) {
    mContent = RequestDigest({.mWorkspace = mWorkspace,
                              .mHost = mFacts.mHost,
                              .mTarget = mExchange->Head().mTarget,
                              .mBody = mExchange->Body()});
  }
  return mContent;
}

Json::Value RelayRequest::LoggedParts() const {
  Json::Value parts(Json::arrayValue);
  for (const std::string& part : mFacts.mSharedParts) {
    if (parts.size() == kMaxLoggedParts) {
      break;
    }
    parts.append(part.substr(0, kMaxLoggedPartLength));
  }
  return parts;
}

void RelayRequest::Forward(const AnswerHead& aHead, std::string_view aBody) {
  mExchange->Reply(aHead.mStatus,
                   mContext.mOptions.mCallers.mWriteAnswer(aHead), aBody);
  End(IsSuccess(aHead.mStatus) ? "served" : "upstream_failed", aHead.mStatus);
}

void RelayRequest::GiveUp(ResultCode aCode) {
  if (mExchange->Started()) {
    mExchange->OnClosed(nullptr);
    mExchange->EndTruncated();
    End("broken_off", 0);
    return;
  }
  if (mFallback.has_value()) {
    Forward(mFallback->mHead, mFallback->mBody);
    return;
  }
  if (!mMayHaveRun) {
    const bool refused = InfoOf(aCode).mRan == Ran::kNo;
    Refuse(refused ? aCode : ResultCode::kNoUpstream, CauseOf(aCode));
    return;
  }
  Refuse(InfoOf(aCode).mRan == Ran::kNo ? ResultCode::kOutcomeUnknown : aCode,
         ReturnCause::kNever);
}

Json::Value RelayRequest::FullUpstreamInputs() const {
  Json::Value room(Json::objectValue);
  if (!mFullUpstream.has_value()) {
    return room;
  }
  room["slots"] = mFullUpstream->mSlots;
  room["own"] = mFullUpstream->mLocal;
  room["others_told"] = mFullUpstream->mPeers;
  room["others_unreported"] = UnreportedRequests(*mFullUpstream);
  room["routers"] = mFullUpstream->mRouters;
  room["own_per_s"] = mFullUpstream->mLocalRate * kMillisPerSecond;
  room["usual_ms"] = static_cast<Json::Int64>(mFullUpstream->mTypicalTime);
  room["news_ms"] = static_cast<Json::Int64>(mFullUpstream->mPeerReportAge);
  return room;
}

void RelayRequest::Refuse(ResultCode aCode, ReturnCause aCause) {
  const int status = InfoOf(aCode).mHttpStatus;
  const Millis passed = SteadyNow() - mExchange->ReceivedAt();
  ReturnAdvice advice;
  advice.mAnswer.mAfter = -1;
  if (aCause == ReturnCause::kElsewhere) {
    advice.mAnswer.mAfter = 0;
  } else if (aCause == ReturnCause::kTrial) {
    advice.mAnswer.mAfter =
        kTrialReturn + static_cast<Millis>(kTrialReturn * mContext.Random());
  } else if (aCause != ReturnCause::kNever) {
    const Millis left = mFacts.mDeadline > 0
                            ? std::max<Millis>(1, mFacts.mDeadline - passed)
                            : 0;
    advice = mContext.mAdmission->AdviseReturn(mService, aCause, left);
  }
  const Millis retryAfter = advice.mAnswer.mAfter;
  mExchange->Reply(
      status, mContext.mOptions.mCallers.mWriteRefusal(mFacts.mId, retryAfter),
      DumpJson(ErrorBody({.mCode = aCode, .mRequest = mFacts.mId})));
  LogLine(LogLevel::kWarning, "refused")
      .Add("request", mFacts.mId)
      .Add("code", static_cast<int>(aCode))
      .Add("route", mRoute == nullptr ? "" : mRoute->mName)
      .Add("version",
           static_cast<Json::Int64>(mTable == nullptr ? 0 : mTable->Version()))
      .Add("lease_age_ms",
           static_cast<Json::Int64>(mContext.mLease.Age(SteadyNow())))
      .Add("held_ms", static_cast<Json::Int64>(passed))
      .Add("room", FullUpstreamInputs())
      .Add("held_back", static_cast<int>(mContext.HeldUpstreams().size()))
      .Add("free_after_ms", static_cast<Json::Int64>(advice.mInput.mFreeAfter))
      .Add("free_per_ms", advice.mInput.mFreePerMilli)
      .Add("room_expected", advice.mAnswer.mRoomExpected)
      .Add("callers_told", advice.mCallers)
      .Add("retry_after_ms", static_cast<Json::Int64>(retryAfter));
  End("refused", status);
}

void RelayRequest::AbandonAttempt() {
  if (mAttempt != nullptr && mAttempt->mCall != nullptr) {
    mMayHaveRun = mMayHaveRun || mAttempt->mCall->Sent();
  }
  DropAttempt();
}

void RelayRequest::HandleTimeout() {
  AbandonAttempt();
  mFallback.reset();
  GiveUp(ResultCode::kDeadlineExceeded);
}

void RelayRequest::EndByStop() {
  AbandonAttempt();
  if (!mExchange->Started()) {
    GiveUp(ResultCode::kStopping);
    return;
  }
  mExchange->OnClosed(nullptr);
  mExchange->EndTruncated();
  End("router_ended", 0);
}

void RelayRequest::HandleCallerGone() {
  DropAttempt();
  End("caller_gone", 0);
}

void RelayRequest::Count(const char* aOutcome, int aStatus) {
  Counters& counters = mContext.mCounters;
  const std::string route = mRoute == nullptr ? "" : mRoute->mName;
  counters.Add("requests", "route=\"" + route + "\",outcome=\"" + aOutcome +
                               "\",status=\"" + std::to_string(aStatus) + "\"");
  const Millis received = mExchange->ReceivedAt();
  counters.Observe("request_ms", SteadyNow() - received);
  if (mFirstEventAt > 0) {
    counters.Observe("first_event_ms", mFirstEventAt - received);
    counters.Observe("longest_pause_ms", mLongestPause);
  }
}

void RelayRequest::End(const char* aOutcome, int aStatus) {
  if (mEnded) {
    return;
  }
  mEnded = true;
  if (IsSuccess(aStatus)) {
    mContext.mCrashes.OnRequestCompleted(Content(), SteadyNow());
    mContext.mShutdownAdmission.Record(mService->mName, mFacts.mExpectedTokens,
                                       SteadyNow() - mExchange->ReceivedAt());
  }
  Json::Value path(Json::arrayValue);
  if (mAttempt != nullptr) {
    for (const PathStage& stage : mAttempt->mPath) {
      path.append(stage.mAddress + "=" + std::to_string(stage.mLayers.mFrom) +
                  "-" + std::to_string(stage.mLayers.mTo));
    }
  }
  const Millis received = mExchange->ReceivedAt();
  LogLine(IsSuccess(aStatus) ? LogLevel::kInfo : LogLevel::kWarning, "request")
      .Add("request", mFacts.mId)
      .Add("outcome", aOutcome)
      .Add("lacked", LackName(mLack))
      .Add("status", aStatus)
      .Add("route", mRoute == nullptr ? "" : mRoute->mName)
      .Add("workspace", mWorkspace)
      .Add("service", mService == nullptr ? "" : mService->mName)
      .Add("instance", mAttempt == nullptr ? "" : mAttempt->mInstance)
      .Add("forwarder", mAttempt == nullptr || mAttempt->mCall == nullptr
                            ? ""
                            : mAttempt->mCall->Forwarder())
      .Add("path", path)
      .Add("content", IsSuccess(aStatus) ? "" : Content())
      .Add("parts", IsSuccess(aStatus) ? Json::Value() : LoggedParts())
      .Add("limit",
           mAttempt == nullptr
               ? -1
               : mContext.mLimits.LimitOf(mAttempt->mInstance).value_or(-1))
      .Add("sent", mRanAttempts + (mAttempt == nullptr ? 0 : 1))
      .Add("events", mEvents)
      .Add("expected_tokens", mFacts.mExpectedTokens)
      .Add("first_ms", static_cast<Json::Int64>(
                           mFirstEventAt == 0 ? -1 : mFirstEventAt - received))
      .Add("longest_pause_ms", static_cast<Json::Int64>(mLongestPause))
      .Add("took_ms", static_cast<Json::Int64>(SteadyNow() - received))
      .Add("version",
           static_cast<Json::Int64>(mTable == nullptr ? 0 : mTable->Version()));
  Count(aOutcome, aStatus);
  // Nothing of the router may be used below: the router may be destroyed before
  // the last reference to this request is released.
  DropAttempt();
  StopWaitingForTrial();
  StopWatching();
  mContext.mAdmission->Withdraw(this);
  mTimeout.reset();
  mSilenceTimer.reset();
  mPathTimer.reset();
  mSwitchTimer.reset();
  // The call may release the last reference: no member may be used after it.
  const std::function<void()> call = std::move(mOnEnd);
  mOnEnd = nullptr;
  if (call) {
    call();
  }
}

}  // namespace spindleweir
