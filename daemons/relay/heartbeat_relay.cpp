#include "daemons/relay/heartbeat_relay.h"

#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// An upstream waits for a second, then calls another process.
constexpr Millis kTellTimeout = 500;
/// Controls that must know of an upstream that leaves.
constexpr int kTold = 2;

/// One upstream that leaves, while controls are told.
struct Telling {
  BeatDone mDone;
  int mKnow = 0;
  int mOpen = 0;  ///< Calls without an answer yet.

  void Answered(bool aOk) {
    mOpen--;
    mKnow += aOk ? 1 : 0;
    if (mDone && (mKnow >= kTold || mOpen == 0)) {
      const BeatDone done = std::move(mDone);
      mDone = nullptr;
      done({.mAccepted = mKnow > 0, .mLaterAt = ""});
    }
  }
};

}  // namespace

void BeatRelay::ApplyHeartbeat(const UpstreamRecord& aRecord,
                               const BeatDone& aDone) {
  if (mContext.mStopping) {
    aDone({.mAccepted = false, .mLaterAt = ""});
    return;
  }
  const bool strange = !IsLeavingOrGone(aRecord.mState) &&
                       mContext.mRegistry.Find(aRecord.mInstance) == nullptr &&
                       !mContext.KnowsService(aRecord.mService);
  if (strange) {
    throw Error(ResultCode::kUnknownService, aRecord.mService);
  }
  mContext.mCounters.Add("heartbeats_taken");
  if (mContext.mTaker.ApplyHeartbeat(aRecord, SteadyNow())) {
    TellFirst(aRecord, aDone);
    return;
  }
  aDone({});
}

void BeatRelay::ApplyLeave(const std::string& aInstance, const BeatDone& aDone,
                           std::int64_t aStart) {
  const UpstreamRecord* record =
      mContext.mTaker.ApplyLeave(aInstance, SteadyNow(), aStart);
  if (record == nullptr) {
    aDone({.mAccepted = false, .mLaterAt = ""});
    return;
  }
  TellFirst(*record, aDone);
}

void BeatRelay::TellFirst(const UpstreamRecord& aRecord,
                          const BeatDone& aDone) {
  LogLine(LogLevel::kInfo, "upstream_leaves")
      .Add("instance", aRecord.mInstance)
      .Add("start", static_cast<Json::Int64>(aRecord.mStart))
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence));
  mContext.mRegistry.Merge(aRecord, SteadyNow());
  mContext.mGuard->MoveOffRestarted();
  const std::vector<Endpoint>& controls = mLink.Controls();
  if (controls.empty()) {
    aDone({.mAccepted = false, .mLaterAt = ""});
    return;
  }
  const auto telling = std::make_shared<Telling>();
  telling->mDone = aDone;
  telling->mOpen = static_cast<int>(controls.size());
  const Json::Value message =
      ToJson(UpstreamNotice{WriteRows<UpstreamRecord>({aRecord})});
  for (const Endpoint& address : controls) {
    mContext.mRpc.Call(address, rpc_method::kNotice, message, kTellTimeout,
                       [telling](const RpcResult& aResult) {
                         telling->Answered(aResult.mOk);
                       });
  }
}

}  // namespace spindleweir
