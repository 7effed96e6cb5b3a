#include "daemons/router/stewardship.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/peer_messages.h"

namespace spindleweir {

namespace {

constexpr Millis kPeriod = 100;
/// Rounds that no start can reach within a millisecond of its run.
constexpr std::int64_t kRoundsPerMilli = 1000;
constexpr Millis kLeaseTimeout = 500;
/// An order that shows no effect in a report is given again after this.
constexpr Millis kOrderAgain = 2000;

}  // namespace

Stewardship::Stewardship(RouterContext& aContext, RpcDispatcher& aDispatcher)
    : mContext(aContext) {
  aDispatcher.On(rpc_method::kLease, [this](const Json::Value& aMessage) {
    if (mVoter == nullptr) {
      throw Error(ResultCode::kNotReady, "no list of entry VMs yet");
    }
    return ToJson(
        mVoter->Handle(FromJson<LeaseRequest>(aMessage), SteadyNow()));
  });
  mContext.mEntryVms.SignalChanged().connect(
      [this](const EntryVms& aVms) { Start(aVms); });
  mTimer = mContext.mLoop.Every(kPeriod, [this] { GiveOrders(); });
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
  options.mFirstRound = mContext.mIncarnation * kRoundsPerMilli + mStarts++;
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

void Stewardship::GiveOrders() {
  if (mHolder == nullptr) {
    return;
  }
  const Millis now = SteadyNow();
  mHolder->Tick(now);
  const bool holds = mHolder->Holds(now);
  if (holds != mHeld) {
    mHeld = holds;
    mContext.mCounters.Set("steward", holds ? 1 : 0);
    LogLine(LogLevel::kInfo,
            holds ? "steward_lease_taken" : "steward_lease_ended")
        .Add("zone", mContext.mOptions.mZone)
        .Add("epoch", static_cast<Json::Int64>(mHolder->Epoch()));
  }
  std::vector<EngineReport> engines;
  for (const auto& [vm, upstream] : mContext.mView.All()) {
    const bool known = upstream.mService.empty() && upstream.mReportedAt >= 0 &&
                       now - upstream.mReportedAt < kOrderAgain;
    if (upstream.mZone != mContext.mOptions.mZone || !known) {
      continue;
    }
    mHolder->SawEpoch(upstream.mReport.mEpoch);
    engines.push_back(upstream.mReport);
    engines.back().mLeaving =
        engines.back().mLeaving || mContext.mView.IsLeaving(vm);
  }
  if (!holds || mContext.mConfiguration.mVersion == 0) {
    return;
  }
  std::vector<StagePlacement> wanted;
  for (const StagePlacement& stage : mContext.mConfiguration.mPlacement) {
    if (stage.mZone == mContext.mOptions.mZone) {
      wanted.push_back(stage);
    }
  }
  const std::vector<EngineOrder> orders =
      PlanOrders({.mPlacement = wanted,
                  .mEngines = engines,
                  .mMaximumLoads = mContext.mOptions.mMaximumLoads});
  for (const EngineOrder& order : orders) {
    Send(order);
  }
}

void Stewardship::Send(const EngineOrder& aOrder) {
  const Millis now = SteadyNow();
  const std::string& engine = aOrder.mStage.mEngine;
  const auto last = mOrderedAt.find(engine);
  if (last != mOrderedAt.end() && now - last->second < kOrderAgain) {
    return;
  }
  const Upstream* upstream = mContext.mView.Find(engine);
  if (upstream == nullptr) {
    return;
  }
  mOrderedAt[engine] = now;
  LogLine(LogLevel::kInfo, "order")
      .Add("engine", engine)
      .Add("kind", aOrder.mKind == OrderKind::kLoad ? "load" : "drop")
      .Add("model", aOrder.mStage.mModel)
      .Add("first", aOrder.mStage.mFirst)
      .Add("last", aOrder.mStage.mLast)
      .Add("gain_tokens_per_second", aOrder.mGain)
      .Add("epoch", static_cast<Json::Int64>(mHolder->Epoch()))
      .Add("configuration",
           static_cast<Json::Int64>(mContext.mConfiguration.mVersion));
  mContext.mCounters.Add("orders");
  mContext.mEngines.SendOrder(
      upstream->mAddress, aOrder, mHolder->Epoch(),
      [this, engine](bool aTaken) {
        if (!aTaken) {
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
