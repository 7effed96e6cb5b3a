#include "daemons/router/peer_link.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kTickInterval = 50;
constexpr Millis kReceiptInterval = 200;
constexpr Millis kProbeTimeout = 800;
constexpr Millis kPullTimeout = 1000;
/// A control on a slow disk acknowledges a batch after two syncs of up to 1.2
/// s.
constexpr Millis kReceiptTimeout = 4000;
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
  mTickTimer = mContext.mLoop.Every(kTickInterval, [this] {
    mMembers.Tick(SteadyNow());
    UpdateReadiness();
  });
  mReceiptTimer =
      mContext.mLoop.Every(kReceiptInterval, [this] { SendReceipts(); });
}

void PeerLink::RegisterMethods(RpcDispatcher& aDispatcher) {
  aDispatcher.On(rpc_method::kPing, [this](const Json::Value& aMessage) {
    ApplyPeerState(FromJson<PeerState>(aMessage));
    return ToJson(LocalState());
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
  aDispatcher.On(
      rpc_method::kPushConfiguration, [this](const Json::Value& aMessage) {
        OnConfigurationUpdate(FromJson<ConfigurationUpdate>(aMessage));
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
  // The router becomes ready only after it has probed each peer of its zone
  // and each control process once.
  for (const EntryVm& vm : aVms.All()) {
    const bool wanted =
        vm.mZone == mContext.mOptions.mZone || vm.mRole == EntryRole::kControl;
    if (wanted && vm.mId != mContext.mOptions.mId &&
        mUnprobedPeers.insert(vm.mId).second) {
      Probe(vm.mId, "");
    }
  }
}

std::vector<Endpoint> PeerLink::OtherRouters() {
  std::vector<std::pair<double, Endpoint>> ranked;
  for (const EntryVm& vm : mContext.mEntryVms.Current().All()) {
    const bool usable = vm.mRole == EntryRole::kRouter &&
                        vm.mId != mContext.mOptions.mId &&
                        mMembers.IsUsable(vm.mId);
    if (usable) {
      const bool isRemote = vm.mZone != mContext.mOptions.mZone;
      ranked.emplace_back(mContext.Random() + (isRemote ? 1 : 0), vm.mAddress);
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.first < aRight.first;
            });
  std::vector<Endpoint> addresses;
  for (auto& [rank, address] : ranked) {
    addresses.push_back(std::move(address));
  }
  return addresses;
}

PeerState PeerLink::LocalState() {
  PeerState state;
  state.mFrom = mContext.mOptions.mId;
  state.mZone = mContext.mOptions.mZone;
  state.mVersion = mContext.AcceptedConfiguration().mVersion;
  state.mReady = mContext.mReady;
  state.mUpdates = mMembers.NextGossip();
  state.mLeaving = mContext.mLeaving.Notices();
  state.mDemands = mContext.mLimiter.Demands(SteadyNow());
  return state;
}

void PeerLink::ApplyPeerState(const PeerState& aState) {
  mMembers.ApplyUpdates(aState.mUpdates, SteadyNow());
  bool added = false;
  for (const LeaveNotice& notice : aState.mLeaving) {
    added = mContext.AddLeaveNotice(notice, aState.mFrom) || added;
  }
  if (added) {
    mContext.RefreshLeaving();
  }
  const EntryVm* peer = mContext.mEntryVms.Current().Find(aState.mFrom);
  if (peer != nullptr && peer->mRole == EntryRole::kRouter) {
    mContext.mShares.UpdateFromPeer(aState.mFrom, aState.mDemands);
  }
  mNewestKnownVersion = std::max(mNewestKnownVersion, aState.mVersion);
  if (aState.mVersion > mContext.AcceptedConfiguration().mVersion) {
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
  mContext.mRpc.Call(target->mAddress, rpc_method::kPing, ToJson(LocalState()),
                     kProbeTimeout, [this, aTarget](const RpcResult& aResult) {
                       mUnprobedPeers.erase(aTarget);
                       if (aResult.mOk) {
                         mMembers.OnProbeAnswered(aTarget, SteadyNow());
                         ApplyPeerState(FromJson<PeerState>(aResult.mAnswer));
                       }
                     });
}

void PeerLink::ProbeFor(const IndirectProbe& aProbe) {
  const EntryVms& vms = mContext.mEntryVms.Current();
  const EntryVm* target = vms.Find(aProbe.mTarget);
  const EntryVm* requester = vms.Find(aProbe.mFrom);
  if (target == nullptr || requester == nullptr) {
    return;
  }
  mContext.mRpc.Call(
      target->mAddress, rpc_method::kPing, ToJson(LocalState()), kProbeTimeout,
      [this, aProbe, address = requester->mAddress](const RpcResult& aResult) {
        if (aResult.mOk) {
          mContext.mRpc.Call(address, rpc_method::kAnswered, ToJson(aProbe),
                             kProbeTimeout, nullptr);
        }
      });
}

void PeerLink::OnConfigurationUpdate(const ConfigurationUpdate& aUpdate) {
  std::int64_t newest = aUpdate.mIsFull ? aUpdate.mFull.mVersion : 0;
  for (const ConfigurationChange& change : aUpdate.mChanges) {
    newest = std::max(newest, change.mVersion);
  }
  mNewestKnownVersion = std::max(mNewestKnownVersion, newest);
  if (mContext.ApplyUpdate(aUpdate) == ConfigurationUpdateResult::kGap) {
    mContext.mCounters.Add("configuration_gaps");
    mPullPending = true;
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
          OnConfigurationUpdate(FromJson<ConfigurationUpdate>(aResult.mAnswer));
        }
      });
}

void PeerLink::PullFromControl() {
  mPullPending = false;
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
  if (mPullPending && !mPulling) {
    PullFromControl();
  }
  const bool ready =
      mUnprobedPeers.empty() && mContext.AcceptedConfiguration().mVersion > 0 &&
      mContext.AcceptedConfiguration().mVersion >= mNewestKnownVersion;
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
    // A local-zone peer that does not answer has crashed, so its share is
    // free. A peer in another zone may only be partitioned and still use its
    // last share.
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

void PeerLink::SendReceipts() {
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
      static_cast<Json::Int64>(mContext.AcceptedConfiguration().mVersion);
  state["open_requests"] = mContext.mOpenRequests.Count();
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
