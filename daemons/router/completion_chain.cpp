/// The parts of Completion that choose a chain and detect stalls.
#include <algorithm>

#include "daemons/router/completion.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kProbeTimeout = 300;
constexpr double kStallTimeoutChainCosts = 5;
constexpr int kMaxStallsMidStream = 3;
constexpr int kMaxStallsBeforeFirstToken = 10;

}  // namespace

bool Completion::ChooseStages() {
  const std::vector<ChainCandidate> candidates =
      mContext.mView.Candidates(mContext.mLoop.RunningNow());
  // Zones and hardware that both the workspace and the model allow.
  std::vector<std::string> zones = mModel.mZones;
  std::vector<std::string> hardware = mModel.mHardware;
  const auto intersect = [](std::vector<std::string>& aList,
                            const std::vector<std::string>& aAllowed) {
    if (aList.empty()) {
      aList = aAllowed;
    } else {
      std::erase_if(aList, [&aAllowed](const std::string& aName) {
        return !Allows(aAllowed, aName);
      });
    }
    return !aList.empty() || aAllowed.empty();
  };
  const bool possible = intersect(zones, mRequest.mWorkspace.mZones) &&
                        intersect(hardware, mRequest.mWorkspace.mHardware);
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
  Json::Value rejected(Json::objectValue);
  rejected["model"] = aChoice.mRejected.mOtherModel;
  rejected["unusable"] = aChoice.mRejected.mUnusable;
  rejected["zone"] = aChoice.mRejected.mZone;
  rejected["hardware"] = aChoice.mRejected.mHardware;
  rejected["excluded"] = aChoice.mRejected.mExcluded;
  LogLine(LogLevel::kInfo, "route")
      .Add("request", mRequest.mId)
      .Add("workspace", mRequest.mWorkspace.mName)
      .Add("model", mBody.mModel)
      .Add("attempt", mTokenFilter.Attempt() + 1)
      .Add("from_token", mTokenFilter.Delivered())
      .Add("candidates", aChoice.mConsidered)
      .Add("refused", rejected)
      .Add("chain", chain)
      .Add("cost_ms", aChoice.mCostMillis)
      .Add("configuration",
           static_cast<Json::Int64>(mContext.AcceptedConfiguration().mVersion));
}

ChainJob Completion::MakeJob() const {
  ChainJob job;
  job.mRequest = mRequest.mId;
  job.mAttempt = mTokenFilter.Attempt();
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

Millis Completion::StallTimeout() const {
  const auto expected =
      static_cast<Millis>(mChainCost * kStallTimeoutChainCosts);
  return std::max(mContext.mOptions.mStallTimeout, expected);
}

void Completion::StartStallTimer() {
  mLastProgressAt = SteadyNow();
  mStallTimer =
      mContext.mLoop.After(StallTimeout(), [this] { OnStallTimer(); });
}

void Completion::OnStallTimer() {
  // A token only updates mLastProgressAt, so the timer may fire too early.
  const Millis left = mLastProgressAt + StallTimeout() - SteadyNow();
  if (left > 0) {
    mStallTimer = mContext.mLoop.After(left, [this] { OnStallTimer(); });
    return;
  }
  if (mBackpressureTimer != nullptr) {
    StartStallTimer();
    return;
  }
  mConsecutiveStalls++;
  ProbeStages();
}

void Completion::ProbeStages() {
  /// Number of pending probes, and the engines that did not answer.
  struct Probes {
    std::size_t mPending;
    std::set<std::string> mSilent;
  };
  const auto probes = std::make_shared<Probes>(Probes{mStages.size(), {}});
  const int attempt = mTokenFilter.Attempt();
  for (const StagePlacement& stage : mStages) {
    const Upstream* engine = mContext.mView.Find(stage.mEngine);
    if (engine == nullptr) {
      probes->mPending--;
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
          probes->mPending--;
          if (probes->mPending == 0 &&
              self->mTokenFilter.Attempt() == attempt) {
            self->OnProbesDone(probes->mSilent);
          }
        });
  }
  if (probes->mPending == 0) {
    OnProbesDone(probes->mSilent);
  }
}

void Completion::OnProbesDone(const std::set<std::string>& aSilent) {
  if (mPhase != Phase::kRunning || mCall == nullptr) {
    return;
  }
  if (mConsecutiveStalls == 0) {
    // A token arrived while the probes were pending.
    StartStallTimer();
    return;
  }
  if (!aSilent.empty()) {
    ReplaceChain("silent", aSilent);
    return;
  }
  // All engines answer, so the cause is a long queue, a long prefill, or a
  // broken link between two engines. The chain is replaced after several stalls
  // without marking an engine as failed. The limit is higher before the first
  // token, when a queue is the more likely cause.
  const int limit = mTokenFilter.Delivered() > 0 ? kMaxStallsMidStream
                                                 : kMaxStallsBeforeFirstToken;
  if (mConsecutiveStalls >= limit) {
    ReplaceChain("no token though all engines answer", {});
    return;
  }
  StartStallTimer();
}

}  // namespace spindleweir
