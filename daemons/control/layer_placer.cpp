#include "daemons/control/layer_placer.h"

#include <deque>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 200;
/// A service is planned once its number of engines has been the same for
/// kStableWindow, so that engines that start together are planned together, or
/// kMaxStabilityWait after the service was first seen.
constexpr Millis kStableWindow = 1300;
constexpr Millis kMaxStabilityWait = 3000;
/// An order that has no effect within this time is planned again.
constexpr Millis kOrderEffectTimeout = 15000;
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpMisdirected = 421;
constexpr int kHttpUnavailable = 503;
/// If there are more orders than this at once, all controls send a part of
/// them: 3,000 orders take 0.6 s of a core, which is 4 s on a leader that has
/// 0.15 cores.
constexpr std::size_t kMaxLocalOrders = 200;
constexpr Millis kForwardTimeout = 1000;
/// Orders are forwarded only to controls that were seen within this window.
constexpr Millis kControlSeenWindow = 1500;

}  // namespace

bool LayerPlacer::Pending::Refused() const {
  return mStatus != 0 && mStatus != kHttpOk && mStatus != kHttpAccepted;
}

LayerPlacer::LayerPlacer(ControlContext& aContext,
                         ReplicatedConfiguration& aLog, SyncService& aSync)
    : mContext(aContext),
      mLog(aLog),
      mSync(aSync),
      mSender(aContext,
              {.mIsCurrent =
                   [this](const ForwardedOrder& aOrder, std::int64_t aFence) {
                     return IsCurrent(aOrder, aFence);
                   },
               .mOnAnswered =
                   [this](const ForwardedOrder& aOrder, int aStatus) {
                     OnOrderAnswered(aOrder, aStatus);
                   }}) {
  mContext.mDispatcher.On(
      rpc_method::kOrders, [this](const Json::Value& aMessage) {
        OnForwardedOrders(FromJson<ForwardedOrders>(aMessage));
        return Json::Value(Json::objectValue);
      });
  mContext.mDispatcher.On(
      rpc_method::kOrderRefused, [this](const Json::Value& aMessage) {
        const auto refusal = FromJson<OrderRefusal>(aMessage);
        RecordStatus(refusal.mOrder, refusal.mStatus);
        return Json::Value(Json::objectValue);
      });
  mTimer = mContext.mLoop.Every(kStepInterval, [this] { Step(); });
}

bool LayerPlacer::IsCurrent(const ForwardedOrder& aOrder, std::int64_t aFence) {
  const UpstreamRecord* engine = mSync.Registry().Find(aOrder.mInstance);
  const bool restarted =
      engine != nullptr && aOrder.mStart > 0 && engine->mStart > aOrder.mStart;
  // A control that is not a voter learns of no terms, so its term is at most
  // the fence.
  return !restarted && mLog.Raft().Term() <= aFence;
}

void LayerPlacer::Step() {
  if (!mLog.Raft().Leads()) {
    mPending.clear();
    mLostAddresses.clear();
    return;
  }
  std::erase_if(mLostAddresses, [this](const auto& aItem) {
    return mSync.Registry().Find(aItem.first) == nullptr;
  });
  for (const TrafficService& service : mSync.Traffic().mServices) {
    if (service.IsEngine()) {
      PlaceService(service);
    }
  }
}

bool LayerPlacer::IsStable(const std::string& aService, std::size_t aCount,
                           Millis aNow) {
  Stability& stability = mStability[aService];
  if (stability.mSince == 0) {
    stability = {aCount, aNow, aNow};
  }
  if (stability.mCount != aCount) {
    stability.mCount = aCount;
    stability.mChangedAt = aNow;
  }
  return aNow - stability.mChangedAt >= kStableWindow ||
         aNow - stability.mSince >= kMaxStabilityWait;
}

bool LayerPlacer::IsUsable(const UpstreamRecord& aEngine,
                           const std::set<std::string>& aLost) const {
  if (aEngine.mState != UpstreamState::kReady ||
      aLost.contains(aEngine.mInstance)) {
    return false;
  }
  const auto it = mLostAddresses.find(aEngine.mInstance);
  return it == mLostAddresses.end() || aEngine.mStart != it->second.mStart ||
         aEngine.mSequence > it->second.mSequence;
}

void LayerPlacer::PlaceService(const TrafficService& aService) {
  const Millis now = SteadyNow();
  const std::set<std::string> lost = mSync.Unreachable();
  std::vector<const UpstreamRecord*> engines;
  // Engines with a pending order, with the layers that they will hold.
  std::deque<UpstreamRecord> pendingEngines;
  for (const UpstreamRecord* record :
       mSync.Registry().OfService(aService.mName)) {
    if (!IsUsable(*record, lost)) {
      mPending.erase(record->mInstance);
      continue;
    }
    engines.push_back(record);
    const auto it = mPending.find(record->mInstance);
    if (it == mPending.end()) {
      continue;
    }
    const bool done = record->mLayers == it->second.mLayers;
    const bool timedOut = now - it->second.mSentAt > kOrderEffectTimeout;
    const bool restarted = record->mStart != it->second.mStart;
    if (done || it->second.Refused() || timedOut || restarted) {
      mPending.erase(it);
      continue;
    }
    pendingEngines.push_back(*record);
    pendingEngines.back().mLayers = it->second.mLayers;
    pendingEngines.back().mBusy = true;
    engines.back() = &pendingEngines.back();
  }
  if (engines.empty() || !IsStable(aService.mName, engines.size(), now)) {
    return;
  }
  const std::set<std::string> cutOff = CutOffZones(aService.mName, lost);
  std::erase_if(engines, [&cutOff](const UpstreamRecord* aRecord) {
    return cutOff.contains(aRecord->mZone);
  });
  SendOrders(Plan(aService, engines));
}

std::vector<LayerOrder> LayerPlacer::Plan(
    const TrafficService& aService,
    const std::vector<const UpstreamRecord*>& aViews) {
  PlanInput input{.mVersion = mSync.Traffic().mVersion, .mEngines = {}};
  for (const UpstreamRecord* view : aViews) {
    input.mEngines.push_back(
        {view->mInstance, view->mStart, view->mLayers, view->mBusy});
  }
  PlanInput& lastInput = mLastPlanInputs[aService.mName];
  if (lastInput == input) {
    return {};
  }
  std::vector<LayerOrder> orders = PlanLayers(aService.mEngine, aViews);
  lastInput = orders.empty() ? std::move(input) : PlanInput();
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

void LayerPlacer::SendOrders(const std::vector<LayerOrder>& aOrders) {
  const std::int64_t fence = mLog.Raft().Term();
  std::vector<std::string> controls = {mContext.mOptions.mId};
  if (aOrders.size() > kMaxLocalOrders) {
    for (const ControlInfo& info :
         mSync.Directory().SeenWithin(kControlSeenWindow, SteadyNow())) {
      if (info.mId != mContext.mOptions.mId) {
        controls.push_back(info.mId);
      }
    }
  }
  std::vector<ForwardedOrders> parts(controls.size());
  for (const LayerOrder& order : aOrders) {
    const UpstreamRecord* engine = mSync.Registry().Find(order.mInstance);
    if (engine == nullptr) {
      continue;
    }
    mPending[order.mInstance] = {.mLayers = order.mLayers,
                                 .mStart = engine->mStart,
                                 .mSentAt = SteadyNow()};
    const std::size_t part = FastHash(order.mInstance) % parts.size();
    parts[part].mOrders.push_back(
        {order.mInstance, engine->mAddress, order.mLayers, engine->mStart});
  }
  for (const ForwardedOrder& order : parts.front().mOrders) {
    mSender.Send(order, fence);
  }
  for (std::size_t i = 1; i < parts.size(); i++) {
    parts[i].mFence = fence;
    parts[i].mLeader = mContext.mOptions.mId;
    ForwardOrders(AddressOfControl(controls[i]), std::move(parts[i]));
  }
}

void LayerPlacer::ForwardOrders(const Endpoint& aControl,
                                ForwardedOrders aOrders) {
  LogLine(LogLevel::kInfo, "orders_handed_over")
      .Add("control", aControl.Text())
      .Add("orders", static_cast<int>(aOrders.mOrders.size()))
      .Add("fence", static_cast<Json::Int64>(aOrders.mFence));
  const Json::Value message = ToJson(aOrders);
  mContext.mRpc.Call(
      aControl, rpc_method::kOrders, message, kForwardTimeout,
      [this, orders = std::move(aOrders.mOrders)](const RpcResult& aResult) {
        if (aResult.mOk) {
          return;
        }
        // These orders are planned again. If one was sent despite the failure,
        // its engine has the layers by then.
        for (const ForwardedOrder& order : orders) {
          RecordStatus(order, kHttpUnavailable);
        }
      });
}

void LayerPlacer::OnForwardedOrders(const ForwardedOrders& aOrders) {
  if (aOrders.mFence < mLog.Raft().Term()) {
    throw Error(ResultCode::kNotLeader,
                "the orders are of an earlier term than this control's");
  }
  mForwardingLeader = aOrders.mLeader;
  for (const ForwardedOrder& order : aOrders.mOrders) {
    mSender.Send(order, aOrders.mFence);
  }
}

void LayerPlacer::OnOrderAnswered(const ForwardedOrder& aOrder, int aStatus) {
  if (mLog.Raft().Leads()) {
    RecordStatus(aOrder, aStatus);
    return;
  }
  const bool accepted = aStatus == kHttpOk || aStatus == kHttpAccepted;
  if (!accepted && !mForwardingLeader.empty()) {
    mContext.mRpc.Call(
        AddressOfControl(mForwardingLeader), rpc_method::kOrderRefused,
        ToJson(OrderRefusal{aOrder, aStatus}), kForwardTimeout, nullptr);
  }
}

void LayerPlacer::RecordStatus(const ForwardedOrder& aOrder, int aStatus) {
  const auto it = mPending.find(aOrder.mInstance);
  if (it != mPending.end() && it->second.mLayers == aOrder.mLayers &&
      it->second.mStart == aOrder.mStart) {
    it->second.mStatus = aStatus;
  }
  if (aStatus == kHttpMisdirected) {
    RecordLostAddress(aOrder);
  }
}

void LayerPlacer::RecordLostAddress(const ForwardedOrder& aOrder) {
  const UpstreamRecord* engine = mSync.Registry().Find(aOrder.mInstance);
  if (engine == nullptr || engine->mStart != aOrder.mStart) {
    return;
  }
  mLostAddresses[aOrder.mInstance] = {.mStart = engine->mStart,
                                      .mSequence = engine->mSequence};
  LogLine(LogLevel::kWarning, "engine_address_lost")
      .Add("instance", aOrder.mInstance)
      .Add("address", aOrder.mAddress);
}

}  // namespace spindleweir
