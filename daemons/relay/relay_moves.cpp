/// The stages of a request that choose paths of engines and move between them.
#include "daemons/relay/relay_request.h"

#include <algorithm>
#include <iterator>

#include "daemons/engine_call.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// A stream that is silent for so long is taken up elsewhere.
constexpr Millis kFirstEventSilenceTimeout = 1000;
constexpr Millis kEventSilenceTimeout = 800;
/// An upstream that leaves serves on for seconds: streams that last longer
/// go on elsewhere before, spread over some time.
constexpr Millis kLeaveDelay = 1000;
constexpr double kLeaveSpread = 700;
constexpr double kMaxPathFill = 0.95;
constexpr Millis kOrderTimeout = 1000;
/// Moves of one attempt to another path.
constexpr int kMaxMoves = 4;
/// What is known of other streams' moves is older than this.
constexpr Millis kSlowSearchInterval = 300;
/// Many streams leave the same engines at the same moment, at all routers: the
/// cheapest for one is dearer by up to so much for another.
constexpr double kMoveCostJitter = 1;
/// Tokens of an event, where it is not told.
constexpr double kTokensPerEvent = 3;
/// An order that was answered with this or more changed nothing.
constexpr int kMinRefusalStatus = 400;

/// Those of the first path, with their layers, that the second has not.
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
      mFacts.mMostTokens > 0 ? std::min(guess, mFacts.mMostTokens) : guess;
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
  if (!hit(path.front())) {
    LayerPath next = ReplaceStages(aInstances);
    if (!next.empty()) {
      Repath(std::move(next), aReason);
      return;
    }
    if (aReason == MoveReason::kUnreachable ||
        aReason == MoveReason::kRestarted) {
      // Nobody has room for what is lost. A stream that waits until it has
      // been silent for long keeps the memory of the path's other engines:
      // going on at once gained 0.007 of the worth of 25 days with trouble.
      SwitchAttempt(ResultCode::kOutcomeUnknown);
    }
    return;
  }
  // The first cannot be replaced by an order. One that leaves still ends what
  // it has; one that is lost does not.
  const UpstreamRecord* first = mContext.mRegistry.Find(mAttempt->mInstance);
  const bool leaves = aReason != MoveReason::kRestarted && first != nullptr &&
                      first->mState == UpstreamState::kLeaving;
  if (leaves) {
    mAttempt->mLeaveAt = SteadyNow() + kLeaveDelay +
                         static_cast<Millis>(kLeaveSpread * mContext.Random());
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
    // Not all of them can be replaced: one is better than none.
    next = ReplaceStages({instance});
    if (!next.empty()) {
      return next;
    }
  }
  return {};
}

bool RelayRequest::MoveOffSlow(Millis aNow) {
  const bool may = mAttempt != nullptr && !mAttempt->mPath.empty() && !mEnded &&
                   mAttempt->mMoveOrder == nullptr &&
                   mAttempt->mMoves < kMaxMoves;
  if (!may || aNow - std::max(mAttempt->mMovedAt, mAttempt->mSearchedAt) <
                  kSlowSearchInterval) {
    return false;
  }
  mAttempt->mSearchedAt = aNow;
  const PathQuery query = EngineQuery();
  const PathTiming held = EstimateTiming(query, mAttempt->mPath);
  LayerPath next = ReplaceSlowStages(SlowStages());
  const PathTiming then = next.empty() ? held : EstimateTiming(query, next);
  const bool firstSlow =
      mContext.mSlowdowns.SlowEngines().contains(mAttempt->mInstance);
  if (firstSlow && IsTooSlow(then, kTokensPerEvent, Targets())) {
    // Its first cannot be replaced by an order.
    SwitchAttempt(ResultCode::kOutcomeUnknown);
    return true;
  }
  if (!next.empty() && IsMoveWorthwhile(held, then)) {
    Repath(std::move(next), MoveReason::kSlow);
  }
  return true;
}

LayerPath RelayRequest::ReplaceStages(const std::set<std::string>& aInstances) {
  const PathQuery query = EngineQuery();
  LayerPath next = ReplaceStagesAmong(query, aInstances);
  const bool sawAll = query.mSampleShare >= 1;
  return !next.empty() || sawAll
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
      CallOf(mContext.mOptions.mEngines.mWriteRepath(
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
  mAttempt->mMoveOrder = StartStreamCall(mContext.mLoop, std::move(options));
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
  // It is on the stack.
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
  const StreamStallTimeouts patience =
      StallTimeoutsOf(EstimateTiming(EngineQuery(), mAttempt->mPath),
                      kTokensPerEvent, Targets());
  mContext.mGuard->Detector().Begin(
      mKey, std::move(instances), SteadyNow(),
      {.mFirstEvent = patience.mFirstEvent, .mGap = patience.mGap});
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
  // Not by the clock: after a standstill of this process timers come before
  // what waits in its sockets, and all its streams would begin anew elsewhere.
  const Millis silent = mContext.mLoop.RunningNow() - mAttempt->mSilentSince;
  const bool begun = mAttempt->mLastDataAt > mAttempt->mStartedAt;
  const Millis most = begun ? kEventSilenceTimeout : kFirstEventSilenceTimeout;
  if (silent >= most) {
    SwitchAttempt(ResultCode::kOutcomeUnknown);
  }
}

bool RelayRequest::SwitchAttempt(ResultCode aCode) {
  if (!MayTryAgain(Ran::kUnknown)) {
    return false;
  }
  auto next = std::make_unique<Attempt>();
  const bool found = mService->IsEngine() ? ChooseEnginePath(*next)
                                          : ChoosePlainUpstream(*next);
  const UpstreamRecord* first =
      found ? mContext.mRegistry.Find(next->mInstance) : nullptr;
  const bool other = first != nullptr && next->mInstance != mAttempt->mInstance;
  if (!other || !TrySpendRetry()) {
    return false;
  }
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
