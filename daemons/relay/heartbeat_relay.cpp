#include "daemons/relay/heartbeat_relay.h"

#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// An upstream waits for one second, then calls another process.
constexpr Millis kNoticeTimeout = 500;
/// Number of controls that have to acknowledge that an upstream leaves.
constexpr int kRequiredAcknowledgements = 2;

/// Collects the acknowledgements of controls for one leaving upstream.
struct Notification {
  HeartbeatDone mDone;
  int mAcknowledged = 0;
  int mOpen = 0;  ///< Calls without an answer so far.

  void OnAnswer(bool aOk) {
    mOpen--;
    mAcknowledged += aOk ? 1 : 0;
    if (mDone && (mAcknowledged >= kRequiredAcknowledgements || mOpen == 0)) {
      const HeartbeatDone done = std::move(mDone);
      mDone = nullptr;
      done({.mAccepted = mAcknowledged > 0, .mNextAddress = ""});
    }
  }
};

}  // namespace

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
  if (mContext.mHeartbeatCollector.ApplyHeartbeat(aRecord, SteadyNow())) {
    NotifyControls(aRecord, aDone);
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
  NotifyControls(*record, aDone);
}

void HeartbeatRelay::NotifyControls(const UpstreamRecord& aRecord,
                                    const HeartbeatDone& aDone) {
  LogLine(LogLevel::kInfo, "upstream_leaves")
      .Add("instance", aRecord.mInstance)
      .Add("start", static_cast<Json::Int64>(aRecord.mStart))
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence));
  mContext.mRegistry.Merge(aRecord, SteadyNow());
  mContext.mGuard->MoveOffRestarted();
  const std::vector<Endpoint>& controls = mLink.Controls();
  if (controls.empty()) {
    aDone({.mAccepted = false, .mNextAddress = ""});
    return;
  }
  const auto notification = std::make_shared<Notification>();
  notification->mDone = aDone;
  notification->mOpen = static_cast<int>(controls.size());
  const Json::Value message =
      ToJson(UpstreamNotice{WriteRows<UpstreamRecord>({aRecord})});
  for (const Endpoint& address : controls) {
    mContext.mRpc.Call(address, rpc_method::kNotice, message, kNoticeTimeout,
                       [notification](const RpcResult& aResult) {
                         notification->OnAnswer(aResult.mOk);
                       });
  }
}

}  // namespace spindleweir
