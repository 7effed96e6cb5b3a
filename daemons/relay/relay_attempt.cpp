/// The part of RelayRequest that sends it to upstreams and retries.
#include "daemons/relay/relay_request.h"

#include <algorithm>

#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kSilenceCheckInterval = 100;
/// An upstream whose attempt failed is avoided for this time.
constexpr Millis kAvoidAfterLoss = 1500;
/// Limits on attempts that were not sent: on all while some upstream was not
/// tried, and else. Connections to upstreams that have ended are refused at
/// once.
constexpr int kMaxUnsentToOthers = 8;
constexpr int kMaxUnsent = 3;
/// Limits on attempts that upstreams refused.
constexpr int kMaxRefusals = 3;
constexpr int kMaxRefusalsMidway = 8;
constexpr Millis kMinPathRetryDelay = 80;
constexpr Millis kMaxPathRetryDelay = 500;
constexpr Millis kGapDivisor = 8;
constexpr Millis kMinTimeForAttempt = 20;
/// How long a request that is most likely a retry is held while there is no
/// capacity; its caller leaves after two seconds without an event. Without this
/// hold, while 40 % of the engines were slow, 377 of 9,400 requests were
/// refused at their second attempt, because first attempts, whose callers do
/// return, took the slots.
constexpr Millis kMaxRetryHold = 1500;

}  // namespace

const char* RelayRequest::LackName(Lack aLack) {
  switch (aLack) {
    case Lack::kNothing:
      return "";
    case Lack::kAttempts:
      return "attempts";
    case Lack::kRetries:
      return "retries";
    case Lack::kPath:
      return "path";
    case Lack::kCapacity:
      return "room";
  }
  return "";
}

void RelayRequest::SetLack(Lack aLack) {
  if (aLack == mLack) {
    return;
  }
  mLack = aLack;
  const Millis now = SteadyNow();
  LogLine(LogLevel::kInfo, "lacks")
      .Add("request", mFacts.mId)
      .Add("what", LackName(aLack))
      .Add("sent", mRanAttempts)
      .Add("refused", mRefusedAttempts)
      .Add("retries_left",
           mContext.RetryAllowanceOf(mService->mName).Available(now))
      .Add("events", mEvents)
      .Add("since_event_ms",
           static_cast<Json::Int64>(mEvents == 0 ? -1 : now - mLastEventAt));
}

void RelayRequest::StartAttempt() {
  if (IsBarred()) {
    mContext.mCounters.Add("barred_requests");
    GiveUp(ResultCode::kCrashesUpstreams);
    return;
  }
  if (WaitsForTrial()) {
    return;
  }
  mAttempt = std::make_unique<Attempt>();
  mAttempt->mStartedAt = SteadyNow();
  mAttempt->mLastDataAt = mAttempt->mStartedAt;
  mAttempt->mSilentSince = mContext.mLoop.RunningNow();
  mLacksCapacity = false;
  const bool found = mService->IsEngine() ? ChooseEnginePath(*mAttempt)
                                          : ChoosePlainUpstream(*mAttempt);
  const UpstreamRecord* first =
      found ? mContext.mRegistry.Find(mAttempt->mInstance) : nullptr;
  if (first == nullptr) {
    mAttempt.reset();
    SetLack(mLacksCapacity ? Lack::kCapacity : Lack::kPath);
    if (WaitForPath()) {
      return;
    }
    GiveUp(mLacksCapacity ? ResultCode::kUpstreamFull
                          : ResultCode::kNoUpstream);
    return;
  }
  mLack = Lack::kNothing;
  Send(*first);
}

bool RelayRequest::WaitForPath() {
  // Every request may wait while the first heartbeats of the upstreams come in.
  const bool isStartingUp =
      MayWaitForStartUp() && Remaining() > kMinPathRetryDelay;
  if (!IsWorthWaiting() && !isStartingUp) {
    return false;
  }
  // A choice of a path takes up to a millisecond on a small VM: the longer a
  // request has waited, the less often it tries.
  const Millis gap = mEvents == 0 ? 0 : SteadyNow() - mLastEventAt;
  const Millis after =
      std::clamp(gap / kGapDivisor, kMinPathRetryDelay, kMaxPathRetryDelay);
  mPathTimer = mContext.mLoop.After(after, [this] { StartAttempt(); });
  return true;
}

bool RelayRequest::ChoosePlainUpstream(Attempt& aAttempt) {
  ServiceQuery query;
  query.mZone = mContext.mOptions.mZone;
  query.mUpstreams = mContext.mRegistry.OfService(mService->mName);
  const std::size_t known = query.mUpstreams.size();
  mFullUpstream.reset();
  const std::set<std::string> held = mContext.HeldUpstreams();
  std::erase_if(query.mUpstreams, [&held](const auto* aRecord) {
    return held.contains(aRecord->mInstance);
  });
  const PlainServiceQuery plain{.mUpstreams = known,
                                .mBodyBytes = mExchange->Body().size(),
                                .mTarget = mRoute->mTargetLatency,
                                .mArrivedAt = mArrivedAt};
  std::erase_if(query.mUpstreams, [this, &plain](const auto* aRecord) {
    const UpstreamOccupancy occupancy = mContext.OccupancyOf(*aRecord, plain);
    const bool full = !MaySendTo(occupancy, mContext.mOptions.mUpstreams);
    if (full) {
      mFullUpstream = occupancy;
    }
    return full;
  });
  mLacksCapacity = query.mUpstreams.size() < known;
  LeaveOutUnreached(query.mUpstreams);
  query.mAvoid = mContext.AvoidedInstances();
  query.mAvoid.insert(mTried.begin(), mTried.end());
  query.mRequestsOf = [this](const std::string& aInstance) {
    return mContext.LoadOf(aInstance).mRequests;
  };
  query.mFailuresOf = [this](const std::string& aInstance) {
    return mContext.FailureShareOf(aInstance);
  };
  query.mRandom = [this] { return mContext.Random(); };
  aAttempt.mInstance = ChooseUpstream(query);
  return !aAttempt.mInstance.empty();
}

void RelayRequest::LeaveOutUnreached(
    std::vector<const UpstreamRecord*>& aUpstreams) const {
  const auto isUnreached = [this](const UpstreamRecord* aRecord) {
    return mUnreached.contains(aRecord->mInstance);
  };
  const bool anyOther =
      !std::all_of(aUpstreams.begin(), aUpstreams.end(), isUnreached);
  if (anyOther) {
    std::erase_if(aUpstreams, isUnreached);
  }
}

bool RelayRequest::ChooseEnginePath(Attempt& aAttempt) {
  PathQuery query = EngineQuery();
  PathResult answer = mContext.ChoosePathFor(mService->mName, query);
  if (answer.mPath.empty() && query.mSampleShare < 1) {
    query = EngineQuery(SampleScope::kAllZones);
    answer = mContext.ChoosePathFor(mService->mName, query);
  }
  if (answer.mPath.empty() && !answer.mLacksRoom) {
    LogLine(LogLevel::kInfo, "nobody_left")
        .Add("request", mFacts.mId)
        .Add("avoided", static_cast<int>(query.mExcludedEngines.size()))
        .Add("held_back", static_cast<int>(query.mExcludedFirstStages.size()));
    // An engine that failed recently is better than none. An engine that
    // refuses would do so until all attempts are used up, so that a request
    // that can wait doesn't use those either.
    query.mExcludedEngines =
        IsWorthWaiting() ? mContext.RecentRefusers() : std::set<std::string>();
    answer = ChoosePath(query);
  }
  mLacksCapacity = answer.mLacksRoom;
  if (answer.mPath.empty()) {
    // The only reason may be that the first stages are on hold at present.
    const bool held = !query.mExcludedFirstStages.empty();
    query.mExcludedFirstStages.clear();
    mLacksCapacity =
        mLacksCapacity || (held && !ChoosePath(query).mPath.empty());
    return false;
  }
  SpendInterZoneBudget(query, answer);
  aAttempt.mDrawnByWeight = answer.mDrawnByWeight;
  aAttempt.mPath = std::move(answer.mPath);
  aAttempt.mInstance = aAttempt.mPath.front().mInstance;
  aAttempt.mTokens = query.mTokens;
  return true;
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
  for (const PathStage& stage : mAttempt->mPath) {
    mContext.AddLoad(stage.mInstance, aSign,
                     aSign * mAttempt->mTokens * stage.mLayers.Count(),
                     first ? aSign : 0);
    first = false;
  }
}

bool RelayRequest::MaySend() const {
  if (mNeedsLease && !mContext.HasValidLease()) {
    return false;
  }
  const UpstreamRecord* record = mContext.mRegistry.Find(mAttempt->mInstance);
  return record != nullptr && IsCurrent() && !IsLeavingOrGone(record->mState) &&
         !mContext.mBackoffs.IsActive(mAttempt->mInstance, SteadyNow()) &&
         Remaining() > 0 && !IsBarred();
}

bool RelayRequest::IsCurrent() const {
  return mContext.StartOf(mAttempt->mInstance) == mAttempt->mStart;
}

void RelayRequest::Send(const UpstreamRecord& aFirst) {
  mAttempt->mStart = aFirst.mStart;
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
  options.mSharedBody = mExchange->Body();
  options.mMemory = mExchange->Memory();
  options.mMaySend = [this] {
    // The retry may have been spent before a wait for a path, too long ago to
    // count for the window in which it reaches the upstream.
    const bool may = MaySend() && HoldsRetry();
    if (may) {
      ClaimMemory();
      LogRetry();
    }
    return may;
  };
  options.mOnHead = [this](const AnswerHead& aHead) { HandleHead(aHead); };
  options.mOnData = [this](std::string_view aBytes) { HandleData(aBytes); };
  options.mOnEnd = [this](StreamEnd aEnd) { HandleEnd(aEnd); };
  if (mContext.mLimits.OnRequestSent(mAttempt->mInstance)) {
    mContext.mCounters.Add("limited_requests_sent");
  }
  mTried.insert(mAttempt->mInstance);
  CountLoad(1);
  BeginTrial();
  BeginPrefill(mAttempt->mPath);
  WatchAttempt();
  mAttempt->mCall = std::make_unique<UpstreamCall>(mContext, aFirst.mInstance,
                                                   std::move(options));
  const bool watched = mRoute->mKind == RouteKind::kStream;
  if (watched && mSilenceTimer == nullptr) {
    mSilenceTimer =
        mContext.mLoop.Every(kSilenceCheckInterval, [this] { CheckSilence(); });
  }
}

double RelayRequest::KnownFillOf(const std::string& aAddress) const {
  for (const PathStage& stage : mAttempt->mPath) {
    const UpstreamRecord* engine = mContext.mRegistry.Find(stage.mInstance);
    const AcceleratorKind* kind =
        stage.mAddress != aAddress || engine == nullptr
            ? nullptr
            : mService->mEngine.FindKind(engine->mKind);
    if (kind != nullptr) {
      const double room = EngineModel(mService->mEngine, *kind)
                              .RequestCapacity(engine->mLayers.Count());
      return mContext.LoadOf(stage.mInstance).mTokenLayers /
             std::max(1.0, room);
    }
  }
  return -1;
}

void RelayRequest::LogFailure(Ran aRan, ResultCode aCode) const {
  LogLine(LogLevel::kWarning, "attempt_failed")
      .Add("culprit_fill", KnownFillOf(mAttempt->mFacts.mCulprit))
      .Add("dealt", mAttempt->mDrawnByWeight)
      .Add("loads_age_ms", static_cast<Json::Int64>(mContext.PeerLoadsAge()))
      .Add("request", mFacts.mId)
      .Add("content", Content())
      .Add("parts", LoggedParts())
      .Add("instance", mAttempt->mInstance)
      .Add("code", static_cast<int>(aCode))
      .Add("ran", std::string(NameOf(aRan)))
      .Add("status", mAttempt->mHead.mStatus)
      .Add("culprit", mAttempt->mFacts.mCulprit)
      .Add("forwarder",
           mAttempt->mCall == nullptr ? "" : mAttempt->mCall->Forwarder())
      .Add("rest_ms", static_cast<Json::Int64>(mAttempt->mFacts.mBackoff))
      .Add("took_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mStartedAt))
      .Add("silent_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mLastDataAt));
}

bool RelayRequest::MayTryAgain(Ran aRan) const {
  const bool passesThrough = mAttempt != nullptr && mAttempt->mPassesThrough;
  const bool allowed =
      (aRan == Ran::kNo || mRoute->Repeatable()) && !passesThrough;
  const int sent = mRanAttempts + (aRan == Ran::kNo ? 0 : 1);
  const int refusals = mExchange->Started() || IsLikelyRetry()
                           ? kMaxRefusalsMidway
                           : kMaxRefusals;
  return allowed && sent < mRoute->mMaxAttempts &&
         mRefusedAttempts < refusals && HasUnsentAttemptsLeft() &&
         Remaining() > kMinTimeForAttempt && !mExchange->Closed() &&
         !IsBarred();
}

bool RelayRequest::HasUnsentAttemptsLeft() const {
  return MayTryOtherAtOnce() || IsWorthWaiting();
}

bool RelayRequest::MayTryOtherAtOnce() const {
  if (mUnsentAttempts < kMaxUnsent) {
    return true;
  }
  const std::vector<const UpstreamRecord*> upstreams =
      mContext.mRegistry.OfService(mService->mName);
  return mUnsentAttempts < kMaxUnsentToOthers &&
         std::any_of(upstreams.begin(), upstreams.end(),
                     [this](const UpstreamRecord* aRecord) {
                       return !IsLeavingOrGone(aRecord->mState) &&
                              !mTried.contains(aRecord->mInstance);
                     });
}

void RelayRequest::RetryUnsent(ResultCode aCode) {
  mContext.mCounters.Add("retries");
  if (MayTryOtherAtOnce()) {
    StartAttempt();
    return;
  }
  // The known upstreams can't be reached: they may have ended without being
  // reported yet. Further attempts wait for others, since the connections to
  // the same ones would be refused within a millisecond.
  SetLack(Lack::kPath);
  if (!WaitForPath()) {
    GiveUp(aCode);
  }
}

void RelayRequest::RecordLostAttempt() {
  // Only the first stage of the path is reported. If several engines end at
  // once, a request whose path passed all of them would count as having crashed
  // each: 4 crashes in a moment barred requests that had caused none of them.
  mContext.mGuard->OnAttemptLost(
      {.mInstance = mAttempt->mInstance,
       .mStart = mAttempt->mStart,
       .mRequestDigest = Content(),
       .mStartedAt = mAttempt->mStartedAt,
       .mDeliveredEvents = mAttempt->mHadEvents,
       .mParts = mAttempt->mStayedUp ? std::vector<std::string>() : mParts});
}

void RelayRequest::AttemptFailed(Ran aRan, ResultCode aCode, bool aWasSent) {
  const bool mayTryAgain = MayTryAgain(aRan);
  LogFailure(aRan, aCode);
  mMayHaveRun = mMayHaveRun || aRan != Ran::kNo;
  mRetrySpentAt = aWasSent ? 0 : mRetrySpentAt;
  if (aRan != Ran::kNo) {
    mRanAttempts++;
  } else if (aWasSent) {
    mRefusedAttempts++;
  } else {
    mUnsentAttempts++;
    mUnreached.insert(mAttempt->mInstance);
  }
  if ((aRan == Ran::kUnknown || !aWasSent) && IsCurrent()) {
    mContext.RecordFailure(mAttempt->mInstance, kAvoidAfterLoss);
  }
  if (aRan == Ran::kUnknown && aWasSent) {
    RecordLostAttempt();
  }
  DropAttempt();
  if (!mayTryAgain) {
    SetLack(Lack::kAttempts);
    GiveUp(aCode);
    return;
  }
  if (!aWasSent) {
    RetryUnsent(aCode);
    return;
  }
  RetryOrGiveUp(aCode);
}

bool RelayRequest::IsLikelyRetry() const {
  // Callers of plain services have about a second: holding a request for half
  // of it loses more requests than refusing it at once.
  return mService->IsEngine() &&
         mContext.mAdmission->IsLikelyRetry(mRoute->mName, mFacts.mDeadline);
}

bool RelayRequest::IsWorthWaiting() const {
  const Millis waited = SteadyNow() - mExchange->ReceivedAt();
  const bool held = IsLikelyRetry() && !mExchange->Started() &&
                    waited < std::min(kMaxRetryHold, mFacts.mDeadline / 2);
  if (held) {
    return !mExchange->Closed() && Remaining() > kMinPathRetryDelay;
  }
  // The caller of a stream that has begun goes on reading and decides for
  // itself how long it waits for the next event. If the stream were broken off
  // earlier, the caller would lose what it has read, though a retry may become
  // available, or an engine return, while most of its time is left.
  return mExchange->Started() && !mExchange->Closed() &&
         Remaining() > kMinPathRetryDelay;
}

void RelayRequest::DropAttempt() {
  if (mAttempt == nullptr) {
    return;
  }
  EndPrefill();
  EndTrial();
  CountLoad(-1);
  if (mAttempt->mCall != nullptr) {
    // The call may be on the stack: it is destroyed in the next turn of the
    // loop. Its hooks find no attempt.
    std::shared_ptr<StreamCall> call = std::move(mAttempt->mCall);
    call->Abandon();
    mContext.mLoop.Post([call] {});
  }
  mContext.mGuard->Detector().End(mKey);
  mAttempt.reset();
}

}  // namespace spindleweir
