#include "daemons/router/completion.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kMaxAttempts = 8;
constexpr std::size_t kMaxPendingBytes = 256 * 1024;
constexpr Millis kBackpressureInterval = 20;
constexpr Millis kMinRetryDelay = 50;
constexpr Millis kMaxRetryDelay = 1000;
constexpr Millis kChainWaitTimeout = 5000;
constexpr Millis kNoUpstreamRetryAfter = 1000;
constexpr std::size_t kBytesPerPromptToken = 4;
}  // namespace

Completion::Completion(RouterContext& aContext, ClaimClient& aClaims,
                       CallerRequest aRequest, CompletionBody aBody,
                       ModelSpec aModel)
    : RequestHandler(aContext, aClaims, std::move(aRequest), aBody.mModel),
      mBody(std::move(aBody)),
      mModel(std::move(aModel)),
      mTokenFilter(mRequest.mId, mModel.mLayers) {
  mReply.mRequest = mRequest.mId;
  mReply.mCreatedWall = mReceipt.mStartedWall;
  mReply.mPromptTokens =
      static_cast<int>(mBody.mPrompt.size() / kBytesPerPromptToken + 1);
}

Completion::~Completion() = default;

double Completion::ExpectedMillis() const {
  double step = 0;
  for (const auto& [vm, upstream] : mContext.mView.All()) {
    const EngineReport& report = upstream.mReport;
    if (report.mModel == mBody.mModel && report.mFirst == 0) {
      step = std::max(step, report.mStepMillis);
    }
  }
  return step;
}

void Completion::Begin() {
  Open(shared_from_this());
  mRequest.mExchange->OnClosed([this] { OnCallerDisconnected(); });
  if (mRequest.mDeadline > 0) {
    const Millis left = std::max<Millis>(0, mRequest.mDeadline - SteadyNow());
    mDeadlineTimer = mContext.mLoop.After(left, [this] {
      Fail(mDispatched ? ResultCode::kDeadlineExceeded
                       : ResultCode::kDeadlineTooShort,
           "");
    });
  }
  RequestAdmission(
      ExpectedMillis() * mBody.mMaximumTokens,
      [self = shared_from_this()](const AdmissionOutcome& aOutcome) {
        self->OnAdmission(aOutcome);
      });
}

void Completion::OnAdmission(const AdmissionOutcome& aOutcome) {
  if (aOutcome.mCode != ResultCode::kOk) {
    Fail(aOutcome.mCode, "", aOutcome.mRetryAfter);
    return;
  }
  mHoldsSlot = true;
  mContext.mRetryBudget.RequestStarted();
  if (mRequest.mIdempotencyKey.empty()) {
    Dispatch();
    return;
  }
  mPhase = Phase::kClaiming;
  const auto self = shared_from_this();
  mClaims.Acquire(
      mRequest.ClaimKey("completions"), mRequest.mId,
      mRequest.mExchange->Body(),
      [self](const ClaimOutcome& aClaim) { self->OnClaim(aClaim); });
}

void Completion::OnClaim(const ClaimOutcome& aOutcome) {
  mClaim = aOutcome.mRequested;
  if (aOutcome.mVerdict != ClaimVerdict::kGranted) {
    const bool stored = aOutcome.mEarlier.mAnswer.mBodyStored;
    // Grants by a minority of the keepers must not block a later resend.
    mClaims.Release(mClaim);
    if (aOutcome.mVerdict == ClaimVerdict::kDone && stored &&
        mPhase != Phase::kEnded) {
      ReplayStored(aOutcome.mEarlier.mAnswer);
      return;
    }
    Fail(CodeOf(aOutcome.mVerdict), "");
    return;
  }
  if (mPhase == Phase::kEnded) {
    mClaims.Release(mClaim);
    return;
  }
  mClaimHeld = true;
  Dispatch();
}

void Completion::ReplayStored(const StoredAnswer& aAnswer) {
  mContext.mCounters.Add("answers_replayed");
  mRequest.mExchange->AddHeader("Idempotent-Replayed", "true");
  if (!mBody.mStream) {
    mRequest.mExchange->Reply(aAnswer.mStatus, aAnswer.mType, aAnswer.mBody);
    End(ResultCode::kOk, Ran::kYes);
    return;
  }
  const Json::Value full = ParseJson(aAnswer.mBody);
  const Json::Value& choice = full["choices"][0];
  const std::string text = mBody.mChat ? choice["message"]["content"].asString()
                                       : choice["text"].asString();
  mReply.mRequest = full["id"].asString();
  mReply.mFinish = choice["finish_reason"].asString();
  mRequest.mExchange->StartStream(kHttpOk, "text/event-stream");
  mRequest.mExchange->Write(StreamEvent(mBody, mReply, text, true));
  mRequest.mExchange->Write(kStreamDone);
  mRequest.mExchange->EndStream();
  End(ResultCode::kOk, Ran::kYes);
}

void Completion::Dispatch() {
  mPhase = Phase::kRunning;
  mRetryTimer.reset();
  if (!ChooseStages()) {
    HandleMissingChain();
    return;
  }
  mTokenFilter.BeginAttempt();
  mReceipt.mAttempts.push_back({.mAttempt = mTokenFilter.Attempt(),
                                .mFirstToken = mTokenFilter.Delivered(),
                                .mStages = mStages});
  for (const StagePlacement& stage : mStages) {
    mContext.mView.Dispatched(stage.mEngine, mContext.mLoop.RunningNow());
  }
  mDispatched = true;
  mConsecutiveStalls = 0;
  mNoChainSince = 0;
  mContext.mCounters.Add("chains_dispatched");
  mCall = mContext.mEngines.Run(
      MakeJob(),
      {.mOnFrame = [this](const TokenFrame& aFrame) { HandleFrame(aFrame); },
       .mOnEnd =
           [this](const HttpResult& aResult) { HandleChainEnd(aResult); }});
  StartStallTimer();
}

void Completion::HandleMissingChain() {
  if (!mDispatched) {
    Fail(ResultCode::kNoUpstream,
         "no chain of usable engines covers all layers", kNoUpstreamRetryAfter);
    return;
  }
  // A started stream retries until a stage is usable again. Excluded engines
  // are allowed again, because they may be the only ones left.
  mExcluded.clear();
  if (mNoChainSince == 0) {
    mNoChainSince = SteadyNow();
  }
  if (SteadyNow() - mNoChainSince > kChainWaitTimeout) {
    Fail(ResultCode::kStreamBroken, "no chain of usable engines remains");
    return;
  }
  mChainRetries++;
  mRetryTimer = mContext.mLoop.After(
      BackoffDelay(mChainRetries, kMinRetryDelay, kMaxRetryDelay,
                   [this] { return mContext.Random(); }),
      [this] { Dispatch(); });
}

void Completion::HandleFrame(const TokenFrame& aFrame) {
  if (mPhase == Phase::kEnded || mCall == nullptr) {
    return;
  }
  if (!aFrame.mError.empty()) {
    std::set<std::string> failed;
    if (!aFrame.mFailed.empty()) {
      failed.insert(aFrame.mFailed);
    }
    ReplaceChain("chain: " + aFrame.mError, failed);
    return;
  }
  const TokenVerdict verdict = mTokenFilter.Check(aFrame);
  if (verdict == TokenVerdict::kDeliver) {
    mConsecutiveStalls = 0;
    Deliver(aFrame);
    return;
  }
  mContext.mCounters.Add("frames_refused",
                         "why=\"" + std::string(NameOf(verdict)) + "\"");
  LogLine(LogLevel::kWarning, "frame_refused")
      .Add("request", mRequest.mId)
      .Add("why", NameOf(verdict))
      .Add("engine", mStages.back().mEngine);
  // A duplicate is harmless; any other verdict makes the rest of the stream
  // unreliable.
  if (verdict != TokenVerdict::kDuplicate) {
    ReplaceChain(std::string("frame refused: ") + NameOf(verdict),
                 {mStages.back().mEngine});
  }
}

void Completion::HandleChainEnd(const HttpResult& aResult) {
  if (mPhase == Phase::kEnded) {
    return;
  }
  // Both an error status and a lost connection count as a failure of the
  // chain's last engine, to which the request was sent.
  const bool refused = aResult.mComplete && aResult.mStatus != kHttpOk;
  ReplaceChain(refused ? "refused with " + std::to_string(aResult.mStatus)
                       : "connection lost",
               {mStages.back().mEngine});
}

void Completion::EndAttempt(const char* aEnding) {
  if (mCall == nullptr) {
    return;
  }
  mCall.reset();
  mStallTimer.reset();
  mBackpressureTimer.reset();
  mReceipt.mAttempts.back().mEnded = aEnding;
  for (const StagePlacement& stage : mStages) {
    mContext.mView.Ended(stage.mEngine);
  }
}

void Completion::ReplaceChain(const std::string& aReason,
                              const std::set<std::string>& aFailed) {
  EndAttempt("failed");
  bool leaving = false;
  for (const std::string& engine : aFailed) {
    leaving = leaving || mContext.mView.IsLeaving(engine);
    mContext.mView.Failed(engine, mContext.mLoop.RunningNow());
    mExcluded.insert(engine);
  }
  mContext.mCounters.Add("chains_replaced");
  Json::Value failed(Json::arrayValue);
  for (const std::string& engine : aFailed) {
    failed.append(engine);
  }
  LogLine(LogLevel::kWarning, "chain_replaced")
      .Add("request", mRequest.mId)
      .Add("attempt", mTokenFilter.Attempt())
      .Add("why", aReason)
      .Add("failed", failed)
      .Add("delivered", mTokenFilter.Delivered());
  // A failure of a VM that is known to be leaving costs no retry budget.
  const bool allowed = mTokenFilter.Attempt() < kMaxAttempts &&
                       (leaving || mContext.mRetryBudget.TrySpend());
  if (!allowed) {
    Fail(ResultCode::kStreamBroken, "too many attempts failed: " + aReason);
    return;
  }
  const Millis delay =
      mTokenFilter.Attempt() < 2
          ? 0
          : BackoffDelay(mTokenFilter.Attempt() - 1, kMinRetryDelay,
                         kMaxRetryDelay, [this] { return mContext.Random(); });
  mRetryTimer = mContext.mLoop.After(delay, [this] { Dispatch(); });
}

void Completion::Deliver(const TokenFrame& aFrame) {
  const bool first = mReply.mTokens == 0;
  mReply.mTokens++;
  mTokens.push_back(aFrame.mText);
  mContext.mCounters.Add("tokens_delivered");
  if (aFrame.mLast) {
    mReply.mFinish = mReply.mTokens >= mBody.mMaximumTokens ? "length" : "stop";
  }
  if (mBody.mStream) {
    if (!mStreaming) {
      mStreaming = true;
      mRequest.mExchange->AddHeader("X-Request-Id", mRequest.mId);
      mRequest.mExchange->AddHeader("Cache-Control", "no-store");
      mRequest.mExchange->StartStream(kHttpOk, "text/event-stream");
    }
    if (first || aFrame.mLast) {
      mRequest.mExchange->Write(
          StreamEvent(mBody, mReply, aFrame.mText, first));
      if (!mEventWriter.has_value()) {
        mEventWriter.emplace(mBody, mReply);
      }
    } else {
      mRequest.mExchange->Write(mEventWriter->Write(aFrame.mText));
    }
  }
  if (aFrame.mLast) {
    FinishCompletion();
    return;
  }
  mLastProgressAt = SteadyNow();
  ApplyBackpressure();
}

void Completion::ApplyBackpressure() {
  const bool full = mRequest.mExchange->PendingBytes() > kMaxPendingBytes;
  if (mCall == nullptr || (!full && mBackpressureTimer == nullptr)) {
    return;
  }
  mCall->Pause(full);
  if (!full) {
    mBackpressureTimer.reset();
    return;
  }
  mContext.mCounters.Add("slow_callers_pushed_back");
  mBackpressureTimer = mContext.mLoop.After(kBackpressureInterval,
                                            [this] { ApplyBackpressure(); });
}

void Completion::FinishCompletion() {
  for (const StagePlacement& stage : mStages) {
    mContext.mView.Succeeded(stage.mEngine);
  }
  EndAttempt("done");
  std::string text;
  for (const std::string& token : mTokens) {
    text += token;
  }
  const std::string answer = DumpJson(FullReply(mBody, mReply, text));
  mPhase = Phase::kStoring;
  mDeadlineTimer.reset();
  FinishClaim(
      {.mStatus = kHttpOk, .mType = "application/json", .mBody = answer},
      [self = shared_from_this(), answer] { self->SendFinalAnswer(answer); });
}

void Completion::SendFinalAnswer(const std::string& aFullAnswer) {
  if (mStreaming) {
    if (mBody.mIncludeUsage) {
      mRequest.mExchange->Write(UsageEvent(mBody, mReply));
    }
    mRequest.mExchange->Write(kStreamDone);
    mRequest.mExchange->EndStream();
  } else {
    mRequest.mExchange->AddHeader("X-Request-Id", mRequest.mId);
    mRequest.mExchange->Reply(kHttpOk, "application/json", aFullAnswer);
  }
  End(ResultCode::kOk, Ran::kYes);
}

void Completion::Fail(ResultCode aCode, const std::string& aMessage,
                      Millis aRetryAfter) {
  if (mPhase == Phase::kEnded) {
    return;
  }
  EndAttempt("failed");
  if (mStreaming) {
    mRequest.mExchange->Write(ToEvent(ErrorBody(
        {.mCode = aCode, .mMessage = aMessage, .mRequest = mRequest.mId})));
    mRequest.mExchange->EndStream();
  } else {
    ReplyWithError(aCode, aMessage, aRetryAfter);
  }
  End(aCode, InfoOf(aCode).mRan);
}

void Completion::OnCallerDisconnected() {
  if (mPhase == Phase::kEnded) {
    return;
  }
  mContext.mCounters.Add("callers_left");
  if (mPhase == Phase::kStoring) {
    // The completion ran; its outcome is being stored at the claim keepers.
    return;
  }
  EndAttempt("cancelled");
  End(ResultCode::kOutcomeUnknown, mDispatched ? Ran::kUnknown : Ran::kNo);
}

void Completion::End(ResultCode aCode, Ran aRan) {
  mPhase = Phase::kEnded;
  mDeadlineTimer.reset();
  mRetryTimer.reset();
  SettleClaim(mDispatched);
  Close(aCode, aRan, mReply.mTokens, mTokenFilter.Attempt());
}

}  // namespace spindleweir
