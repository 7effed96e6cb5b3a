#include "daemons/router/peer_link.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kTickPeriod = 50;
constexpr Millis kSharePeriod = 100;
constexpr Millis kReceiptPeriod = 200;
constexpr Millis kProbeTimeout = 800;
constexpr Millis kPullTimeout = 1000;
constexpr Millis kReceiptTimeout = 2000;
constexpr std::size_t kReceiptsPerBatch = 256;

MemberTableOptions MakeMemberOptions(RouterContext& aContext) {
  MemberTableOptions options;
  options.mId = aContext.mOptions.mId;
  options.mIncarnation = aContext.mIncarnation;
  options.mSeed = static_cast<std::uint64_t>(aContext.mIncarnation);
  return options;
}

}  // namespace

PeerLink::PeerLink(RouterContext& aContext, RpcDispatcher& aDispatcher)
    : mContext(aContext),
      mMembers(
          [this, &aContext] {
            MemberTableOptions options = MakeMemberOptions(aContext);
            options.mSendProbe = [this](const std::string& aTarget,
                                        const std::string& aVia) {
              Probe(aTarget, aVia);
            };
            options.mOnStateChange = [this](const MemberUpdate& aUpdate) {
              LogLine(LogLevel::kInfo, "member")
                  .Add("id", aUpdate.mId)
                  .Add("state", NameOf(aUpdate.mState));
              mContext.mCounters.Add(
                  "member_changes",
                  "state=\"" + std::string(NameOf(aUpdate.mState)) + "\"");
            };
            return options;
          }(),
          SteadyNow()) {
  RegisterMethods(aDispatcher);
  mContext.mEntryVms.SignalChanged().connect(
      [this](const EntryVms& aVms) { SetPeers(aVms); });
  mTickTimer = mContext.mLoop.Every(kTickPeriod, [this] {
    mMembers.Tick(SteadyNow());
    UpdateReadiness();
  });
  mReceiptTimer =
      mContext.mLoop.Every(kReceiptPeriod, [this] { HandReceiptsOver(); });
}

void PeerLink::RegisterMethods(RpcDispatcher& aDispatcher) {
  aDispatcher.On(rpc_method::kPing, [this](const Json::Value& aMessage) {
    Learn(FromJson<PeerState>(aMessage));
    return ToJson(OwnState());
  });
  aDispatcher.On(rpc_method::kPingVia, [this](const Json::Value& aMessage) {
    ProbeFor(FromJson<IndirectProbe>(aMessage));
    return Json::Value(Json::objectValue);
  });
  aDispatcher.On(rpc_method::kAnswered, [this](const Json::Value& aMessage) {
    mMembers.OnProbeAnswered(FromJson<IndirectProbe>(aMessage).mTarget,
                             SteadyNow());
    return Json::Value(Json::objectValue);
  });
  aDispatcher.On(rpc_method::kGetConfiguration,
                 [this](const Json::Value& aMessage) {
                   return ToJson(mContext.mHistory.UpdateFor(
                       FromJson<ConfigurationRequest>(aMessage)));
                 });
  aDispatcher.On(rpc_method::kPushConfiguration,
                 [this](const Json::Value& aMessage) {
                   TakeNews(FromJson<ConfigurationUpdate>(aMessage));
                   return Json::Value(Json::objectValue);
                 });
  aDispatcher.On(rpc_method::kRouterState,
                 [this](const Json::Value&) { return StateForOperators(); });
}

void PeerLink::SetPeers(const EntryVms& aVms) {
  std::vector<std::string> ids;
  for (const EntryVm& vm : aVms.All()) {
    ids.push_back(vm.mId);
  }
  mMembers.SetMembers(ids, SteadyNow());
  if (mContext.mReady) {
    return;
  }
  // Before it serves, it hears each peer of its zone and each control once.
  for (const EntryVm& vm : aVms.All()) {
    const bool wanted =
        vm.mZone == mContext.mOptions.mZone || vm.mRole == EntryRole::kControl;
    if (wanted && vm.mId != mContext.mOptions.mId &&
        mToAskFirst.insert(vm.mId).second) {
      Probe(vm.mId, "");
    }
  }
}

PeerState PeerLink::OwnState() {
  PeerState state;
  state.mFrom = mContext.mOptions.mId;
  state.mZone = mContext.mOptions.mZone;
  state.mVersion = mContext.Accepted().mVersion;
  state.mReady = mContext.mReady;
  state.mUpdates = mMembers.NextGossip();
  state.mLeaving = mContext.mLeaving.Notices();
  state.mDemands = mContext.mLimiter.Demands(SteadyNow());
  return state;
}

void PeerLink::Learn(const PeerState& aState) {
  mMembers.ApplyUpdates(aState.mUpdates, SteadyNow());
  bool news = false;
  for (const LeaveNotice& word : aState.mLeaving) {
    news = mContext.AddLeavingWord(word, aState.mFrom) || news;
  }
  if (news) {
    mContext.RefreshLeaving();
  }
  const EntryVm* peer = mContext.mEntryVms.Current().Find(aState.mFrom);
  if (peer != nullptr && peer->mRole == EntryRole::kRouter) {
    mContext.mShares.UpdateFromPeer(aState.mFrom, aState.mDemands);
  }
  mGreatestVersion = std::max(mGreatestVersion, aState.mVersion);
  if (aState.mVersion > mContext.Accepted().mVersion) {
    Pull(aState.mFrom);
  }
}

void PeerLink::Probe(const std::string& aTarget, const std::string& aVia) {
  const EntryVms& vms = mContext.mEntryVms.Current();
  if (!aVia.empty()) {
    if (const EntryVm* helper = vms.Find(aVia)) {
      mContext.mRpc.Call(helper->mAddress, rpc_method::kPingVia,
                         ToJson(IndirectProbe{mContext.mOptions.mId, aTarget}),
                         kProbeTimeout, nullptr);
    }
    return;
  }
  const EntryVm* target = vms.Find(aTarget);
  if (target == nullptr) {
    return;
  }
  mContext.mRpc.Call(target->mAddress, rpc_method::kPing, ToJson(OwnState()),
                     kProbeTimeout, [this, aTarget](const RpcResult& aResult) {
                       mToAskFirst.erase(aTarget);
                       if (aResult.mOk) {
                         mMembers.OnProbeAnswered(aTarget, SteadyNow());
                         Learn(FromJson<PeerState>(aResult.mAnswer));
                       }
                     });
}

void PeerLink::ProbeFor(const IndirectProbe& aAsked) {
  const EntryVms& vms = mContext.mEntryVms.Current();
  const EntryVm* target = vms.Find(aAsked.mTarget);
  const EntryVm* asker = vms.Find(aAsked.mFrom);
  if (target == nullptr || asker == nullptr) {
    return;
  }
  mContext.mRpc.Call(
      target->mAddress, rpc_method::kPing, ToJson(OwnState()), kProbeTimeout,
      [this, aAsked, address = asker->mAddress](const RpcResult& aResult) {
        if (aResult.mOk) {
          mContext.mRpc.Call(address, rpc_method::kAnswered, ToJson(aAsked),
                             kProbeTimeout, nullptr);
        }
      });
}

void PeerLink::TakeNews(const ConfigurationUpdate& aNews) {
  std::int64_t newest = aNews.mIsFull ? aNews.mFull.mVersion : 0;
  for (const ConfigurationChange& change : aNews.mChanges) {
    newest = std::max(newest, change.mVersion);
  }
  mGreatestVersion = std::max(mGreatestVersion, newest);
  if (mContext.Accept(aNews) == ConfigurationUpdateResult::kGap) {
    mContext.mCounters.Add("configuration_gaps");
    mAskAgain = true;
  }
}

void PeerLink::Pull(const std::string& aFrom) {
  const EntryVm* peer = mContext.mEntryVms.Current().Find(aFrom);
  if (peer == nullptr || mPulling) {
    return;
  }
  mPulling = true;
  mContext.mRpc.Call(
      peer->mAddress, rpc_method::kGetConfiguration,
      ToJson(mContext.mHistory.MakeRequest()), kPullTimeout,
      [this](const RpcResult& aResult) {
        mPulling = false;
        if (aResult.mOk) {
          mContext.mCounters.Add("configuration_pulls");
          TakeNews(FromJson<ConfigurationUpdate>(aResult.mAnswer));
        }
      });
}

void PeerLink::PullFromControl() {
  mAskAgain = false;
  for (const EntryVm& control :
       mContext.mEntryVms.Current().OfRole(EntryRole::kControl)) {
    if (mMembers.IsUsable(control.mId)) {
      Pull(control.mId);
      return;
    }
  }
}

void PeerLink::UpdateReadiness() {
  mContext.RefreshLeaving();
  if (mAskAgain && !mPulling) {
    PullFromControl();
  }
  const bool ready = mToAskFirst.empty() && mContext.Accepted().mVersion > 0 &&
                     mContext.Accepted().mVersion >= mGreatestVersion;
  if (ready && !mContext.mReady) {
    mContext.mReady = true;
    LogLine(LogLevel::kInfo, "ready");
  }
}

void PeerLink::ShareLimits() {
  std::size_t routers = 0;
  for (const EntryVm& vm :
       mContext.mEntryVms.Current().OfRole(EntryRole::kRouter)) {
    routers++;
    // A peer of the own zone that is gone has crashed: its share is free. One
    // of another zone may be cut off and go on with its last share.
    const bool crashed = vm.mZone == mContext.mOptions.mZone &&
                         vm.mId != mContext.mOptions.mId &&
                         !mMembers.IsUsable(vm.mId);
    if (crashed) {
      mContext.mShares.RemovePeer(vm.mId);
      routers--;
    }
  }
  mContext.ShareLimits(std::max<std::size_t>(1, routers));
}

void PeerLink::HandReceiptsOver() {
  const EntryVms& vms = mContext.mEntryVms.Current();
  std::vector<EntryVm> controls =
      vms.OfRole(EntryRole::kControl, mContext.mOptions.mZone);
  if (controls.empty() || !mMembers.IsUsable(controls.front().mId)) {
    controls = vms.OfRole(EntryRole::kControl);
    std::erase_if(controls, [this](const EntryVm& aVm) {
      return !mMembers.IsUsable(aVm.mId);
    });
  }
  if (controls.empty()) {
    return;
  }
  ReceiptBatch batch;
  batch.mReceipts = mContext.mOutbox.TakeBatch(kReceiptsPerBatch);
  if (batch.mReceipts.empty()) {
    return;
  }
  mContext.mRpc.Call(controls.front().mAddress, rpc_method::kStoreReceipts,
                     ToJson(batch), kReceiptTimeout,
                     [this](const RpcResult& aResult) {
                       mContext.mOutbox.OnBatchResult(aResult.mOk);
                     });
}

Json::Value PeerLink::StateForOperators() const {
  Json::Value state(Json::objectValue);
  state["id"] = mContext.mOptions.mId;
  state["zone"] = mContext.mOptions.mZone;
  state["ready"] = mContext.mReady;
  state["stopping"] = mContext.mStopping;
  state["configuration_version"] =
      static_cast<Json::Int64>(mContext.Accepted().mVersion);
  state["open_requests"] = mContext.mOpenRequests;
  state["leaving"] = Json::Value(Json::arrayValue);
  for (const std::string& vm : mContext.mLeaving.Vms()) {
    state["leaving"].append(vm);
  }
  state["members"] = Json::Value(Json::arrayValue);
  for (const MemberUpdate& member : mMembers.All()) {
    Json::Value item(Json::objectValue);
    item["id"] = member.mId;
    item["state"] = NameOf(member.mState);
    state["members"].append(item);
  }
  return state;
}

}  // namespace spindleweir
