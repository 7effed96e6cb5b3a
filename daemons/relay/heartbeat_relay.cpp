#include "daemons/relay/heartbeat_relay.h"

#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

void HeartbeatRelay::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                    const HeartbeatDone& aDone) {
  if (mContext.mStopping) {
    aDone({.mAccepted = false, .mNextAddress = ""});
    return;
  }
  const bool unknown = !IsLeavingOrGone(aRecord.mState) &&
                       mContext.mRegistry.Find(aRecord.mInstance) == nullptr &&
                       !mContext.KnowsService(aRecord.mService);
  if (unknown) {
    throw Error(ResultCode::kUnknownService, aRecord.mService);
  }
  mContext.mCounters.Add("heartbeats_taken");
  mContext.mHeartbeatCollector.ApplyHeartbeat(aRecord, SteadyNow());
  if (IsLeavingOrGone(aRecord.mState)) {
    AcknowledgeLeave(aRecord, aDone);
    return;
  }
  aDone({});
}

void HeartbeatRelay::ApplyLeave(const std::string& aInstance,
                                const HeartbeatDone& aDone,
                                std::int64_t aStart) {
  const UpstreamRecord* record =
      mContext.mHeartbeatCollector.ApplyLeave(aInstance, SteadyNow(), aStart);
  if (record == nullptr) {
    aDone({.mAccepted = false, .mNextAddress = ""});
    return;
  }
  AcknowledgeLeave(*record, aDone);
}

void HeartbeatRelay::AcknowledgeLeave(const UpstreamRecord& aRecord,
                                      const HeartbeatDone& aDone) {
  if (mContext.mRegistry.Merge(aRecord, SteadyNow())) {
    LogLine(LogLevel::kInfo, "upstream_leaves")
        .Add("instance", aRecord.mInstance)
        .Add("start", static_cast<Json::Int64>(aRecord.mStart))
        .Add("state", static_cast<int>(aRecord.mState))
        .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence));
  }
  mContext.mGuard->MoveOffRestarted();
  mAcknowledged.RemoveUnknown(mContext.mRegistry);
  if (mAcknowledged.Contains(aRecord.mInstance, aRecord.mStart)) {
    aDone({});
    return;
  }
  NotifyControls(aRecord, [this, aDone, instance = aRecord.mInstance,
                           start = aRecord.mStart](bool aIsStored) {
    if (aIsStored) {
      mAcknowledged.Add(instance, start);
    }
    aDone({.mAccepted = aIsStored});
  });
}

void HeartbeatRelay::NotifyControls(const UpstreamRecord& aRecord,
                                    LeaveCopies::DoneHook aDone) {
  const std::vector<Endpoint>& controls = mLink.Controls();
  if (controls.empty()) {
    aDone(false);
    return;
  }
  const auto copies = std::make_shared<LeaveCopies>(
      static_cast<int>(controls.size()), std::move(aDone));
  const Json::Value message =
      ToJson(UpstreamNotice{WriteRows<UpstreamRecord>({aRecord})});
  for (const Endpoint& address : controls) {
    mContext.mRpc.Call(
        address, rpc_method::kNotice, message, kLeaveTimeout,
        [copies](const RpcResult& aResult) {
          if (aResult.mOk) {
            copies->OnStored(FromJson<NoticeAnswer>(aResult.mAnswer).mVoters);
          } else {
            copies->OnFailed();
          }
        });
  }
}

}  // namespace spindleweir
