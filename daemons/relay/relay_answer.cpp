/// The part of RelayRequest that handles the answers of upstreams.
#include <algorithm>
#include <optional>

#include "daemons/relay/relay_request.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Statuses from which callers conclude that a request was not run and won't
/// be.
bool PromisesNotRun(int aStatus) {
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

}  // namespace

void RelayRequest::HandleHead(const AnswerHead& aHead) {
  mAttempt->mHead = aHead;
  mAttempt->mFacts = mContext.mOptions.mCallers.mReadAnswer(aHead, mFacts);
  const AnswerFacts& facts = mAttempt->mFacts;
  if (!facts.mOurs) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
    return;
  }
  ApplyLimit(facts.mLimit);
  ApplyLeaving(facts.mLeaves);
  if (facts.mBackoff > 0 && IsCurrent()) {
    mContext.mBackoffs.Extend(mAttempt->mInstance, facts.mBackoff, SteadyNow());
  }
  if (facts.mRan == Ran::kNo) {
    mContext.RecordRefusal(Refuser());
    AttemptFailed(Ran::kNo, ResultCode::kUpstreamFull, true);
    return;
  }
  const bool usable =
      !IsSuccess(aHead.mStatus) || (facts.mSigned && !facts.mIsEncoded);
  if (!usable) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
  }
}

const std::string& RelayRequest::Refuser() const {
  const LayerPath& path = mAttempt->mPath;
  const auto it =
      std::find_if(path.begin(), path.end(), [this](const PathStage& aStage) {
        return aStage.mAddress == mAttempt->mFacts.mCulprit;
      });
  return it == path.end() ? mAttempt->mInstance : it->mInstance;
}

void RelayRequest::ApplyLimit(const LimitNotice& aWord) {
  const std::string& instance = mAttempt->mInstance;
  const bool isNewer =
      aWord.mClear && IsCurrent() &&
      mContext.mLimits.OnAnswer(instance, aWord.mPerSecond,
                                mAttempt->mStartedAt, SteadyNow());
  if (isNewer || !aWord.mClear) {
    LogLine(LogLevel::kInfo, "limit_named")
        .Add("instance", instance)
        .Add("request", mFacts.mId)
        .Add("clear", aWord.mClear)
        .Add("per_second", aWord.mPerSecond.value_or(-1))
        .Add("asked_ms",
             static_cast<Json::Int64>(SteadyNow() - mAttempt->mStartedAt));
  }
}

void RelayRequest::ApplyLeaving(bool aLeaves) {
  const UpstreamRecord* record = mContext.mRegistry.Find(mAttempt->mInstance);
  if (!aLeaves || record == nullptr || !IsCurrent() ||
      IsLeavingOrGone(record->mState)) {
    return;
  }
  LogLine(LogLevel::kInfo, "leaving_said")
      .Add("instance", mAttempt->mInstance)
      .Add("request", mFacts.mId)
      .Add("state", static_cast<int>(record->mState));
  // Merged as if control had reported it, so that all choices follow. It isn't
  // reported to control: the upstream does that itself, and reports from all
  // routers would be many.
  UpstreamRecord leaving = *record;
  leaving.mState = UpstreamState::kLeaving;
  mContext.mRegistry.Merge(leaving, SteadyNow());
}

void RelayRequest::HandleData(std::string_view aBytes) {
  if (mAttempt == nullptr) {
    return;
  }
  mAttempt->mLastDataAt = SteadyNow();
  mAttempt->mSilentSince = mContext.mLoop.RunningNow();
  const bool isStream =
      mAttempt->mFacts.mIsStream && IsSuccess(mAttempt->mHead.mStatus);
  if (isStream) {
    HandleEvents(aBytes);
    return;
  }
  HandleBody(aBytes);
}

void RelayRequest::HandleBody(std::string_view aBytes) {
  if (mAttempt->mPassesThrough) {
    mExchange->Write(aBytes);
    ApplyBackpressure();
    return;
  }
  mAttempt->mBody += aBytes;
  mAttempt->mHadEvents = true;
  if (MayCollect()) {
    return;
  }
  if (!mContext.mMemory->Bounded() || mExchange->Started() ||
      WouldMisreportNotRun()) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
    return;
  }
  PassThrough();
}

bool RelayRequest::MayCollect() {
  const std::shared_ptr<MemoryHold>& memory = mExchange->Memory();
  if (memory == nullptr) {
    return true;
  }
  memory->SetHeld(BufferKind::kPartial,
                  mAttempt->mBody.size() +
                      mAttempt->mEvents.Incomplete().size() +
                      (mFallback ? mFallback->mBody.size() : 0));
  return memory->MayCollect();
}

bool RelayRequest::WouldMisreportNotRun() const {
  // The upstream did not state that it had not run the request: relaying its
  // status would make a promise that no process made.
  return PromisesNotRun(mAttempt->mHead.mStatus) && !mRoute->Repeatable();
}

void RelayRequest::PassThrough() {
  // A failure after this point cannot be retried at another upstream: the
  // caller has the head, and perhaps part of the body.
  mAttempt->mPassesThrough = true;
  mFallback.reset();
  const std::string* length =
      FindHeader(mAttempt->mHead.mHeaders, "Content-Length");
  std::optional<std::size_t> bytes;
  if (length != nullptr) {
    bytes = std::stoull(*length);
  }
  mExchange->Start(mAttempt->mHead.mStatus,
                   mContext.mOptions.mCallers.mWriteAnswer(mAttempt->mHead),
                   bytes);
  mExchange->Write(mAttempt->mBody);
  mAttempt->mBody = std::string();
  (void)MayCollect();
  mContext.mCounters.Add("memory_handed_on");
  ApplyBackpressure();
}

void RelayRequest::ApplyBackpressure() {
  if (mExchange->MayWriteMore()) {
    return;
  }
  mAttempt->mCall->Pause(true);
  mContext.mGuard->Detector().Suspend(mKey);
  mContext.mCounters.Add("memory_pauses");
}

void RelayRequest::ClaimMemory() {
  const std::shared_ptr<MemoryHold>& memory = mExchange->Memory();
  if (memory != nullptr) {
    memory->SetEvictionClass(mRoute->Repeatable()
                                 ? EvictionClass::kRetryable
                                 : EvictionClass::kNotRetryable);
  }
}

void RelayRequest::HandleEvents(std::string_view aBytes) {
  const std::vector<ServerSentEvent> events = mAttempt->mEvents.Append(aBytes);
  mAttempt->mHadEvents = mAttempt->mHadEvents || !events.empty();
  AwaitProof();
  for (const ServerSentEvent& event : events) {
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
    mContext.mGuard->OnEvent(mKey, now);
    EndPrefill();
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
  if (mAttempt->mEvents.IsTooLong()) {
    AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
    return;
  }
  (void)MayCollect();
  ApplyBackpressure();
}

void RelayRequest::HandleEnd(StreamEnd aEnd) {
  if (mAttempt == nullptr) {
    return;
  }
  switch (aEnd) {
    case StreamEnd::kNotSent:
      if (mAttempt->mLacksRetry) {
        DropAttempt();
        RetryOrGiveUp(mRetryCode);
        return;
      }
      AttemptFailed(Ran::kNo, ResultCode::kNoUpstream, false);
      return;
    case StreamEnd::kLost:
      AttemptFailed(Ran::kUnknown, ResultCode::kOutcomeUnknown, true);
      return;
    case StreamEnd::kMalformed:
      AttemptFailed(Ran::kUnknown, ResultCode::kUpstreamGarbled, true);
      return;
    case StreamEnd::kComplete:
      HandleFullAnswer();
      return;
  }
}

void RelayRequest::HandleFullAnswer() {
  const int status = mAttempt->mHead.mStatus;
  if (mAttempt->mPassesThrough) {
    mExchange->End();
    End(IsSuccess(status) ? "served" : "upstream_failed", status);
    return;
  }
  const bool isStream = mAttempt->mFacts.mIsStream && IsSuccess(status);
  // The end of a connection may be a crash: it proves nothing.
  if (IsSuccess(status) && !mAttempt->mHead.mUntilClose) {
    ExcuseParts();
  }
  if (WouldMisreportNotRun()) {
    AttemptFailed(Ran::kUnknown, ResultCode::kOutcomeUnknown, true);
    return;
  }
  if (!isStream) {
    const bool failed = status >= 500;
    if (failed) {
      mContext.RecordFailure(mAttempt->mInstance, 0);
      if (MayTryAgain(Ran::kYes)) {
        mFallback = FallbackAnswer{mAttempt->mHead, mAttempt->mBody};
        AttemptFailed(Ran::kYes, ResultCode::kOutcomeUnknown, true);
        return;
      }
    } else {
      mContext.RecordSuccess(mAttempt->mInstance);
      mContext.RecordPlainTime(mService->mName,
                               SteadyNow() - mAttempt->mStartedAt);
    }
    if (mExchange->Started()) {
      // The upstream answered a resumed stream with an error.
      AttemptFailed(Ran::kYes, ResultCode::kStreamBroken, true);
      return;
    }
    Forward(mAttempt->mHead, mAttempt->mBody);
    return;
  }
  const bool isEmpty = mAttempt->mHead.mUntilClose && !mAttempt->mHadEvents &&
                       !mLastEvent.has_value();
  if (isEmpty || !mAttempt->mEvents.Incomplete().empty()) {
    // The answer ended before its first event or inside one, so that it is
    // incomplete even if its framing is correct.
    AttemptFailed(Ran::kUnknown, ResultCode::kStreamBroken, true);
    return;
  }
  mContext.RecordSuccess(mAttempt->mInstance);
  if (!mExchange->Started()) {
    mExchange->Start(status,
                     mContext.mOptions.mCallers.mWriteAnswer(mAttempt->mHead),
                     std::nullopt);
  }
  mExchange->End();
  End("served", status);
}

}  // namespace spindleweir
