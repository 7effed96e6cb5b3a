#include "daemons/router/stewardship.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/servers/placement/placement_planner.h"

namespace spindleweir {

namespace {

constexpr Millis kTickInterval = 100;
/// The first round is the incarnation in ms times this. A process makes fewer
/// rounds per millisecond, so that a restart never reuses a round.
constexpr std::int64_t kRoundsPerMilli = 1000;
constexpr Millis kLeaseTimeout = 500;
/// An order that shows no effect in a report is sent again after this time.
constexpr Millis kOrderRetryInterval = 2000;
/// An engine without a report for this time is left out of the placement.
constexpr Millis kEngineTimeout = 1200;
constexpr Millis kRepairDelay = 200;
/// A repair moves loaded stages only for twice the throughput, because each
/// move takes an engine out of service while it loads. Operators can plan moves
/// for smaller gains.
constexpr double kRepairHysteresis = 0.5;

}  // namespace

Stewardship::Stewardship(RouterContext& aContext, RpcDispatcher& aDispatcher)
    : mContext(aContext) {
  aDispatcher.On(rpc_method::kLease, [this](const Json::Value& aMessage) {
    if (mVoter == nullptr) {
      throw Error(ResultCode::kNotReady, "list of entry VMs is not loaded yet");
    }
    return ToJson(
        mVoter->Handle(FromJson<LeaseRequest>(aMessage), SteadyNow()));
  });
  mContext.mEntryVms.SignalChanged().connect(
      [this](const EntryVms& aVms) { Start(aVms); });
  mTimer = mContext.mLoop.Every(kTickInterval, [this] { Tick(); });
}

void Stewardship::Start(const EntryVms& aVms) {
  const std::size_t voters =
      aVms.OfRole(EntryRole::kRouter, mContext.mOptions.mZone).size();
  if (voters == mVoters || voters == 0) {
    return;
  }
  mVoters = voters;
  LeaseOptions options;
  options.mId = mContext.mOptions.mId;
  options.mVoters = voters;
  options.mFirstRound =
      mContext.mIncarnation * kRoundsPerMilli + mHoldersCreated++;
  options.mFirstEpoch = WallNow();
  options.mRandom = [this] { return mContext.Random(); };
  const Millis now = SteadyNow();
  if (mVoter == nullptr) {
    mVoter = std::make_unique<LeaseVoter>(options, now);
  }
  mHolder = std::make_unique<LeaseHolder>(
      options, now,
      [this](const LeaseRequest& aRequest) { Broadcast(aRequest); });
}

void Stewardship::Broadcast(const LeaseRequest& aRequest) {
  for (const EntryVm& vm : mContext.mEntryVms.Current().OfRole(
           EntryRole::kRouter, mContext.mOptions.mZone)) {
    if (vm.mId == mContext.mOptions.mId) {
      mHolder->Handle(mVoter->Handle(aRequest, SteadyNow()), SteadyNow());
      continue;
    }
    mContext.mRpc.Call(
        vm.mAddress, rpc_method::kLease, ToJson(aRequest), kLeaseTimeout,
        [this](const RpcResult& aResult) {
          if (aResult.mOk) {
            mHolder->Handle(FromJson<LeaseReply>(aResult.mAnswer), SteadyNow());
          }
        });
  }
}

void Stewardship::Tick() {
  if (mHolder == nullptr) {
    return;
  }
  const Millis now = SteadyNow();
  const std::string& zone = mContext.mOptions.mZone;
  mHolder->Tick(now);
  const bool holds = mHolder->Holds(now);
  LogLease(holds);
  const std::vector<EngineReport> engines = mContext.mView.LiveEngines(
      zone, kEngineTimeout, mContext.mLoop.RunningNow());
  for (const EngineReport& engine : engines) {
    mHolder->OnEpochSeen(engine.mEpoch);
  }
  if (!holds || mContext.AcceptedConfiguration().mVersion == 0 ||
      !mContext.mView.Complete(zone, mContext.mLoop.RunningNow())) {
    return;
  }
  UpdateTarget(engines, now);
  const std::vector<EngineOrder> orders =
      PlanOrders({.mPlacement = mTargetPlacement,
                  .mEngines = engines,
                  .mMaxLoads = mContext.mOptions.mMaxLoads});
  for (const EngineOrder& order : orders) {
    Send(order);
  }
}

void Stewardship::LogLease(bool aHolds) {
  if (aHolds == mLeaseHeld) {
    return;
  }
  mLeaseHeld = aHolds;
  // A target that was planned under an earlier lease may be out of date.
  mTargetVersion = 0;
  mContext.mCounters.Set("steward", aHolds ? 1 : 0);
  LogLine(LogLevel::kInfo,
          aHolds ? "steward_lease_taken" : "steward_lease_ended")
      .Add("zone", mContext.mOptions.mZone)
      .Add("epoch", static_cast<Json::Int64>(mHolder->Epoch()));
}

void Stewardship::UpdateTarget(std::span<const EngineReport> aEngines,
                               Millis aNow) {
  const Configuration& accepted = mContext.AcceptedConfiguration();
  if (mTargetVersion != accepted.mVersion) {
    mTargetVersion = accepted.mVersion;
    mTargetPlacement.clear();
    mPlannedEngines.clear();
    for (const StagePlacement& stage : accepted.mPlacement) {
      if (stage.mZone == mContext.mOptions.mZone) {
        mTargetPlacement.push_back(stage);
        mPlannedEngines.insert(stage.mEngine);
      }
    }
  }
  std::set<std::string> usable;
  for (const EngineReport& engine : aEngines) {
    if (!engine.mLeaving) {
      usable.insert(engine.mEngine);
    }
  }
  if (usable != mLastUsable) {
    mLastUsable = usable;
    mUsableSince = aNow;
  }
  // Simultaneous losses are detected at slightly different times. The delay
  // lets one plan repair them all.
  if (usable != mPlannedEngines && aNow - mUsableSince >= kRepairDelay) {
    Repair(aEngines, usable);
  }
}

void Stewardship::Repair(std::span<const EngineReport> aEngines,
                         const std::set<std::string>& aUsable) {
  Configuration current;
  current.mPlacement = mTargetPlacement;
  const std::set<std::string> none;
  const Plan plan =
      MakePlan({.mIntent = mContext.AcceptedConfiguration().mIntent,
                .mCurrent = current,
                .mEngines = aEngines,
                .mUnusable = none,
                .mHysteresis = kRepairHysteresis});
  int moves = 0;
  for (const PlanChange& change : plan.mChanges) {
    moves += change.mAction == "move" || change.mAction == "load" ? 1 : 0;
  }
  LogLine line(LogLevel::kInfo, "placement");
  line.Add("zone", mContext.mOptions.mZone)
      .Add("reason", "the zone's usable engines changed")
      .Add("engines_before", static_cast<int>(mPlannedEngines.size()))
      .Add("engines", static_cast<int>(aUsable.size()))
      .Add("moves", moves)
      .Add("configuration", static_cast<Json::Int64>(mTargetVersion));
  for (const std::string& warning : plan.mWarnings) {
    line.Add("short", warning);
  }
  mContext.mCounters.Add("repairs");
  mTargetPlacement = plan.mPlacement;
  mPlannedEngines = aUsable;
}

void Stewardship::Send(const EngineOrder& aOrder) {
  const Millis now = SteadyNow();
  const std::string& engine = aOrder.mStage.mEngine;
  const auto last = mLastOrderAt.find(engine);
  if (last != mLastOrderAt.end() && now - last->second < kOrderRetryInterval) {
    return;
  }
  const Upstream* upstream = mContext.mView.Find(engine);
  if (upstream == nullptr) {
    return;
  }
  mLastOrderAt[engine] = now;
  LogLine(LogLevel::kInfo, "order")
      .Add("engine", engine)
      .Add("kind", aOrder.mKind == OrderKind::kLoad ? "load" : "drop")
      .Add("model", aOrder.mStage.mModel)
      .Add("first", aOrder.mStage.mFirst)
      .Add("last", aOrder.mStage.mLast)
      .Add("gain_tokens_per_second", aOrder.mGain)
      .Add("epoch", static_cast<Json::Int64>(mHolder->Epoch()))
      .Add("configuration",
           static_cast<Json::Int64>(mContext.AcceptedConfiguration().mVersion));
  mContext.mCounters.Add("orders");
  mContext.mEngines.SendOrder(
      upstream->mAddress, aOrder, mHolder->Epoch(),
      [this, engine](bool aAccepted) {
        if (!aAccepted) {
          mContext.mCounters.Add("orders_refused");
          LogLine(LogLevel::kWarning, "order_refused").Add("engine", engine);
        }
      });
}

void Stewardship::Stop() {
  if (mHolder != nullptr) {
    mHolder->Release(SteadyNow());
  }
}

}  // namespace spindleweir
