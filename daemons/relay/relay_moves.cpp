/// The part of RelayRequest that chooses paths of engines and moves between
/// them.
#include "daemons/relay/relay_request.h"

#include <algorithm>
#include <iterator>

#include "daemons/engine_call.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// A stream that is silent for this time is continued on another path.
constexpr Millis kFirstEventSilenceTimeout = 1000;
constexpr Millis kEventSilenceTimeout = 800;
/// An upstream that leaves serves on for some seconds: longer streams move to
/// other upstreams before it ends, spread over some time.
constexpr Millis kLeaveDelay = 1000;
constexpr double kLeaveSpread = 700;
constexpr double kMaxPathFill = 0.95;
constexpr Millis kOrderTimeout = 1000;
/// Maximum number of moves of an attempt to another path.
constexpr int kMaxMoves = 4;
/// The known moves of other streams are older than this.
constexpr Millis kSlowSearchInterval = 300;
/// Random increase of path costs, at most this share: many streams leave the
/// same engines at the same moment, on all routers, and must not all choose the
/// same cheapest path.
constexpr double kMoveCostJitter = 1;
/// Tokens of an event, if not reported.
constexpr double kTokensPerEvent = 3;
/// A move order answered with this status or a higher one changed nothing.
constexpr int kMinRefusalStatus = 400;

/// The stages, by instance and layers, of aPath that aOther doesn't have.
LayerPath StagesOnlyIn(const LayerPath& aPath, const LayerPath& aOther) {
  LayerPath stages;
  std::set_difference(aPath.begin(), aPath.end(), aOther.begin(), aOther.end(),
                      std::back_inserter(stages),
                      [](const PathStage& aLeft, const PathStage& aRight) {
                        return aLeft.mLayers.mFrom < aRight.mLayers.mFrom ||
                               (aLeft.mLayers.mFrom == aRight.mLayers.mFrom &&
                                aLeft.mInstance < aRight.mInstance);
                      });
  return stages;
}

const char* NameOf(MoveReason aReason) {
  switch (aReason) {
    case MoveReason::kLeaving:
      return "leaving";
    case MoveReason::kUnreachable:
      return "unreachable";
    case MoveReason::kStalled:
      return "stands still";
    case MoveReason::kRestarted:
      return "restarted";
    case MoveReason::kSlow:
      return "slow";
    case MoveReason::kLinkLost:
      return "link lost";
  }
  return "";
}

}  // namespace

PathQuery RelayRequest::EngineQuery(SampleScope aScope) const {
  const EngineProfile& engine = mService->mEngine;
  PathQuery query;
  query.mProfile = &engine;
  query.mZone = mContext.mOptions.mZone;
  const double guess = mFacts.mExpectedTokens > 0 ? mFacts.mExpectedTokens
                                                  : engine.mTypicalAnswerTokens;
  query.mAnswerTokens =
      mFacts.mMaxTokens > 0 ? std::min(guess, mFacts.mMaxTokens) : guess;
  query.mPrefillTokens = mFacts.mPromptTokens;
  query.mTokens = mFacts.mPromptTokens + query.mAnswerTokens;
  query.mMaxFill = kMaxPathFill;
  query.mMayCrossZones = mContext.InterZoneBudgetOf(mService->mName)
                             .Allows(engine, mContext.Routers(), SteadyNow());
  const std::function<double()> random = [this] { return mContext.Random(); };
  EngineSample sample = SampleEngines(mContext.ReadyEngines(mService->mName),
                                      query.mZone, aScope, random);
  query.mEngines = std::move(sample.mEngines);
  query.mSampleShare = sample.mShare;
  query.mLoadOf = [this](const std::string& aInstance) {
    return mContext.LoadOf(aInstance);
  };
  query.mExcludedEngines = mContext.AvoidedInstances();
  query.mExcludedFirstStages = mContext.HeldUpstreams();
  query.mRandom = random;
  return query;
}

void RelayRequest::BeginPrefill(const LayerPath& aStages) {
  const double tokens = mFacts.mPromptTokens + mEvents * kTokensPerEvent;
  for (const PathStage& stage : aStages) {
    const double work = tokens * stage.mLayers.Count();
    mAttempt->mPrefills.push_back({stage.mInstance, work});
    mContext.AddPrefill(stage.mInstance, work);
  }
}

void RelayRequest::EndPrefill() {
  for (const PrefillWork& work : mAttempt->mPrefills) {
    mContext.AddPrefill(work.mInstance, -work.mTokenLayers);
  }
  mAttempt->mPrefills.clear();
}

std::string RelayRequest::FirstInstance() const {
  const bool running = mAttempt != nullptr && mAttempt->mCall != nullptr &&
                       mAttempt->mMoveOrder == nullptr;
  return running ? mAttempt->mInstance : "";
}

void RelayRequest::MoveOff(const std::set<std::string>& aInstances,
                           MoveReason aReason) {
  if (mAttempt == nullptr || mAttempt->mPath.empty() || mEnded) {
    return;
  }
  const auto hit = [&aInstances](const PathStage& aStage) {
    return aInstances.contains(aStage.mInstance);
  };
  const LayerPath& path = mAttempt->mPath;
  if (std::none_of(path.begin(), path.end(), hit)) {
    return;
  }
  if (aReason == MoveReason::kLinkLost) {
    const bool isHit = hit(path.front()) && mAttempt->mCall != nullptr &&
                       !mAttempt->mCall->IsForwarded();
    if (isHit) {
      SwitchAttempt(ResultCode::kOutcomeUnknown, true);
    }
    return;
  }
  if (!hit(path.front())) {
    LayerPath next = ReplaceStages(aInstances);
    if (!next.empty()) {
      Repath(std::move(next), aReason);
      return;
    }
    if (aReason == MoveReason::kUnreachable ||
        aReason == MoveReason::kRestarted) {
      // No engine has capacity for the lost stages. Waiting for the silence
      // timeout would keep the memory of the path's other engines reserved:
      // switching at once gained 0.007 of the value of 25 days with failures.
      SwitchAttempt(ResultCode::kOutcomeUnknown);
    }
    return;
  }
  // The first stage cannot be replaced by a move order. A leaving one completes
  // the streams that it has; a lost one doesn't.
  const UpstreamRecord* first = mContext.mRegistry.Find(mAttempt->mInstance);
  const bool isLeaving = aReason != MoveReason::kRestarted &&
                         first != nullptr &&
                         first->mState == UpstreamState::kLeaving;
  if (isLeaving) {
    mAttempt->mLeaveAt = SteadyNow() + kLeaveDelay +
                         static_cast<Millis>(kLeaveSpread * mContext.Random());
    return;
  }
  const bool isLost =
      aReason == MoveReason::kUnreachable || aReason == MoveReason::kRestarted;
  if (isLost && IsSuspect()) {
    // Another upstream may crash as well: it takes its turn among the trials.
    if (MayTryAgain(Ran::kUnknown)) {
      AttemptFailed(Ran::kUnknown, ResultCode::kOutcomeUnknown, true);
    }
    return;
  }
  SwitchAttempt(ResultCode::kOutcomeUnknown);
}

StreamTargets RelayRequest::Targets() const {
  return {.mFirstEvent = mRoute->mTargetLatency, .mPause = mRoute->mTargetGap};
}

std::set<std::string> RelayRequest::SlowStages() const {
  const std::map<std::string, double>& slow = mContext.mSlowdowns.SlowEngines();
  std::set<std::string> stages;
  const LayerPath& path = mAttempt->mPath;
  for (std::size_t i = 1; i < path.size(); i++) {
    if (slow.contains(path[i].mInstance)) {
      stages.insert(path[i].mInstance);
    }
  }
  return stages;
}

LayerPath RelayRequest::ReplaceSlowStages(const std::set<std::string>& aSlow) {
  if (aSlow.empty()) {
    return {};
  }
  LayerPath next = ReplaceStages(aSlow);
  if (!next.empty()) {
    return next;
  }
  for (const std::string& instance : aSlow) {
    // Not all of them can be replaced; replacing one is better than none.
    next = ReplaceStages({instance});
    if (!next.empty()) {
      return next;
    }
  }
  return {};
}

bool RelayRequest::MoveOffSlow(Millis aNow) {
  const bool canMove = mAttempt != nullptr && !mAttempt->mPath.empty() &&
                       !mEnded && mAttempt->mMoveOrder == nullptr &&
                       mAttempt->mMoves < kMaxMoves;
  if (!canMove || aNow - std::max(mAttempt->mMovedAt, mAttempt->mSearchedAt) <
                      kSlowSearchInterval) {
    return false;
  }
  mAttempt->mSearchedAt = aNow;
  const PathQuery query = EngineQuery();
  const PathTiming current = EstimateTiming(query, mAttempt->mPath);
  LayerPath next = ReplaceSlowStages(SlowStages());
  const PathTiming candidate =
      next.empty() ? current : EstimateTiming(query, next);
  const bool firstSlow =
      mContext.mSlowdowns.SlowEngines().contains(mAttempt->mInstance);
  if (firstSlow && IsTooSlow(candidate, kTokensPerEvent, Targets())) {
    // The first stage cannot be replaced by a move order.
    SwitchAttempt(ResultCode::kOutcomeUnknown);
    return true;
  }
  if (!next.empty() && IsMoveWorthwhile(current, candidate)) {
    Repath(std::move(next), MoveReason::kSlow);
  }
  return true;
}

LayerPath RelayRequest::ReplaceStages(const std::set<std::string>& aInstances) {
  const PathQuery query = EngineQuery();
  LayerPath next = ReplaceStagesAmong(query, aInstances);
  const bool sampledAll = query.mSampleShare >= 1;
  return !next.empty() || sampledAll
             ? next
             : ReplaceStagesAmong(EngineQuery(SampleScope::kAllZones),
                                  aInstances);
}

LayerPath RelayRequest::ReplaceStagesAmong(
    PathQuery aQuery, const std::set<std::string>& aInstances) {
  PathQuery query = std::move(aQuery);
  query.mPrefillTokens += mEvents;
  query.mStartsAtEngine = true;
  query.mCostJitter = kMoveCostJitter;
  for (const PathStage& stage : mAttempt->mPath) {
    query.mExcludedEngines.insert(stage.mInstance);
  }
  query.mExcludedEngines.insert(aInstances.begin(), aInstances.end());
  query.mExcludedEngines.insert(mAttempt->mRefusedStages.begin(),
                                mAttempt->mRefusedStages.end());
  LayerPath next;
  for (std::size_t i = 0; i < mAttempt->mPath.size(); i++) {
    const PathStage& stage = mAttempt->mPath[i];
    if (!aInstances.contains(stage.mInstance)) {
      next.push_back(stage);
      continue;
    }
    query.mLayers = stage.mLayers;
    const UpstreamRecord* before =
        mContext.mRegistry.Find(mAttempt->mPath[i - 1].mInstance);
    query.mZone = before == nullptr ? mContext.mOptions.mZone : before->mZone;
    const PathResult answer = ChoosePath(query);
    if (answer.mPath.empty()) {
      return {};
    }
    SpendInterZoneBudget(query, answer);
    for (const PathStage& added : answer.mPath) {
      query.mExcludedEngines.insert(added.mInstance);
      next.push_back(added);
    }
  }
  return next;
}

void RelayRequest::SpendInterZoneBudget(const PathQuery& aQuery,
                                        const PathResult& aAnswer) {
  mContext.InterZoneBudgetOf(mService->mName)
      .Spend(*aQuery.mProfile, aQuery.mPrefillTokens + aQuery.mAnswerTokens,
             aAnswer.mZoneCrossings);
}

void RelayRequest::Repath(LayerPath aPath, MoveReason aReason) {
  const UpstreamRecord* first = mContext.mRegistry.Find(mAttempt->mInstance);
  if (first == nullptr || mAttempt->mMoves >= kMaxMoves) {
    return;
  }
  mAttempt->mMoves++;
  StreamCallOptions options =
      MakeEngineCall(mContext.mOptions.mEngines.mWriteRepath(
                         {.mRequestId = mFacts.mId, .mPath = &aPath}),
                     first->mAddress, kOrderTimeout);
  const auto status = std::make_shared<int>(0);
  options.mOnHead = [status](const AnswerHead& aHead) {
    *status = aHead.mStatus;
  };
  options.mOnEnd = [this, status, aReason](StreamEnd) {
    EndOrder(*status, aReason);
  };
  LogLine(LogLevel::kInfo, "repath")
      .Add("request", mFacts.mId)
      .Add("why", NameOf(aReason))
      .Add("first", mAttempt->mInstance)
      .Add("silent_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mLastDataAt));
  mContext.mCounters.Add("moves",
                         std::string("why=\"") + NameOf(aReason) + "\"");
  const LayerPath added = StagesOnlyIn(aPath, mAttempt->mPath);
  mAttempt->mPreviousPath = mAttempt->mPath;
  mAttempt->mPreviousSilentSince = mAttempt->mSilentSince;
  SetPath(std::move(aPath));
  mAttempt->mMovedAt = SteadyNow();
  mAttempt->mSilentSince = mContext.mLoop.RunningNow();
  BeginPrefill(added);
  WatchAttempt();
  mAttempt->mMoveOrder = std::make_unique<UpstreamCall>(
      mContext, mAttempt->mInstance, std::move(options));
}

void RelayRequest::SetPath(LayerPath aPath) {
  EndPrefill();
  CountLoad(-1);
  mAttempt->mPath = std::move(aPath);
  CountLoad(1);
}

void RelayRequest::EndOrder(int aStatus, MoveReason aReason) {
  LogLine(LogLevel::kInfo, "repath_answered")
      .Add("request", mFacts.mId)
      .Add("status", aStatus);
  if (mAttempt == nullptr || mAttempt->mMoveOrder == nullptr) {
    return;
  }
  // The call is on the stack: it is destroyed in the next turn of the loop.
  const std::shared_ptr<StreamCall> order = std::move(mAttempt->mMoveOrder);
  mContext.mLoop.Post([order] {});
  if (aStatus >= kMinRefusalStatus) {
    UndoMove(aReason);
  }
}

void RelayRequest::UndoMove(MoveReason aReason) {
  const LayerPath refused = mAttempt->mPath;
  const LayerPath before = std::move(mAttempt->mPreviousPath);
  std::set<std::string> left;
  for (const PathStage& stage : StagesOnlyIn(before, refused)) {
    left.insert(stage.mInstance);
  }
  for (const PathStage& stage : StagesOnlyIn(refused, before)) {
    mAttempt->mRefusedStages.insert(stage.mInstance);
  }
  SetPath(before);
  const bool receivedSince = mAttempt->mLastDataAt > mAttempt->mMovedAt;
  if (!receivedSince) {
    mAttempt->mSilentSince = mAttempt->mPreviousSilentSince;
  }
  WatchAttempt();
  if (aReason != MoveReason::kSlow) {
    MoveOff(left, aReason);
  }
}

void RelayRequest::WatchAttempt() {
  if (mAttempt == nullptr || mAttempt->mPath.empty()) {
    return;
  }
  if (mKey == 0) {
    mKey = mContext.mGuard->Add(this);
  }
  std::vector<std::string> instances;
  for (const PathStage& stage : mAttempt->mPath) {
    instances.push_back(stage.mInstance);
  }
  const StreamStallTimeouts timeouts =
      StallTimeoutsOf(EstimateTiming(EngineQuery(), mAttempt->mPath),
                      kTokensPerEvent, Targets());
  mContext.mGuard->Detector().Begin(
      mKey, std::move(instances), SteadyNow(),
      {.mFirstEvent = timeouts.mFirstEvent, .mGap = timeouts.mGap});
}

void RelayRequest::CheckSilence() {
  if (mAttempt == nullptr || mAttempt->mCall == nullptr ||
      !mAttempt->mCall->Sent() || mExchange->PendingBytes() > 0) {
    return;
  }
  const Millis now = SteadyNow();
  if (mAttempt->mLeaveAt > 0 && now >= mAttempt->mLeaveAt) {
    mAttempt->mLeaveAt = now + kLeaveDelay;
    SwitchAttempt(ResultCode::kOutcomeUnknown);
    return;
  }
  // Measured in running time, not by the clock: after a pause of this process
  // timers fire before the pending data of its sockets is read, and all its
  // streams would be restarted elsewhere.
  const Millis silent = mContext.mLoop.RunningNow() - mAttempt->mSilentSince;
  const bool hasData = mAttempt->mLastDataAt > mAttempt->mStartedAt;
  const Millis timeout =
      hasData ? kEventSilenceTimeout : kFirstEventSilenceTimeout;
  if (silent >= timeout) {
    SwitchAttempt(ResultCode::kOutcomeUnknown);
  }
}

bool RelayRequest::SwitchAttempt(ResultCode aCode, bool aMayStay) {
  if (!MayTryAgain(Ran::kUnknown)) {
    return false;
  }
  auto next = std::make_unique<Attempt>();
  const bool found = mService->IsEngine() ? ChooseEnginePath(*next)
                                          : ChoosePlainUpstream(*next);
  const UpstreamRecord* first =
      found ? mContext.mRegistry.Find(next->mInstance) : nullptr;
  const bool isBetter =
      first != nullptr && (aMayStay || next->mInstance != mAttempt->mInstance);
  if (!isBetter) {
    return false;
  }
  if (!TrySpendRetry()) {
    SwitchWithCredit(aCode, aMayStay);
    return false;
  }
  mCreditAwaitedAt = 0;
  LogFailure(Ran::kUnknown, aCode);
  RecordLostAttempt();
  mMayHaveRun = true;
  mRanAttempts++;
  DropAttempt();
  mContext.mCounters.Add("retries");
  mAttempt = std::move(next);
  mAttempt->mStartedAt = SteadyNow();
  mAttempt->mLastDataAt = mAttempt->mStartedAt;
  mAttempt->mSilentSince = mContext.mLoop.RunningNow();
  Send(*first);
  return true;
}

}  // namespace spindleweir
