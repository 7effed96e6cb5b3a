#include "daemons/router/service_call.h"

#include <algorithm>

#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr Millis kDefaultTimeout = 30000;
constexpr int kMaxAttempts = 3;
constexpr Millis kMinRetryDelay = 20;
constexpr Millis kMaxRetryDelay = 500;
constexpr Millis kNoUpstreamRetryAfter = 1000;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;
/// A 503 with this header set to true proves that the service did not start
/// the call.
constexpr const char* kNotRunHeader = "Not-Run";

std::string HeaderOf(const HttpResult& aResult, const std::string& aName) {
  for (const HttpHeader& header : aResult.mHeaders) {
    if (std::equal(header.mName.begin(), header.mName.end(), aName.begin(),
                   aName.end(), [](unsigned char aLeft, unsigned char aRight) {
                     return std::tolower(aLeft) == std::tolower(aRight);
                   })) {
      return header.mValue;
    }
  }
  return "";
}

}  // namespace

ServiceCall::ServiceCall(RouterContext& aContext, ClaimClient& aClaims,
                         CallerRequest aRequest, ServiceSpec aService,
                         std::string aPath)
    : RequestHandler(aContext, aClaims, std::move(aRequest), aService.mName),
      mService(std::move(aService)),
      mPath(std::move(aPath)) {}

ServiceCall::~ServiceCall() = default;

bool ServiceCall::IsRepeatable() const {
  const std::string& method = mRequest.mExchange->Method();
  return mService.mRepeatable || method == "GET" || method == "HEAD";
}

void ServiceCall::Begin() {
  Open(shared_from_this());
  mRequest.mExchange->OnClosed([this] { OnCallerDisconnected(); });
  const Millis left = mRequest.mDeadline > 0 ? mRequest.mDeadline - SteadyNow()
                                             : kDefaultTimeout;
  mTimer =
      mContext.mLoop.After(std::max<Millis>(0, left), [this] { OnTimeout(); });
  RequestAdmission(
      0, [self = shared_from_this()](const AdmissionOutcome& aOutcome) {
        self->OnAdmission(aOutcome);
      });
}

void ServiceCall::OnAdmission(const AdmissionOutcome& aOutcome) {
  if (aOutcome.mCode != ResultCode::kOk) {
    Fail(aOutcome.mCode, "", aOutcome.mRetryAfter);
    return;
  }
  mHoldsSlot = true;
  mContext.mRetryBudget.RequestStarted();
  if (IsRepeatable() || mRequest.mIdempotencyKey.empty()) {
    Dispatch();
    return;
  }
  const std::string body = mRequest.mExchange->Method() + " " + mPath + "\n" +
                           mRequest.mExchange->Body();
  mClaims.Acquire(mRequest.ClaimKey(mService.mName), mRequest.mId, body,
                  [self = shared_from_this()](const ClaimOutcome& aClaim) {
                    self->OnClaim(aClaim);
                  });
}

void ServiceCall::OnClaim(const ClaimOutcome& aOutcome) {
  mClaim = aOutcome.mRequested;
  LogLine(LogLevel::kInfo, "claim")
      .Add("request", mRequest.mId)
      .Add("verdict", static_cast<int>(aOutcome.mVerdict));
  if (aOutcome.mVerdict == ClaimVerdict::kGranted && !mEnded) {
    mClaimHeld = true;
    Dispatch();
    return;
  }
  // Grants by a minority of the keepers, or to a caller that disconnected, must
  // not block a resend.
  mClaims.Release(mClaim);
  if (mEnded) {
    return;
  }
  const StoredAnswer& answer = aOutcome.mEarlier.mAnswer;
  if (aOutcome.mVerdict == ClaimVerdict::kDone && answer.mBodyStored) {
    mContext.mCounters.Add("answers_replayed");
    mRequest.mExchange->AddHeader("Idempotent-Replayed", "true");
    mRequest.mExchange->AddHeader("X-Request-Id", mRequest.mId);
    mRequest.mExchange->Reply(answer.mStatus, answer.mType, answer.mBody);
    End(ResultCode::kOk, Ran::kYes);
    return;
  }
  Fail(CodeOf(aOutcome.mVerdict), "");
}

void ServiceCall::Dispatch() {
  mRetryTimer.reset();
  std::vector<const Upstream*> instances = mContext.mView.ServiceInstances(
      mService.mName, mContext.mLoop.RunningNow());
  std::erase_if(instances, [this](const Upstream* aUpstream) {
    return mTriedVms.contains(aUpstream->mVm) ||
           !Allows(mService.mZones, aUpstream->mZone) ||
           !Allows(mRequest.mWorkspace.mZones, aUpstream->mZone);
  });
  // Least loaded first; at equal load, the local zone's instances first.
  std::stable_sort(instances.begin(), instances.end(),
                   [this](const Upstream* aLeft, const Upstream* aRight) {
                     const std::string& home = mContext.mOptions.mZone;
                     const int left =
                         2 * aLeft->mInFlight + (aLeft->mZone == home ? 0 : 1);
                     const int right = 2 * aRight->mInFlight +
                                       (aRight->mZone == home ? 0 : 1);
                     return left < right;
                   });
  if (instances.empty()) {
    Fail(mMayHaveRun ? ResultCode::kOutcomeUnknown : ResultCode::kNoUpstream,
         "no instance of " + mService.mName + " is usable",
         kNoUpstreamRetryAfter);
    return;
  }
  const Upstream& upstream = *instances.front();
  mVm = upstream.mVm;
  mTriedVms.insert(mVm);
  mAttempt++;
  LogRouting(mVm, instances.size());
  mReceipt.mAttempts.push_back(
      {.mAttempt = mAttempt,
       .mStages = {{.mEngine = mVm, .mZone = upstream.mZone}}});
  mContext.mView.Dispatched(mVm, mContext.mLoop.RunningNow());
  HttpCallOptions options;
  options.mServer = upstream.mAddress;
  options.mMethod = mRequest.mExchange->Method();
  options.mPath = mPath;
  options.mBody = mRequest.mExchange->Body();
  const std::string type(mRequest.mExchange->Header("Content-Type"));
  options.mHeaders = {{"X-Request-Id", mRequest.mId},
                      {"X-Workspace", mRequest.mWorkspace.mName}};
  if (!type.empty()) {
    options.mHeaders.push_back({"Content-Type", type});
  }
  if (!mRequest.mIdempotencyKey.empty()) {
    options.mHeaders.push_back({"Idempotency-Key", mRequest.mIdempotencyKey});
  }
  options.mTimeout = 0;
  options.mNewConnection = !IsRepeatable();
  options.mOnDone = [this](const HttpResult& aResult) {
    HandleResult(aResult);
  };
  mCall = mContext.mClient.Start(std::move(options));
}

void ServiceCall::LogRouting(const std::string& aChosen,
                             std::size_t aCandidates) const {
  LogLine(LogLevel::kInfo, "route")
      .Add("request", mRequest.mId)
      .Add("workspace", mRequest.mWorkspace.mName)
      .Add("service", mService.mName)
      .Add("attempt", mAttempt)
      .Add("candidates", static_cast<int>(aCandidates))
      .Add("chosen", aChosen)
      .Add("configuration",
           static_cast<Json::Int64>(mContext.AcceptedConfiguration().mVersion));
}

void ServiceCall::HandleResult(const HttpResult& aResult) {
  if (mEnded) {
    return;
  }
  if (!aResult.mComplete) {
    mContext.mView.Failed(mVm, mContext.mLoop.RunningNow());
    EndAttempt("failed");
    mMayHaveRun = mMayHaveRun || aResult.mSent;
    RetryOrFail("connection lost", !aResult.mSent);
    return;
  }
  const bool refused = aResult.mStatus == kHttpUnavailable &&
                       HeaderOf(aResult, kNotRunHeader) == "true";
  if (refused) {
    EndAttempt("failed");
    RetryOrFail("the instance did not start the call", true);
    return;
  }
  mContext.mView.Succeeded(mVm);
  EndAttempt("done");
  if (IsRepeatable() && aResult.mStatus >= kHttpServerError &&
      mAttempt < kMaxAttempts && mContext.mRetryBudget.TrySpend()) {
    mRetryTimer = mContext.mLoop.After(
        BackoffDelay(mAttempt, kMinRetryDelay, kMaxRetryDelay,
                     [this] { return mContext.Random(); }),
        [this] { Dispatch(); });
    return;
  }
  SendAnswer(aResult);
}

void ServiceCall::RetryOrFail(const std::string& aReason, bool aProvenNotRun) {
  LogLine(LogLevel::kWarning, "service_call_failed")
      .Add("request", mRequest.mId)
      .Add("vm", mVm)
      .Add("why", aReason)
      .Add("proven_not_run", aProvenNotRun);
  if (!aProvenNotRun && !IsRepeatable()) {
    Fail(ResultCode::kOutcomeUnknown, aReason + " after dispatch");
    return;
  }
  if (mAttempt >= kMaxAttempts || !mContext.mRetryBudget.TrySpend()) {
    Fail(mMayHaveRun ? ResultCode::kOutcomeUnknown : ResultCode::kNoUpstream,
         aReason, kNoUpstreamRetryAfter);
    return;
  }
  mRetryTimer = mContext.mLoop.After(
      BackoffDelay(mAttempt, kMinRetryDelay, kMaxRetryDelay,
                   [this] { return mContext.Random(); }),
      [this] { Dispatch(); });
}

void ServiceCall::SendAnswer(const HttpResult& aResult) {
  mHasRun = true;
  mTimer.reset();
  const StoredAnswer answer{.mStatus = aResult.mStatus,
                            .mType = HeaderOf(aResult, "Content-Type"),
                            .mBody = aResult.mBody};
  FinishClaim(answer, [self = shared_from_this(), answer] {
    self->mRequest.mExchange->AddHeader("X-Request-Id", self->mRequest.mId);
    self->mRequest.mExchange->Reply(answer.mStatus, answer.mType, answer.mBody);
    self->End(ResultCode::kOk, Ran::kYes);
  });
}

void ServiceCall::Fail(ResultCode aCode, const std::string& aMessage,
                       Millis aRetryAfter) {
  if (mEnded) {
    return;
  }
  ReplyWithError(aCode, aMessage, aRetryAfter);
  End(aCode, InfoOf(aCode).mRan);
}

void ServiceCall::OnTimeout() {
  const bool dispatched = mCall != nullptr || mMayHaveRun;
  mMayHaveRun = dispatched;
  EndAttempt("cancelled");
  Fail(dispatched ? ResultCode::kDeadlineExceeded
                  : ResultCode::kDeadlineTooShort,
       "");
}

void ServiceCall::OnCallerDisconnected() {
  if (mEnded) {
    return;
  }
  mContext.mCounters.Add("callers_left");
  if (mHasRun || (mCall != nullptr && !IsRepeatable())) {
    // The call may run although the caller disconnected, so its outcome is
    // awaited and stored for a resend.
    return;
  }
  mMayHaveRun = mMayHaveRun || mCall != nullptr;
  EndAttempt("cancelled");
  End(ResultCode::kOutcomeUnknown, mMayHaveRun ? Ran::kUnknown : Ran::kNo);
}

void ServiceCall::EndAttempt(const char* aEnding) {
  if (mCall == nullptr) {
    return;
  }
  mCall.reset();
  mReceipt.mAttempts.back().mEnded = aEnding;
  mContext.mView.Ended(mVm);
}

void ServiceCall::End(ResultCode aCode, Ran aRan) {
  mEnded = true;
  mTimer.reset();
  mRetryTimer.reset();
  SettleClaim(mMayHaveRun);
  Close(aCode, aRan, 0, mAttempt);
}

}  // namespace spindleweir
