#include "daemons/control/inventory.h"

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr Millis kPollInterval = 1000;
constexpr Millis kPollTimeout = 900;
constexpr Millis kMaxReportAge = 3000;

}  // namespace

Inventory::Inventory(ControlContext& aContext,
                     std::function<std::int64_t()> aVersion)
    : mContext(aContext),
      mVersion(std::move(aVersion)),
      mView({}),
      mWatcher(
          aContext.mLoop, aContext.mClient, mView,
          {.mPlatform = aContext.mOptions.mPlatform, .mReportInterval = 500}) {
  mContext.mDispatcher.On(rpc_method::kPing,
                          [this](const Json::Value& aMessage) {
                            const auto state = FromJson<PeerState>(aMessage);
                            for (const LeaveNotice& notice : state.mLeaving) {
                              mLeaving.Add(notice);
                            }
                            return ToJson(LocalState());
                          });
  mTimer = mContext.mLoop.Every(kPollInterval, [this] { PollRouters(); });
}

PeerState Inventory::LocalState() const {
  PeerState state;
  state.mFrom = mContext.mOptions.mId;
  state.mZone = mContext.mOptions.mZone;
  state.mVersion = mVersion();
  state.mReady = true;
  state.mLeaving = mLeaving.Notices();
  return state;
}

void Inventory::PollRouters() {
  for (const EntryVm& router :
       mContext.mEntryVms.Current().OfRole(EntryRole::kRouter)) {
    mContext.mRpc.Call(router.mAddress, rpc_method::kRouterState,
                       Json::Value(Json::objectValue), kPollTimeout,
                       [this, id = router.mId](const RpcResult& aResult) {
                         if (aResult.mOk) {
                           mRouters[id] = {aResult.mAnswer, SteadyNow()};
                         }
                       });
  }
  mLeaving.Retain(mView.Names(), SteadyNow());
  for (const EngineReport& report : Engines()) {
    mLeaving.OnSeen(report.mEngine, report.mIncarnation);
  }
}

bool Inventory::Complete() const {
  return mView.Complete("", mContext.mLoop.RunningNow());
}

std::vector<EngineReport> Inventory::Engines() const {
  return mView.LiveEngines("", kMaxReportAge, mContext.mLoop.RunningNow());
}

Json::Value Inventory::State() const {
  Json::Value state(Json::objectValue);
  state["routers"] = Json::Value(Json::arrayValue);
  for (const auto& [id, report] : mRouters) {
    Json::Value item = report.mState;
    item["heard_ms_ago"] =
        static_cast<Json::Int64>(SteadyNow() - report.mReceivedAt);
    state["routers"].append(item);
  }
  state["upstreams"] = Json::Value(Json::arrayValue);
  for (const auto& [vm, upstream] : mView.All()) {
    Json::Value item(Json::objectValue);
    item["vm"] = vm;
    item["zone"] = upstream.mZone;
    item["leaving"] = mView.IsLeaving(vm);
    if (upstream.mService.empty()) {
      item["report"] = ToJson(upstream.mReport);
    } else {
      item["service"] = upstream.mService;
    }
    state["upstreams"].append(item);
  }
  return state;
}

}  // namespace spindleweir
