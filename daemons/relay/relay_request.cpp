#include "daemons/relay/relay_request.h"

#include <algorithm>
#include <iterator>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMostPendingBytes = 256 * 1024;
constexpr std::size_t kMostKeptBody = 8 * 1024 * 1024;
/// A stream that is silent for so long is taken up elsewhere.
constexpr Millis kSilenceBeforeFirst = 1000;
constexpr Millis kSilenceBetween = 800;
constexpr Millis kSilencePeriod = 100;
/// An upstream that failed is left alone for so long.
constexpr Millis kAvoidAfterLoss = 1500;
constexpr Millis kAvoidAfterRefusal = 300;
/// Attempts that did not leave this process.
constexpr int kMostNotSent = 3;
constexpr Millis kLeastForAttempt = 20;
/// When a caller should come back, at least: a caller comes back once or
/// twice, so that coming too early is as good as not at all.
constexpr Millis kAfterFull = 600;
constexpr Millis kAfterNotReady = 1200;
/// Callers that were refused together come back spread over this time.
constexpr double kReturnSpread = 800;
/// The part of the time left that callers wait at most.
constexpr Millis kWaitPart = 3;
constexpr double kPathFill = 0.95;
constexpr Millis kOrderTimeout = 1000;
/// Moves of one attempt to another path.
constexpr int kMostMoves = 4;

bool IsSuccess(int aStatus) {
  return aStatus >= 200 && aStatus < 300;
}

std::string BodyOf(ResultCode aCode, const std::string& aRequest) {
  const ResultCodeInfo& info = InfoOf(aCode);
  Json::Value body(Json::objectValue);
  Json::Value& error = body["error"];
  error["code"] = static_cast<int>(aCode);
  error["type"] = std::string(info.mName);
  error["message"] = std::string(info.mMeaning);
  error["ran"] = std::string(NameOf(info.mRan));
  error["request"] = aRequest;
  return DumpJson(body);
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
  if (mKey != 0) {
    mContext.mGuard->Remove(mKey);
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
    Refuse(error.Code(), -1);
    return;
  }
  Admit();
}

void RelayRequest::Admit() {
  mTable = mContext.Table();
  if (mTable == nullptr) {
    Refuse(ResultCode::kNotReady, kAfterNotReady);
    return;
  }
  mRoute = mTable->FindRoute(mFacts.mHost, mExchange->Head().mTarget);
  mNeedsLease = mTable->NeedsKeys() && (mRoute == nullptr || !mRoute->mOpen);
  if (mNeedsLease && !mContext.LeaseHolds()) {
    // Neither a key nor its absence can be trusted any more.
    Refuse(ResultCode::kLeaseExpired, kAfterNotReady);
    return;
  }
  if (mRoute == nullptr) {
    Refuse(ResultCode::kNoRoute, -1);
    return;
  }
  if (mNeedsLease) {
    const TrafficWorkspace* workspace = mTable->FindWorkspace(mFacts.mKey);
    if (workspace == nullptr) {
      Refuse(ResultCode::kUnauthorized, -1);
      return;
    }
    mWorkspace = workspace->mName;
  }
  const Millis wait = mFacts.mDeadline > 0
                          ? std::min(mFacts.mDeadline, mRoute->mTimeout)
                          : mRoute->mTimeout;
  mDeadline = mExchange->ReceivedAt() + wait;
  mTimeout = mContext.mLoop.After(std::max<Millis>(0, Remaining()),
                                  [this] { HandleTimeout(); });
  if (mRoute->mResumable) {
    mLastEvent = mFacts.mLastEvent;
  }
  PickService();
  mContext.RetriesOf(mService->mName).RequestStarted(SteadyNow());
  StartAttempt();
}

void RelayRequest::PickService() {
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

void RelayRequest::StartAttempt() {
  mAttempt = std::make_unique<Attempt>();
  mAttempt->mStartedAt = SteadyNow();
  mAttempt->mHeardAt = mAttempt->mStartedAt;
  mLacksRoom = false;
  const bool found = mService->IsEngine() ? ChooseEnginePath(*mAttempt)
                                          : ChoosePlainUpstream(*mAttempt);
  const UpstreamRecord* first =
      found ? mContext.mRegistry.Find(mAttempt->mInstance) : nullptr;
  if (first == nullptr) {
    mAttempt.reset();
    GiveUp(mLacksRoom ? ResultCode::kUpstreamFull : ResultCode::kNoUpstream);
    return;
  }
  Send(*first);
}

bool RelayRequest::ChoosePlainUpstream(Attempt& aAttempt) {
  ServiceQuestion question;
  question.mZone = mContext.mOptions.mZone;
  question.mUpstreams = mContext.mRegistry.OfService(mService->mName);
  question.mAvoid = mTried;
  question.mRequestsOf = [this](const std::string& aInstance) {
    return mContext.LoadOf(aInstance).mRequests;
  };
  question.mFailuresOf = [this](const std::string& aInstance) {
    return mContext.FailuresOf(aInstance);
  };
  question.mRandom = [this] { return mContext.Random(); };
  aAttempt.mInstance = ChooseUpstream(question);
  return !aAttempt.mInstance.empty();
}

PathQuestion RelayRequest::EngineQuestion() const {
  const EngineProfile& engine = mService->mEngine;
  PathQuestion question;
  question.mProfile = &engine;
  question.mZone = mContext.mOptions.mZone;
  const double guess =
      mFacts.mExpectedTokens > 0 ? mFacts.mExpectedTokens : engine.mUsualAnswer;
  question.mAnswerTokens =
      mFacts.mMostTokens > 0 ? std::min(guess, mFacts.mMostTokens) : guess;
  question.mReadTokens = mFacts.mPromptTokens;
  question.mTokens = mFacts.mPromptTokens + question.mAnswerTokens;
  question.mFill = kPathFill;
  for (const UpstreamRecord* record :
       mContext.mRegistry.OfService(mService->mName)) {
    if (record->mState == UpstreamState::kReady) {
      question.mEngines.push_back(record);
    }
  }
  question.mLoadOf = [this](const std::string& aInstance) {
    return mContext.LoadOf(aInstance);
  };
  question.mAvoid = mContext.Avoided();
  question.mRandom = [this] { return mContext.Random(); };
  return question;
}

void RelayRequest::BeginReading(const LayerPath& aParts) {
  constexpr double kTokensPerEvent = 3;
  const double tokens = mFacts.mPromptTokens + mEvents * kTokensPerEvent;
  for (const PathPart& part : aParts) {
    const double work = tokens * part.mLayers.Count();
    mAttempt->mReading.push_back({part.mInstance, work});
    mContext.AddReading(part.mInstance, work);
  }
}

void RelayRequest::EndReading() {
  for (const Reading& reading : mAttempt->mReading) {
    mContext.AddReading(reading.mInstance, -reading.mTokenLayers);
  }
  mAttempt->mReading.clear();
}

bool RelayRequest::ChooseEnginePath(Attempt& aAttempt) {
  PathQuestion question = EngineQuestion();
  PathAnswer answer = ChoosePath(question);
  if (answer.mPath.empty() && !answer.mLacksRoom) {
    // Better one that failed lately than none.
    question.mAvoid.clear();
    answer = ChoosePath(question);
  }
  mLacksRoom = answer.mLacksRoom;
  if (answer.mPath.empty()) {
    return false;
  }
  aAttempt.mPath = std::move(answer.mPath);
  aAttempt.mInstance = aAttempt.mPath.front().mInstance;
  aAttempt.mTokens = question.mTokens;
  return true;
}

std::string RelayRequest::FirstInstance() const {
  const bool running = mAttempt != nullptr && mAttempt->mCall != nullptr &&
                       mAttempt->mOrder == nullptr;
  return running ? mAttempt->mInstance : "";
}

void RelayRequest::MoveOff(const std::set<std::string>& aInstances,
                           const char* aWhy) {
  if (mAttempt == nullptr || mAttempt->mPath.empty() || mEnded) {
    return;
  }
  const auto hit = [&aInstances](const PathPart& aPart) {
    return aInstances.contains(aPart.mInstance);
  };
  const LayerPath& path = mAttempt->mPath;
  if (std::none_of(path.begin(), path.end(), hit)) {
    return;
  }
  if (!hit(path.front())) {
    LayerPath next = Without(aInstances);
    if (!next.empty()) {
      Repath(std::move(next), aWhy);
    }
    return;
  }
  // The first cannot be replaced by an order. One that leaves still ends what
  // it has; one that is lost does not.
  const UpstreamRecord* first = mContext.mRegistry.Find(mAttempt->mInstance);
  const bool leaves =
      first != nullptr && first->mState == UpstreamState::kLeaving;
  if (!leaves) {
    SwitchAttempt(ResultCode::kOutcomeUnknown);
  }
}

LayerPath RelayRequest::Without(const std::set<std::string>& aInstances) const {
  PathQuestion question = EngineQuestion();
  question.mReadTokens += mEvents;
  for (const PathPart& part : mAttempt->mPath) {
    question.mAvoid.insert(part.mInstance);
  }
  question.mAvoid.insert(aInstances.begin(), aInstances.end());
  LayerPath next;
  for (std::size_t i = 0; i < mAttempt->mPath.size(); i++) {
    const PathPart& part = mAttempt->mPath[i];
    if (!aInstances.contains(part.mInstance)) {
      next.push_back(part);
      continue;
    }
    question.mLayers = part.mLayers;
    const UpstreamRecord* before =
        mContext.mRegistry.Find(mAttempt->mPath[i - 1].mInstance);
    question.mZone =
        before == nullptr ? mContext.mOptions.mZone : before->mZone;
    const PathAnswer answer = ChoosePath(question);
    if (answer.mPath.empty()) {
      return {};
    }
    for (const PathPart& added : answer.mPath) {
      question.mAvoid.insert(added.mInstance);
      next.push_back(added);
    }
  }
  return next;
}

void RelayRequest::Repath(LayerPath aPath, const char* aWhy) {
  const UpstreamRecord* first = mContext.mRegistry.Find(mAttempt->mInstance);
  if (first == nullptr || mAttempt->mMoves >= kMostMoves) {
    return;
  }
  mAttempt->mMoves++;
  const EngineMessage message = mContext.mOptions.mEngines.mWriteRepath(
      {.mRequestId = mFacts.mId, .mPath = &aPath});
  StreamCallOptions options;
  options.mServer = ParseEndpoint(first->mAddress, "address of an upstream");
  options.mMethod = message.mMethod;
  options.mTarget = message.mTarget;
  options.mHeaders = message.mHeaders;
  options.mBody = message.mBody;
  options.mTimeout = kOrderTimeout;
  const auto status = std::make_shared<int>(0);
  options.mOnHead = [status](const AnswerHead& aHead) {
    *status = aHead.mStatus;
  };
  options.mOnEnd = [this, status](StreamEnd) {
    LogLine(LogLevel::kInfo, "repath_answered")
        .Add("request", mFacts.mId)
        .Add("status", *status);
    if (mAttempt != nullptr) {
      const std::shared_ptr<StreamCall> order = std::move(mAttempt->mOrder);
      mContext.mLoop.Post([order] {});
    }
  };
  LogLine(LogLevel::kInfo, "repath")
      .Add("request", mFacts.mId)
      .Add("why", aWhy)
      .Add("first", mAttempt->mInstance)
      .Add("silent_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mHeardAt));
  mContext.mCounters.Add("moves");
  LayerPath added;
  std::set_difference(aPath.begin(), aPath.end(), mAttempt->mPath.begin(),
                      mAttempt->mPath.end(), std::back_inserter(added),
                      [](const PathPart& aLeft, const PathPart& aRight) {
                        return aLeft.mLayers.mFrom < aRight.mLayers.mFrom ||
                               (aLeft.mLayers.mFrom == aRight.mLayers.mFrom &&
                                aLeft.mInstance < aRight.mInstance);
                      });
  EndReading();
  CountLoad(-1);
  mAttempt->mPath = std::move(aPath);
  mAttempt->mMovedAt = SteadyNow();
  CountLoad(1);
  BeginReading(added);
  WatchAttempt();
  mAttempt->mOrder = StartStreamCall(mContext.mLoop, std::move(options));
}

void RelayRequest::WatchAttempt() {
  if (mAttempt == nullptr || mAttempt->mPath.empty()) {
    return;
  }
  if (mKey == 0) {
    mKey = mContext.mGuard->Add(this);
  }
  std::vector<std::string> instances;
  for (const PathPart& part : mAttempt->mPath) {
    instances.push_back(part.mInstance);
  }
  mContext.mGuard->Watch().Begin(mKey, std::move(instances), SteadyNow());
}

void RelayRequest::CountLoad(int aSign) {
  if (mAttempt == nullptr) {
    return;
  }
  if (mAttempt->mPath.empty()) {
    mContext.AddLoad(mAttempt->mInstance, aSign, 0, aSign);
    return;
  }
  bool first = true;
  for (const PathPart& part : mAttempt->mPath) {
    mContext.AddLoad(part.mInstance, aSign,
                     aSign * mAttempt->mTokens * part.mLayers.Count(),
                     first ? aSign : 0);
    first = false;
  }
}

bool RelayRequest::MaySend() const {
  if (mNeedsLease && !mContext.LeaseHolds()) {
    return false;
  }
  const UpstreamRecord* record = mContext.mRegistry.Find(mAttempt->mInstance);
  return record != nullptr && record->mState <= UpstreamState::kSilent &&
         Remaining() > 0;
}

void RelayRequest::Send(const UpstreamRecord& aFirst) {
  DispatchFacts dispatch;
  dispatch.mRemaining = std::max<Millis>(1, Remaining());
  dispatch.mInstance = aFirst.mInstance;
  dispatch.mWorkspace = mWorkspace;
  dispatch.mPath = mAttempt->mPath.empty() ? nullptr : &mAttempt->mPath;
  dispatch.mLastEvent = mLastEvent;
  StreamCallOptions options;
  options.mServer = ParseEndpoint(aFirst.mAddress, "address of an upstream");
  options.mMethod = mExchange->Head().mMethod;
  options.mTarget = mExchange->Head().mTarget;
  options.mHeaders =
      mContext.mOptions.mCallers.mWriteRequest(mExchange->Head(), dispatch);
  options.mBody = mExchange->Body();
  options.mMaySend = [this] { return MaySend(); };
  options.mOnHead = [this](const AnswerHead& aHead) { HandleHead(aHead); };
  options.mOnData = [this](std::string_view aBytes) { HandleData(aBytes); };
  options.mOnEnd = [this](StreamEnd aEnd) { HandleEnd(aEnd); };
  mTried.insert(mAttempt->mInstance);
  CountLoad(1);
  BeginReading(mAttempt->mPath);
  WatchAttempt();
  mAttempt->mCall = StartStreamCall(mContext.mLoop, std::move(options));
  const bool watched = mRoute->mKind == RouteKind::kStream;
  if (watched && mSilenceTimer == nullptr) {
    mSilenceTimer =
        mContext.mLoop.Every(kSilencePeriod, [this] { CheckSilence(); });
  }
}

void RelayRequest::HandleHead(const AnswerHead& aHead) {
  mAttempt->mHeadCame = true;
  mAttempt->mHead = aHead;
  mAttempt->mFacts = mContext.mOptions.mCallers.mReadAnswer(aHead, mFacts);
  const AnswerFacts& facts = mAttempt->mFacts;
  if (!facts.mOurs) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
    return;
  }
  if (facts.mRan == Ran::kNo) {
    for (const PathPart& part : mAttempt->mPath) {
      if (part.mAddress == facts.mCulprit) {
        mContext.Failed(part.mInstance, kAvoidAfterRefusal);
      }
    }
    AttemptFailed(Ran::kNo, ResultCode::kUpstreamFull, true);
    return;
  }
  const bool usable =
      !IsSuccess(aHead.mStatus) || (facts.mSigned && !facts.mIsEncoded);
  if (!usable) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
  }
}

void RelayRequest::HandleData(std::string_view aBytes) {
  if (mAttempt == nullptr) {
    return;
  }
  mAttempt->mHeardAt = SteadyNow();
  const bool isStream =
      mAttempt->mFacts.mIsStream && IsSuccess(mAttempt->mHead.mStatus);
  if (isStream) {
    HandleEvents(aBytes);
    return;
  }
  mAttempt->mBody += aBytes;
  if (mAttempt->mBody.size() > kMostKeptBody) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
  }
}

void RelayRequest::HandleEvents(std::string_view aBytes) {
  const std::vector<StreamEvent> events = mAttempt->mEvents.Take(aBytes);
  for (const StreamEvent& event : events) {
    const bool known = event.mId.has_value() && mLastEvent.has_value() &&
                       *event.mId <= *mLastEvent;
    if (known) {
      continue;
    }
    if (!mExchange->Started()) {
      mExchange->Start(mAttempt->mHead.mStatus,
                       mContext.mOptions.mCallers.mWriteAnswer(mAttempt->mHead),
                       std::nullopt);
    }
    const Millis now = SteadyNow();
    mContext.mGuard->Watch().Progress(mKey, now);
    EndReading();
    if (mFirstEventAt == 0) {
      mFirstEventAt = now;
    } else {
      mLongestPause = std::max(mLongestPause, now - mLastEventAt);
    }
    mLastEventAt = now;
    mEvents++;
    mExchange->Write(event.mBytes);
    if (event.mId.has_value()) {
      mLastEvent = event.mId;
    }
  }
  if (mExchange->PendingBytes() > kMostPendingBytes) {
    mAttempt->mCall->Pause(true);
    mContext.mGuard->Watch().Suspend(mKey);
  }
}

void RelayRequest::HandleEnd(StreamEnd aEnd) {
  if (mAttempt == nullptr) {
    return;
  }
  switch (aEnd) {
    case StreamEnd::kNotSent:
      AttemptFailed(Ran::kNo, ResultCode::kNoUpstream, false);
      return;
    case StreamEnd::kLost:
      AttemptFailed(Ran::kUnknown, ResultCode::kOutcomeUnknown, true);
      return;
    case StreamEnd::kGarbled:
      AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
      return;
    case StreamEnd::kComplete:
      HandleWholeAnswer();
      return;
  }
}

void RelayRequest::HandleWholeAnswer() {
  const int status = mAttempt->mHead.mStatus;
  const bool isStream = mAttempt->mFacts.mIsStream && IsSuccess(status);
  if (!isStream) {
    const bool failed = status >= 500;
    if (failed) {
      mContext.Failed(mAttempt->mInstance, 0);
      if (MayTryAgain(Ran::kYes, true)) {
        mKept = KeptAnswer{mAttempt->mHead, mAttempt->mBody};
        AttemptFailed(Ran::kYes, ResultCode::kOutcomeUnknown, true);
        return;
      }
    } else {
      mContext.Succeeded(mAttempt->mInstance);
    }
    if (mExchange->Started()) {
      // A resumed stream was answered with a failure.
      AttemptFailed(Ran::kYes, ResultCode::kStreamBroken, true);
      return;
    }
    Forward(mAttempt->mHead, mAttempt->mBody);
    return;
  }
  if (!mAttempt->mEvents.Rest().empty()) {
    // It ended inside an event: it is not whole, whatever its framing says.
    AttemptFailed(Ran::kUnknown, ResultCode::kStreamBroken, true);
    return;
  }
  mContext.Succeeded(mAttempt->mInstance);
  if (!mExchange->Started()) {
    mExchange->Start(status,
                     mContext.mOptions.mCallers.mWriteAnswer(mAttempt->mHead),
                     std::nullopt);
  }
  mExchange->End();
  End("served", status);
}

void RelayRequest::Forward(const AnswerHead& aHead, std::string_view aBody) {
  mExchange->Start(aHead.mStatus,
                   mContext.mOptions.mCallers.mWriteAnswer(aHead),
                   aBody.size());
  if (mExchange->Head().mMethod != "HEAD") {
    mExchange->Write(aBody);
  }
  mExchange->End();
  End(IsSuccess(aHead.mStatus) ? "served" : "upstream_failed", aHead.mStatus);
}

void RelayRequest::CheckSilence() {
  if (mAttempt == nullptr || mAttempt->mCall == nullptr ||
      !mAttempt->mCall->Sent() || mExchange->PendingBytes() > 0) {
    return;
  }
  const Millis silent =
      SteadyNow() - std::max(mAttempt->mHeardAt, mAttempt->mMovedAt);
  const bool begun = mAttempt->mHeardAt > mAttempt->mStartedAt;
  const Millis most = begun ? kSilenceBetween : kSilenceBeforeFirst;
  if (silent >= most) {
    SwitchAttempt(ResultCode::kOutcomeUnknown);
  }
}

bool RelayRequest::SwitchAttempt(ResultCode aCode) {
  if (!MayTryAgain(Ran::kUnknown, true)) {
    return false;
  }
  auto next = std::make_unique<Attempt>();
  const bool found = mService->IsEngine() ? ChooseEnginePath(*next)
                                          : ChoosePlainUpstream(*next);
  const UpstreamRecord* first =
      found ? mContext.mRegistry.Find(next->mInstance) : nullptr;
  const bool other = first != nullptr && next->mInstance != mAttempt->mInstance;
  if (!other || !mContext.RetriesOf(mService->mName)
                     .TrySpend(mContext.mRouters, SteadyNow())) {
    return false;
  }
  LogFailure(Ran::kUnknown, aCode);
  mMayHaveRun = true;
  mSent++;
  DropAttempt();
  mContext.mCounters.Add("retries");
  mAttempt = std::move(next);
  mAttempt->mStartedAt = SteadyNow();
  mAttempt->mHeardAt = mAttempt->mStartedAt;
  Send(*first);
  return true;
}

void RelayRequest::LogFailure(Ran aRan, ResultCode aCode) const {
  LogLine(LogLevel::kWarning, "attempt_failed")
      .Add("request", mFacts.mId)
      .Add("instance", mAttempt->mInstance)
      .Add("code", static_cast<int>(aCode))
      .Add("ran", std::string(NameOf(aRan)))
      .Add("status", mAttempt->mHead.mStatus)
      .Add("culprit", mAttempt->mFacts.mCulprit)
      .Add("took_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mStartedAt))
      .Add("silent_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mHeardAt));
}

bool RelayRequest::MayTryAgain(Ran aRan, bool aWasSent) const {
  const bool allowed = aRan == Ran::kNo || mRoute->Repeatable();
  const int sent = mSent + (aWasSent ? 1 : 0);
  return allowed && sent < mRoute->mAttempts && mNotSent < kMostNotSent &&
         Remaining() > kLeastForAttempt && !mExchange->Closed();
}

void RelayRequest::AttemptFailed(Ran aRan, ResultCode aCode, bool aWasSent) {
  const bool mayTryAgain = MayTryAgain(aRan, aWasSent);
  LogFailure(aRan, aCode);
  mMayHaveRun = mMayHaveRun || aRan != Ran::kNo;
  if (aWasSent) {
    mSent++;
  } else {
    mNotSent++;
  }
  if (aRan == Ran::kUnknown || !aWasSent) {
    mContext.Failed(mAttempt->mInstance, kAvoidAfterLoss);
  }
  const bool paid =
      mayTryAgain &&
      (!aWasSent || mContext.RetriesOf(mService->mName)
                        .TrySpend(mContext.mRouters, SteadyNow()));
  DropAttempt();
  if (paid) {
    mContext.mCounters.Add("retries");
    StartAttempt();
    return;
  }
  GiveUp(aCode);
}

void RelayRequest::DropAttempt() {
  if (mAttempt == nullptr) {
    return;
  }
  EndReading();
  CountLoad(-1);
  if (mAttempt->mCall != nullptr) {
    // It may be on the stack: it goes in the next turn of the loop, and its
    // hooks find no attempt.
    std::shared_ptr<StreamCall> call = std::move(mAttempt->mCall);
    call->Abandon();
    mContext.mLoop.Post([call] {});
  }
  mContext.mGuard->Watch().End(mKey);
  mAttempt.reset();
}

void RelayRequest::GiveUp(ResultCode aCode) {
  if (mExchange->Started()) {
    mExchange->OnClosed(nullptr);
    mExchange->Abort();
    End("broken_off", 0);
    return;
  }
  if (mKept.has_value()) {
    Forward(mKept->mHead, mKept->mBody);
    return;
  }
  if (!mMayHaveRun) {
    const bool refusal = InfoOf(aCode).mRan == Ran::kNo;
    Refuse(refusal ? aCode : ResultCode::kNoUpstream, kAfterFull);
    return;
  }
  Refuse(InfoOf(aCode).mRan == Ran::kNo ? ResultCode::kOutcomeUnknown : aCode,
         -1);
}

Millis RelayRequest::ReturnAfter(Millis aLeast) const {
  if (aLeast < 0) {
    return aLeast;
  }
  const auto wanted =
      aLeast + static_cast<Millis>(kReturnSpread * mContext.Random());
  const Millis passed = SteadyNow() - mExchange->ReceivedAt();
  const Millis left = mFacts.mDeadline - passed;
  return mFacts.mDeadline > 0 ? std::clamp<Millis>(left / kWaitPart, 0, wanted)
                              : wanted;
}

void RelayRequest::Refuse(ResultCode aCode, Millis aReturnAfter) {
  const int status = InfoOf(aCode).mHttpStatus;
  const Millis retryAfter = ReturnAfter(aReturnAfter);
  mExchange->Reply(
      status, mContext.mOptions.mCallers.mWriteRefusal(mFacts.mId, retryAfter),
      BodyOf(aCode, mFacts.mId));
  LogLine(LogLevel::kWarning, "refused")
      .Add("request", mFacts.mId)
      .Add("code", static_cast<int>(aCode))
      .Add("route", mRoute == nullptr ? "" : mRoute->mName)
      .Add("version",
           static_cast<Json::Int64>(mTable == nullptr ? 0 : mTable->Version()))
      .Add("lease_age_ms",
           static_cast<Json::Int64>(mContext.mLease.Age(SteadyNow())))
      .Add("retry_after_ms", static_cast<Json::Int64>(retryAfter));
  End("refused", status);
}

void RelayRequest::HandleTimeout() {
  if (mAttempt != nullptr && mAttempt->mCall != nullptr) {
    mMayHaveRun = mMayHaveRun || mAttempt->mCall->Sent();
  }
  DropAttempt();
  mKept.reset();
  GiveUp(ResultCode::kDeadlineExceeded);
}

void RelayRequest::HandleCallerGone() {
  DropAttempt();
  End("caller_gone", 0);
}

void RelayRequest::Count(const char* aOutcome, int aStatus) {
  Counters& counters = mContext.mCounters;
  const std::string route = mRoute == nullptr ? "" : mRoute->mName;
  counters.Add("requests", "route=\"" + route + "\",outcome=\"" + aOutcome +
                               "\",status=\"" + std::to_string(aStatus) +
                               "\"");
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
  Json::Value path(Json::arrayValue);
  if (mAttempt != nullptr) {
    for (const PathPart& part : mAttempt->mPath) {
      path.append(part.mAddress + "=" + std::to_string(part.mLayers.mFrom) +
                  "-" + std::to_string(part.mLayers.mTo));
    }
  }
  const Millis received = mExchange->ReceivedAt();
  const bool served = aStatus >= 200 && aStatus < 300;
  LogLine(served ? LogLevel::kInfo : LogLevel::kWarning, "request")
      .Add("request", mFacts.mId)
      .Add("outcome", aOutcome)
      .Add("status", aStatus)
      .Add("route", mRoute == nullptr ? "" : mRoute->mName)
      .Add("workspace", mWorkspace)
      .Add("service", mService == nullptr ? "" : mService->mName)
      .Add("instance", mAttempt == nullptr ? "" : mAttempt->mInstance)
      .Add("path", path)
      .Add("sent", mSent + (mAttempt == nullptr ? 0 : 1))
      .Add("events", mEvents)
      .Add("first_ms", static_cast<Json::Int64>(
                           mFirstEventAt == 0 ? -1 : mFirstEventAt - received))
      .Add("longest_pause_ms", static_cast<Json::Int64>(mLongestPause))
      .Add("took_ms", static_cast<Json::Int64>(SteadyNow() - received))
      .Add("version",
           static_cast<Json::Int64>(mTable == nullptr ? 0 : mTable->Version()));
  Count(aOutcome, aStatus);
  DropAttempt();
  mTimeout.reset();
  mSilenceTimer.reset();
  // The last reference may go with the call: nothing of this is used after.
  const std::function<void()> call = std::move(mOnEnd);
  mOnEnd = nullptr;
  if (call) {
    call();
  }
}

}  // namespace spindleweir
