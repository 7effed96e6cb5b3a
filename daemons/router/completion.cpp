#include "daemons/router/completion.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kMaximumAttempts = 8;
constexpr std::size_t kPushBackBytes = 256 * 1024;
constexpr Millis kPushBackPeriod = 20;
constexpr Millis kProbeTimeout = 300;
constexpr double kSilenceSteps = 8;
constexpr int kSilencesBeforeReplace = 3;
constexpr int kSilencesBeforeFirstToken = 10;
constexpr Millis kRetryFirst = 50;
constexpr Millis kRetryMost = 1000;
constexpr Millis kWaitForChain = 5000;
constexpr Millis kNoUpstreamRetryAfter = 1000;
constexpr std::size_t kBytesPerPromptToken = 4;
}  // namespace

Completion::Completion(RouterContext& aContext, ClaimGate& aClaims,
                       CallerRequest aRequest, CompletionBody aBody,
                       ModelSpec aModel)
    : mContext(aContext),
      mClaims(aClaims),
      mRequest(std::move(aRequest)),
      mBody(std::move(aBody)),
      mModel(std::move(aModel)),
      mGate(mRequest.mId, mModel.mLayers) {
  mReply.mRequest = mRequest.mId;
  mReply.mCreatedWall = WallNow();
  mReply.mPromptTokens =
      static_cast<int>(mBody.mPrompt.size() / kBytesPerPromptToken + 1);
  mReceipt.mRequest = mRequest.mId;
  mReceipt.mWorkspace = mRequest.mWorkspace.mName;
  mReceipt.mTarget = mBody.mModel;
  mReceipt.mRouter = mContext.mOptions.mId;
  mReceipt.mZone = mContext.mOptions.mZone;
  mReceipt.mConfigurationVersion = mContext.Accepted().mVersion;
  mReceipt.mStartedWall = mReply.mCreatedWall;
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
  mSelf = shared_from_this();
  mContext.mOpenRequests++;
  mRequest.mExchange->OnClosed([this] { CallerLeft(); });
  if (mRequest.mDeadline > 0) {
    const Millis left = std::max<Millis>(0, mRequest.mDeadline - SteadyNow());
    mDeadlineTimer = mContext.mLoop.After(left, [this] {
      Fail(mDispatched ? ResultCode::kDeadlineExceeded
                       : ResultCode::kDeadlineTooShort,
           "");
    });
  }
  AdmissionRequest ask;
  ask.mWorkspace = mRequest.mWorkspace.mName;
  ask.mPriority = mRequest.mPriority;
  ask.mDeadline = mRequest.mDeadline;
  ask.mServiceMillis = ExpectedMillis() * mBody.mMaximumTokens;
  const auto self = shared_from_this();
  mTicket = mContext.Ask(ask, [self](const AdmissionOutcome& aOutcome) {
    self->Admitted(aOutcome);
  });
}

void Completion::Admitted(const AdmissionOutcome& aOutcome) {
  if (aOutcome.mCode != ResultCode::kOk) {
    Fail(aOutcome.mCode, "", aOutcome.mRetryAfter);
    return;
  }
  mPlaced = true;
  if (mPhase == Phase::kEnded) {
    mPlaced = false;
    mContext.ReleasePlace(mRequest.mWorkspace.mName);
    return;
  }
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
      [self](const ClaimOutcome& aClaim) { self->Claimed(aClaim); });
}

void Completion::Claimed(const ClaimOutcome& aOutcome) {
  mClaim = aOutcome.mAsked;
  if (aOutcome.mVerdict != ClaimVerdict::kGranted) {
    const bool kept = aOutcome.mEarlier.mAnswer.mKept;
    // Grants of a minority must not block a later resend.
    mClaims.Release(mClaim);
    if (aOutcome.mVerdict == ClaimVerdict::kDone && kept &&
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
  const Json::Value whole = ParseJson(aAnswer.mBody);
  const Json::Value& choice = whole["choices"][0];
  const std::string text = mBody.mChat ? choice["message"]["content"].asString()
                                       : choice["text"].asString();
  mReply.mRequest = whole["id"].asString();
  mReply.mFinish = choice["finish_reason"].asString();
  mRequest.mExchange->StartStream(kHttpOk, "text/event-stream");
  mRequest.mExchange->Write(StreamEvent(mBody, mReply, text, true));
  mRequest.mExchange->Write(kStreamDone);
  mRequest.mExchange->EndStream();
  End(ResultCode::kOk, Ran::kYes);
}

bool Completion::ChooseStages() {
  const std::vector<ChainCandidate> candidates =
      mContext.mView.Candidates(SteadyNow());
  // What the workspace and the model both allow.
  std::vector<std::string> zones = mModel.mZones;
  std::vector<std::string> hardware = mModel.mHardware;
  const auto narrow = [](std::vector<std::string>& aList,
                         const std::vector<std::string>& aBy) {
    if (aList.empty()) {
      aList = aBy;
    } else {
      std::erase_if(aList, [&aBy](const std::string& aName) {
        return !Allows(aBy, aName);
      });
    }
    return !aList.empty() || aBy.empty();
  };
  const bool possible = narrow(zones, mRequest.mWorkspace.mZones) &&
                        narrow(hardware, mRequest.mWorkspace.mHardware);
  ChainQuery query;
  query.mModel = mModel.mName;
  query.mVersion = mModel.mVersion;
  query.mLayers = mModel.mLayers;
  query.mHomeZone = mContext.mOptions.mZone;
  query.mZones = zones;
  query.mHardware = hardware;
  query.mExcluded = &mExcluded;
  query.mLinkMillis = [this](const std::string& aFrom, const std::string& aTo) {
    return mContext.LinkMillis(aFrom, aTo);
  };
  query.mRandom = [this] { return mContext.Random(); };
  ChainChoice choice;
  if (possible) {
    choice = mContext.mOptions.mChooseChain(candidates, query);
  }
  mStages.clear();
  for (std::size_t index : choice.mStages) {
    const ChainCandidate& engine = candidates[index];
    mStages.push_back({.mEngine = engine.mEngine,
                       .mZone = engine.mZone,
                       .mModel = engine.mModel,
                       .mVersion = engine.mVersion,
                       .mFirst = engine.mFirst,
                       .mLast = engine.mLast});
  }
  mChainCost = choice.mCostMillis;
  LogRouting(choice, candidates);
  return choice.Found();
}

void Completion::LogRouting(
    const ChainChoice& aChoice,
    const std::vector<ChainCandidate>& aCandidates) const {
  Json::Value chain(Json::arrayValue);
  for (std::size_t index : aChoice.mStages) {
    const ChainCandidate& engine = aCandidates[index];
    chain.append(engine.mEngine + "[" + std::to_string(engine.mFirst) + "," +
                 std::to_string(engine.mLast) + ")");
  }
  Json::Value refused(Json::objectValue);
  refused["model"] = aChoice.mRefused.mOtherModel;
  refused["unusable"] = aChoice.mRefused.mUnusable;
  refused["zone"] = aChoice.mRefused.mZone;
  refused["hardware"] = aChoice.mRefused.mHardware;
  refused["excluded"] = aChoice.mRefused.mExcluded;
  LogLine(LogLevel::kInfo, "route")
      .Add("request", mRequest.mId)
      .Add("workspace", mRequest.mWorkspace.mName)
      .Add("model", mBody.mModel)
      .Add("attempt", mGate.Attempt() + 1)
      .Add("from_token", mGate.Delivered())
      .Add("candidates", aChoice.mConsidered)
      .Add("refused", refused)
      .Add("chain", chain)
      .Add("cost_ms", aChoice.mCostMillis)
      .Add("configuration",
           static_cast<Json::Int64>(mContext.Accepted().mVersion));
}

ChainJob Completion::MakeJob() const {
  ChainJob job;
  job.mRequest = mRequest.mId;
  job.mAttempt = mGate.Attempt();
  job.mModel = mModel.mName;
  job.mVersion = mModel.mVersion;
  job.mPrompt = mBody.mPrompt;
  job.mDelivered = mTokens;
  job.mMaximumTokens = mBody.mMaximumTokens;
  job.mPriority = mRequest.mPriority;
  for (const StagePlacement& stage : mStages) {
    const Upstream* engine = mContext.mView.Find(stage.mEngine);
    job.mChain.push_back(
        {stage.mEngine, engine->mAddress.Text(), stage.mFirst, stage.mLast});
  }
  job.mPosition = static_cast<int>(job.mChain.size()) - 1;
  return job;
}

void Completion::Dispatch() {
  mPhase = Phase::kRunning;
  mRetryTimer.reset();
  if (!ChooseStages()) {
    NoChain();
    return;
  }
  mGate.NextAttempt();
  mReceipt.mAttempts.push_back({.mAttempt = mGate.Attempt(),
                                .mFirstToken = mGate.Delivered(),
                                .mStages = mStages});
  for (const StagePlacement& stage : mStages) {
    mContext.mView.Dispatched(stage.mEngine, SteadyNow());
  }
  mDispatched = true;
  mSilences = 0;
  mLostChainAt = 0;
  mContext.mCounters.Add("chains_dispatched");
  mCall = mContext.mEngines.Run(
      MakeJob(),
      {.mOnFrame = [this](const TokenFrame& aFrame) { HandleFrame(aFrame); },
       .mOnEnd =
           [this](const HttpResult& aResult) { HandleChainEnd(aResult); }});
  WatchSilence();
}

void Completion::NoChain() {
  if (!mDispatched) {
    Fail(ResultCode::kNoUpstream,
         "no chain of usable engines covers all layers", kNoUpstreamRetryAfter);
    return;
  }
  // A stream under way waits for a stage to come back, in small steps; engines
  // given up before may be the only ones left.
  mExcluded.clear();
  if (mLostChainAt == 0) {
    mLostChainAt = SteadyNow();
  }
  if (SteadyNow() - mLostChainAt > kWaitForChain) {
    Fail(ResultCode::kStreamBroken, "no chain of usable engines is left");
    return;
  }
  mChainWaits++;
  mRetryTimer =
      mContext.mLoop.After(BackoffDelay(mChainWaits, kRetryFirst, kRetryMost,
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
    Replace("chain: " + aFrame.mError, failed);
    return;
  }
  const TokenVerdict verdict = mGate.Check(aFrame);
  if (verdict == TokenVerdict::kDeliver) {
    mSilences = 0;
    Deliver(aFrame);
    return;
  }
  mContext.mCounters.Add("frames_refused",
                         "why=\"" + std::string(NameOf(verdict)) + "\"");
  LogLine(LogLevel::kWarning, "frame_refused")
      .Add("request", mRequest.mId)
      .Add("why", NameOf(verdict))
      .Add("engine", mStages.back().mEngine);
  // A duplicate harms nobody; anything else makes the whole stream doubtful.
  if (verdict != TokenVerdict::kDuplicate) {
    Replace(std::string("frame refused: ") + NameOf(verdict),
            {mStages.back().mEngine});
  }
}

void Completion::HandleChainEnd(const HttpResult& aResult) {
  if (mPhase == Phase::kEnded) {
    return;
  }
  // Whoever answered with an error is there; a lost connection is a failure
  // of the engine that was asked, the last one.
  const bool refused = aResult.mComplete && aResult.mStatus != kHttpOk;
  Replace(refused ? "refused with " + std::to_string(aResult.mStatus)
                  : "connection lost",
          {mStages.back().mEngine});
}

void Completion::EndAttempt(const char* aHow) {
  if (mCall == nullptr) {
    return;
  }
  mCall.reset();
  mSilenceTimer.reset();
  mPushBackTimer.reset();
  mReceipt.mAttempts.back().mEnded = aHow;
  for (const StagePlacement& stage : mStages) {
    mContext.mView.Ended(stage.mEngine);
  }
}

void Completion::Replace(const std::string& aWhy,
                         const std::set<std::string>& aFailed) {
  EndAttempt("failed");
  bool known = false;
  for (const std::string& engine : aFailed) {
    known = known || mContext.mView.IsLeaving(engine);
    mContext.mView.Failed(engine, SteadyNow());
    mExcluded.insert(engine);
  }
  mContext.mCounters.Add("chains_replaced");
  Json::Value failed(Json::arrayValue);
  for (const std::string& engine : aFailed) {
    failed.append(engine);
  }
  LogLine(LogLevel::kWarning, "chain_replaced")
      .Add("request", mRequest.mId)
      .Add("attempt", mGate.Attempt())
      .Add("why", aWhy)
      .Add("failed", failed)
      .Add("delivered", mGate.Delivered());
  // A failure of a VM known to be leaving spends nothing of the budget.
  const bool allowed = mGate.Attempt() < kMaximumAttempts &&
                       (known || mContext.mRetryBudget.TrySpend());
  if (!allowed) {
    Fail(ResultCode::kStreamBroken, "too many attempts failed: " + aWhy);
    return;
  }
  const Millis delay =
      mGate.Attempt() < 2
          ? 0
          : BackoffDelay(mGate.Attempt() - 1, kRetryFirst, kRetryMost,
                         [this] { return mContext.Random(); });
  mRetryTimer = mContext.mLoop.After(delay, [this] { Dispatch(); });
}

Millis Completion::LongestSilence() const {
  const auto expected = static_cast<Millis>(mChainCost * kSilenceSteps);
  return std::max(mContext.mOptions.mSilence, expected);
}

void Completion::WatchSilence() {
  mSilentSince = SteadyNow();
  mSilenceTimer =
      mContext.mLoop.After(LongestSilence(), [this] { HandleSilence(); });
}

void Completion::HandleSilence() {
  // Tokens only note their time; the timer finds out whether one came.
  const Millis left = mSilentSince + LongestSilence() - SteadyNow();
  if (left > 0) {
    mSilenceTimer = mContext.mLoop.After(left, [this] { HandleSilence(); });
    return;
  }
  if (mPushBackTimer != nullptr) {
    WatchSilence();
    return;
  }
  mSilences++;
  ProbeStages();
}

void Completion::ProbeStages() {
  /// The answers still to come, and who did not answer.
  struct Probes {
    std::size_t mLeft;
    std::set<std::string> mSilent;
  };
  const auto probes = std::make_shared<Probes>(Probes{mStages.size(), {}});
  const int attempt = mGate.Attempt();
  for (const StagePlacement& stage : mStages) {
    const Upstream* engine = mContext.mView.Find(stage.mEngine);
    if (engine == nullptr) {
      probes->mLeft--;
      probes->mSilent.insert(stage.mEngine);
      continue;
    }
    mContext.mEngines.GetReport(
        engine->mAddress, kProbeTimeout,
        [self = shared_from_this(), probes, attempt,
         name = stage.mEngine](const EngineReport* aReport) {
          if (aReport == nullptr) {
            probes->mSilent.insert(name);
          }
          probes->mLeft--;
          if (probes->mLeft == 0 && self->mGate.Attempt() == attempt) {
            self->ProbesDone(probes->mSilent);
          }
        });
  }
  if (probes->mLeft == 0) {
    ProbesDone(probes->mSilent);
  }
}

void Completion::ProbesDone(const std::set<std::string>& aSilent) {
  if (mPhase != Phase::kRunning || mCall == nullptr) {
    return;
  }
  if (mSilences == 0) {
    // A token came meanwhile.
    WatchSilence();
    return;
  }
  if (!aSilent.empty()) {
    Replace("silent", aSilent);
    return;
  }
  // All answer: a long queue or prefill, or a link that is cut between two of
  // them. After some rounds the chain is given up, without blame.
  // Before the first token a queue is the likelier cause.
  const int most = mGate.Delivered() > 0 ? kSilencesBeforeReplace
                                         : kSilencesBeforeFirstToken;
  if (mSilences >= most) {
    Replace("no token though all engines answer", {});
    return;
  }
  WatchSilence();
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
      if (!mEvents.has_value()) {
        mEvents.emplace(mBody, mReply);
      }
    } else {
      mRequest.mExchange->Write(mEvents->Write(aFrame.mText));
    }
  }
  if (aFrame.mLast) {
    FinishWhole();
    return;
  }
  mSilentSince = SteadyNow();
  PushBack();
}

void Completion::PushBack() {
  const bool full = mRequest.mExchange->PendingBytes() > kPushBackBytes;
  if (mCall == nullptr || (!full && mPushBackTimer == nullptr)) {
    return;
  }
  mCall->Pause(full);
  if (!full) {
    mPushBackTimer.reset();
    return;
  }
  mContext.mCounters.Add("slow_callers_pushed_back");
  mPushBackTimer =
      mContext.mLoop.After(kPushBackPeriod, [this] { PushBack(); });
}

void Completion::FinishWhole() {
  for (const StagePlacement& stage : mStages) {
    mContext.mView.Succeeded(stage.mEngine);
  }
  EndAttempt("done");
  std::string text;
  for (const std::string& token : mTokens) {
    text += token;
  }
  const std::string whole = DumpJson(WholeReply(mBody, mReply, text));
  if (mClaimHeld) {
    mClaimHeld = false;
    mClaims.Finish(
        mClaim, ClaimState::kDone,
        {.mStatus = kHttpOk, .mType = "application/json", .mBody = whole});
  }
  if (mStreaming) {
    if (mBody.mIncludeUsage) {
      mRequest.mExchange->Write(UsageEvent(mBody, mReply));
    }
    mRequest.mExchange->Write(kStreamDone);
    mRequest.mExchange->EndStream();
  } else {
    mRequest.mExchange->AddHeader("X-Request-Id", mRequest.mId);
    mRequest.mExchange->Reply(kHttpOk, "application/json", whole);
  }
  End(ResultCode::kOk, Ran::kYes);
}

void Completion::Fail(ResultCode aCode, const std::string& aMessage,
                      Millis aRetryAfter) {
  if (mPhase == Phase::kEnded) {
    return;
  }
  EndAttempt("failed");
  const ErrorAnswer error{.mCode = aCode,
                          .mMessage = aMessage,
                          .mRequest = mRequest.mId,
                          .mRetryAfter = aRetryAfter};
  if (mStreaming) {
    mRequest.mExchange->Write(AsEvent(ErrorBody(error)));
    mRequest.mExchange->EndStream();
  } else {
    mRequest.mExchange->AddHeader("X-Request-Id", mRequest.mId);
    ReplyError(*mRequest.mExchange, error);
  }
  SettleClaim(aCode);
  End(aCode, InfoOf(aCode).mRan);
}

void Completion::SettleClaim(ResultCode aCode) {
  if (!mClaimHeld) {
    return;
  }
  mClaimHeld = false;
  if (InfoOf(aCode).mRan == Ran::kNo && !mDispatched) {
    mClaims.Release(mClaim);
  } else {
    mClaims.Finish(mClaim, ClaimState::kUnknown, {});
  }
}

void Completion::CallerLeft() {
  if (mPhase == Phase::kEnded) {
    return;
  }
  mContext.mCounters.Add("callers_left");
  EndAttempt("cancelled");
  SettleClaim(ResultCode::kOutcomeUnknown);
  End(ResultCode::kOutcomeUnknown, mDispatched ? Ran::kUnknown : Ran::kNo);
}

void Completion::End(ResultCode aCode, Ran aRan) {
  mPhase = Phase::kEnded;
  mContext.WithdrawTicket(mTicket);
  mDeadlineTimer.reset();
  mRetryTimer.reset();
  const ResultCodeInfo& info = InfoOf(aCode);
  mReceipt.mTookMillis = SteadyNow() - mRequest.mStarted;
  mReceipt.mTokens = mReply.mTokens;
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
      .Add("tokens", mReply.mTokens)
      .Add("attempts", mGate.Attempt())
      .Add("took_ms", static_cast<Json::Int64>(mReceipt.mTookMillis));
  if (mPlaced) {
    mPlaced = false;
    mContext.ReleasePlace(mRequest.mWorkspace.mName);
  }
  mContext.mOpenRequests--;
  // Whoever called this is still on the stack.
  mContext.mLoop.Post([self = std::move(mSelf), &context = mContext] {
    if (context.mOnRequestEnded) {
      context.mOnRequestEnded();
    }
  });
}

}  // namespace spindleweir
