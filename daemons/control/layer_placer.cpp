#include "daemons/control/layer_placer.h"

#include "daemons/engine_call.h"
#include "spindleweir/core/log.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

namespace {

constexpr Millis kStepPeriod = 200;
/// Engines that start together are planned together.
constexpr Millis kSettleQuiet = 1300;
constexpr Millis kSettleMost = 3000;
constexpr Millis kOrderTimeout = 1000;
/// An order that shows no effect for so long is given again.
constexpr Millis kOrderForgotten = 15000;
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

}  // namespace

LayerPlacer::LayerPlacer(ControlContext& aContext,
                         ReplicatedConfiguration& aLog, SyncService& aSync)
    : mContext(aContext), mLog(aLog), mSync(aSync) {
  mTimer = mContext.mLoop.Every(kStepPeriod, [this] { Step(); });
}

void LayerPlacer::Step() {
  if (!mLog.Raft().Leads()) {
    mPending.clear();
    return;
  }
  for (const TrafficService& service : mSync.Traffic().mServices) {
    if (service.IsEngine()) {
      PlaceService(service);
    }
  }
}

bool LayerPlacer::Settled(const std::string& aService, std::size_t aCount,
                          Millis aNow) {
  Settling& settling = mSettling[aService];
  if (settling.mSince == 0) {
    settling = {aCount, aNow, aNow};
  }
  if (settling.mCount != aCount) {
    settling.mCount = aCount;
    settling.mChangedAt = aNow;
  }
  return aNow - settling.mChangedAt >= kSettleQuiet ||
         aNow - settling.mSince >= kSettleMost;
}

void LayerPlacer::PlaceService(const TrafficService& aService) {
  const Millis now = SteadyNow();
  const std::set<std::string> lost = mSync.Unreachable();
  std::vector<UpstreamRecord> engines;
  for (const UpstreamRecord* record :
       mSync.Registry().OfService(aService.mName)) {
    if (record->mState != UpstreamState::kReady ||
        lost.contains(record->mInstance)) {
      mPending.erase(record->mInstance);
      continue;
    }
    engines.push_back(*record);
    const auto it = mPending.find(record->mInstance);
    if (it == mPending.end()) {
      continue;
    }
    const bool done = record->mLayers == it->second.mLayers;
    const bool refused = it->second.mStatus != 0 &&
                         it->second.mStatus != kHttpOk &&
                         it->second.mStatus != kHttpAccepted;
    if (done || refused || now - it->second.mSentAt > kOrderForgotten) {
      mPending.erase(it);
    } else {
      engines.back().mLayers = it->second.mLayers;
      engines.back().mBusy = true;
    }
  }
  if (engines.empty() || !Settled(aService.mName, engines.size(), now)) {
    return;
  }
  const std::set<std::string> cutOff = CutOffZones(aService.mName, lost);
  std::vector<const UpstreamRecord*> views;
  for (const UpstreamRecord& record : engines) {
    if (!cutOff.contains(record.mZone)) {
      views.push_back(&record);
    }
  }
  for (const LayerOrder& order : Plan(aService, views)) {
    const UpstreamRecord* engine = mSync.Registry().Find(order.mInstance);
    if (engine != nullptr) {
      Order(*engine, order.mLayers);
    }
  }
}

std::vector<LayerOrder> LayerPlacer::Plan(
    const TrafficService& aService,
    const std::vector<const UpstreamRecord*>& aViews) {
  Planned asked{.mVersion = mSync.Traffic().mVersion, .mEngines = {}};
  for (const UpstreamRecord* view : aViews) {
    asked.mEngines.push_back({view->mInstance, view->mLayers, view->mBusy});
  }
  Planned& planned = mPlanned[aService.mName];
  if (planned == asked) {
    return {};
  }
  std::vector<LayerOrder> orders = PlanLayers(aService.mEngine, aViews);
  planned = orders.empty() ? std::move(asked) : Planned();
  return orders;
}

std::set<std::string> LayerPlacer::CutOffZones(
    const std::string& aService, const std::set<std::string>& aLost) const {
  std::map<std::string, int> balance;
  for (const UpstreamRecord* record : mSync.Registry().OfService(aService)) {
    if (record->mState == UpstreamState::kSilent ||
        aLost.contains(record->mInstance)) {
      balance[record->mZone]++;
    } else if (record->mState == UpstreamState::kReady) {
      balance[record->mZone]--;
    }
  }
  std::set<std::string> zones;
  for (const auto& [zone, more] : balance) {
    if (more >= 0) {
      zones.insert(zone);
    }
  }
  return zones;
}

void LayerPlacer::Order(const UpstreamRecord& aEngine,
                        const LayerRange& aLayers) {
  PlaceOrder order;
  order.mLayers = aLayers;
  order.mFence = mLog.Raft().Term();
  Pending& pending = mPending[aEngine.mInstance];
  pending.mLayers = aLayers;
  pending.mSentAt = SteadyNow();
  pending.mStatus = 0;
  StreamCallOptions options =
      CallOf(mContext.mOptions.mEngines.mWritePlace(order), aEngine.mAddress,
             kOrderTimeout);
  const std::string instance = aEngine.mInstance;
  options.mOnHead = [this, instance, aLayers](const AnswerHead& aHead) {
    mPending[instance].mStatus = aHead.mStatus;
    LogLine(LogLevel::kInfo, "order_answered")
        .Add("instance", instance)
        .Add("from", aLayers.mFrom)
        .Add("to", aLayers.mTo)
        .Add("status", aHead.mStatus);
  };
  LogLine(LogLevel::kInfo, "order")
      .Add("instance", instance)
      .Add("address", aEngine.mAddress)
      .Add("zone", aEngine.mZone)
      .Add("kind", aEngine.mKind)
      .Add("from", aLayers.mFrom)
      .Add("to", aLayers.mTo)
      .Add("fence", static_cast<Json::Int64>(order.mFence));
  pending.mCall = StartStreamCall(mContext.mLoop, std::move(options));
}

}  // namespace spindleweir
