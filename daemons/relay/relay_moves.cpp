/// The parts of a request that choose paths of engines and move between them.
#include "daemons/relay/relay_request.h"

#include <algorithm>
#include <iterator>

#include "daemons/engine_call.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// A stream that is silent for so long is taken up elsewhere.
constexpr Millis kSilenceBeforeFirst = 1000;
constexpr Millis kSilenceBetween = 800;
/// An upstream that leaves serves on for seconds: streams that last longer
/// go on elsewhere before, spread over some time.
constexpr Millis kLeaveAfter = 1000;
constexpr double kLeaveSpread = 700;
constexpr double kPathFill = 0.95;
constexpr Millis kOrderTimeout = 1000;
/// Moves of one attempt to another path.
constexpr int kMostMoves = 4;
/// What is known of other streams' moves is older than this.
constexpr Millis kSearchAgain = 300;
/// Many streams leave the same engines at the same moment, at all routers: the
/// cheapest for one is dearer by up to so much for another.
constexpr double kMoveSpread = 1;
/// Tokens of an event, where it is not told.
constexpr double kTokensPerEvent = 3;
/// An order that was answered with this or more changed nothing.
constexpr int kLeastRefusal = 400;

/// Those of the first path, with their layers, that the second has not.
LayerPath PartsOnlyIn(const LayerPath& aPath, const LayerPath& aOther) {
  LayerPath parts;
  std::set_difference(aPath.begin(), aPath.end(), aOther.begin(), aOther.end(),
                      std::back_inserter(parts),
                      [](const PathStage& aLeft, const PathStage& aRight) {
                        return aLeft.mLayers.mFrom < aRight.mLayers.mFrom ||
                               (aLeft.mLayers.mFrom == aRight.mLayers.mFrom &&
                                aLeft.mInstance < aRight.mInstance);
                      });
  return parts;
}

const char* NameOf(MoveReason aWhy) {
  switch (aWhy) {
    case MoveReason::kLeaving:
      return "leaving";
    case MoveReason::kUnreachable:
      return "unreachable";
    case MoveReason::kStandsStill:
      return "stands still";
    case MoveReason::kRestarted:
      return "restarted";
    case MoveReason::kSlow:
      return "slow";
  }
  return "";
}

}  // namespace

PathQuery RelayRequest::EngineQuestion(SampleScope aReach) const {
  const EngineProfile& engine = mService->mEngine;
  PathQuery question;
  question.mProfile = &engine;
  question.mZone = mContext.mOptions.mZone;
  const double guess = mFacts.mExpectedTokens > 0 ? mFacts.mExpectedTokens
                                                  : engine.mTypicalAnswerTokens;
  question.mAnswerTokens =
      mFacts.mMostTokens > 0 ? std::min(guess, mFacts.mMostTokens) : guess;
  question.mPrefillTokens = mFacts.mPromptTokens;
  question.mTokens = mFacts.mPromptTokens + question.mAnswerTokens;
  question.mMaxFill = kPathFill;
  question.mMayCrossZones =
      mContext.PipeOf(mService->mName)
          .Allows(engine, mContext.Routers(), SteadyNow());
  const std::function<double()> random = [this] { return mContext.Random(); };
  EngineSample sample = SampleEngines(mContext.ReadyEngines(mService->mName),
                                      question.mZone, aReach, random);
  question.mEngines = std::move(sample.mEngines);
  question.mSampleShare = sample.mShare;
  question.mLoadOf = [this](const std::string& aInstance) {
    return mContext.LoadOf(aInstance);
  };
  question.mExcludedEngines = mContext.Avoided();
  question.mExcludedFirstStages = mContext.HeldBack();
  question.mRandom = random;
  return question;
}

void RelayRequest::BeginReading(const LayerPath& aParts) {
  const double tokens = mFacts.mPromptTokens + mEvents * kTokensPerEvent;
  for (const PathStage& part : aParts) {
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

std::string RelayRequest::FirstInstance() const {
  const bool running = mAttempt != nullptr && mAttempt->mCall != nullptr &&
                       mAttempt->mOrder == nullptr;
  return running ? mAttempt->mInstance : "";
}

void RelayRequest::MoveOff(const std::set<std::string>& aInstances,
                           MoveReason aWhy) {
  if (mAttempt == nullptr || mAttempt->mPath.empty() || mEnded) {
    return;
  }
  const auto hit = [&aInstances](const PathStage& aPart) {
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
      return;
    }
    if (aWhy == MoveReason::kUnreachable || aWhy == MoveReason::kRestarted) {
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
  const bool leaves = aWhy != MoveReason::kRestarted && first != nullptr &&
                      first->mState == UpstreamState::kLeaving;
  if (leaves) {
    mAttempt->mLeaveAt = SteadyNow() + kLeaveAfter +
                         static_cast<Millis>(kLeaveSpread * mContext.Random());
    return;
  }
  SwitchAttempt(ResultCode::kOutcomeUnknown);
}

StreamTargets RelayRequest::Aim() const {
  return {.mFirstEvent = mRoute->mTargetLatency, .mPause = mRoute->mTargetGap};
}

std::set<std::string> RelayRequest::SlowParts() const {
  const std::map<std::string, double>& slow = mContext.mPaces.SlowEngines();
  std::set<std::string> parts;
  const LayerPath& path = mAttempt->mPath;
  for (std::size_t i = 1; i < path.size(); i++) {
    if (slow.contains(path[i].mInstance)) {
      parts.insert(path[i].mInstance);
    }
  }
  return parts;
}

LayerPath RelayRequest::WithoutSlow(const std::set<std::string>& aSlow) {
  if (aSlow.empty()) {
    return {};
  }
  LayerPath next = Without(aSlow);
  if (!next.empty()) {
    return next;
  }
  for (const std::string& instance : aSlow) {
    // Not all of them can be replaced: one is better than none.
    next = Without({instance});
    if (!next.empty()) {
      return next;
    }
  }
  return {};
}

bool RelayRequest::LeaveSlow(Millis aNow) {
  const bool may = mAttempt != nullptr && !mAttempt->mPath.empty() && !mEnded &&
                   mAttempt->mOrder == nullptr && mAttempt->mMoves < kMostMoves;
  if (!may || aNow - std::max(mAttempt->mMovedAt, mAttempt->mSearchedAt) <
                  kSearchAgain) {
    return false;
  }
  mAttempt->mSearchedAt = aNow;
  const PathQuery question = EngineQuestion();
  const PathTiming held = EstimateTiming(question, mAttempt->mPath);
  LayerPath next = WithoutSlow(SlowParts());
  const PathTiming then = next.empty() ? held : EstimateTiming(question, next);
  const bool firstSlow =
      mContext.mPaces.SlowEngines().contains(mAttempt->mInstance);
  if (firstSlow && IsTooSlow(then, kTokensPerEvent, Aim())) {
    // Its first cannot be replaced by an order.
    SwitchAttempt(ResultCode::kOutcomeUnknown);
    return true;
  }
  if (!next.empty() && IsMoveWorthwhile(held, then)) {
    Repath(std::move(next), MoveReason::kSlow);
  }
  return true;
}

LayerPath RelayRequest::Without(const std::set<std::string>& aInstances) {
  const PathQuery question = EngineQuestion();
  LayerPath next = WithoutIn(question, aInstances);
  const bool sawAll = question.mSampleShare >= 1;
  return !next.empty() || sawAll
             ? next
             : WithoutIn(EngineQuestion(SampleScope::kAllZones), aInstances);
}

LayerPath RelayRequest::WithoutIn(PathQuery aQuestion,
                                  const std::set<std::string>& aInstances) {
  PathQuery question = std::move(aQuestion);
  question.mPrefillTokens += mEvents;
  question.mStartsAtEngine = true;
  question.mCostJitter = kMoveSpread;
  for (const PathStage& part : mAttempt->mPath) {
    question.mExcludedEngines.insert(part.mInstance);
  }
  question.mExcludedEngines.insert(aInstances.begin(), aInstances.end());
  question.mExcludedEngines.insert(mAttempt->mRefusedParts.begin(),
                                   mAttempt->mRefusedParts.end());
  LayerPath next;
  for (std::size_t i = 0; i < mAttempt->mPath.size(); i++) {
    const PathStage& part = mAttempt->mPath[i];
    if (!aInstances.contains(part.mInstance)) {
      next.push_back(part);
      continue;
    }
    question.mLayers = part.mLayers;
    const UpstreamRecord* before =
        mContext.mRegistry.Find(mAttempt->mPath[i - 1].mInstance);
    question.mZone =
        before == nullptr ? mContext.mOptions.mZone : before->mZone;
    const PathResult answer = ChoosePath(question);
    if (answer.mPath.empty()) {
      return {};
    }
    SpendPipe(question, answer);
    for (const PathStage& added : answer.mPath) {
      question.mExcludedEngines.insert(added.mInstance);
      next.push_back(added);
    }
  }
  return next;
}

void RelayRequest::SpendPipe(const PathQuery& aQuestion,
                             const PathResult& aAnswer) {
  mContext.PipeOf(mService->mName)
      .Spend(*aQuestion.mProfile,
             aQuestion.mPrefillTokens + aQuestion.mAnswerTokens,
             aAnswer.mZoneCrossings);
}

void RelayRequest::Repath(LayerPath aPath, MoveReason aWhy) {
  const UpstreamRecord* first = mContext.mRegistry.Find(mAttempt->mInstance);
  if (first == nullptr || mAttempt->mMoves >= kMostMoves) {
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
  options.mOnEnd = [this, status, aWhy](StreamEnd) { EndOrder(*status, aWhy); };
  LogLine(LogLevel::kInfo, "repath")
      .Add("request", mFacts.mId)
      .Add("why", NameOf(aWhy))
      .Add("first", mAttempt->mInstance)
      .Add("silent_ms",
           static_cast<Json::Int64>(SteadyNow() - mAttempt->mHeardAt));
  mContext.mCounters.Add("moves", std::string("why=\"") + NameOf(aWhy) + "\"");
  const LayerPath added = PartsOnlyIn(aPath, mAttempt->mPath);
  mAttempt->mPathBefore = mAttempt->mPath;
  mAttempt->mSilentBefore = mAttempt->mSilentSince;
  SetPath(std::move(aPath));
  mAttempt->mMovedAt = SteadyNow();
  mAttempt->mSilentSince = mContext.mLoop.RunningNow();
  BeginReading(added);
  WatchAttempt();
  mAttempt->mOrder = StartStreamCall(mContext.mLoop, std::move(options));
}

void RelayRequest::SetPath(LayerPath aPath) {
  EndReading();
  CountLoad(-1);
  mAttempt->mPath = std::move(aPath);
  CountLoad(1);
}

void RelayRequest::EndOrder(int aStatus, MoveReason aWhy) {
  LogLine(LogLevel::kInfo, "repath_answered")
      .Add("request", mFacts.mId)
      .Add("status", aStatus);
  if (mAttempt == nullptr || mAttempt->mOrder == nullptr) {
    return;
  }
  // It is on the stack.
  const std::shared_ptr<StreamCall> order = std::move(mAttempt->mOrder);
  mContext.mLoop.Post([order] {});
  if (aStatus >= kLeastRefusal) {
    UndoMove(aWhy);
  }
}

void RelayRequest::UndoMove(MoveReason aWhy) {
  const LayerPath refused = mAttempt->mPath;
  const LayerPath before = std::move(mAttempt->mPathBefore);
  std::set<std::string> left;
  for (const PathStage& part : PartsOnlyIn(before, refused)) {
    left.insert(part.mInstance);
  }
  for (const PathStage& part : PartsOnlyIn(refused, before)) {
    mAttempt->mRefusedParts.insert(part.mInstance);
  }
  SetPath(before);
  const bool heardSince = mAttempt->mHeardAt > mAttempt->mMovedAt;
  if (!heardSince) {
    mAttempt->mSilentSince = mAttempt->mSilentBefore;
  }
  WatchAttempt();
  if (aWhy != MoveReason::kSlow) {
    MoveOff(left, aWhy);
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
  for (const PathStage& part : mAttempt->mPath) {
    instances.push_back(part.mInstance);
  }
  const StreamStallTimeouts patience =
      StallTimeoutsOf(EstimateTiming(EngineQuestion(), mAttempt->mPath),
                      kTokensPerEvent, Aim());
  mContext.mGuard->Watch().Begin(
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
    mAttempt->mLeaveAt = now + kLeaveAfter;
    SwitchAttempt(ResultCode::kOutcomeUnknown);
    return;
  }
  // Not by the clock: after a standstill of this process timers come before
  // what waits in its sockets, and all its streams would begin anew elsewhere.
  const Millis silent = mContext.mLoop.RunningNow() - mAttempt->mSilentSince;
  const bool begun = mAttempt->mHeardAt > mAttempt->mStartedAt;
  const Millis most = begun ? kSilenceBetween : kSilenceBeforeFirst;
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
  NoteLost();
  mMayHaveRun = true;
  mSent++;
  DropAttempt();
  mContext.mCounters.Add("retries");
  mAttempt = std::move(next);
  mAttempt->mStartedAt = SteadyNow();
  mAttempt->mHeardAt = mAttempt->mStartedAt;
  mAttempt->mSilentSince = mContext.mLoop.RunningNow();
  Send(*first);
  return true;
}

}  // namespace spindleweir
