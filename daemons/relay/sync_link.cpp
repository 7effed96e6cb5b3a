#include "daemons/relay/sync_link.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kStepPeriod = 100;
constexpr Millis kNearPeriod = 150;
constexpr Millis kFarPeriod = 400;
constexpr Millis kAskTimeout = 1000;
constexpr int kNameBytes = 6;

}  // namespace

SyncLink::SyncLink(RelayContext& aContext)
    : mContext(aContext),
      mProcess(aContext.mOptions.mId + "/" + RandomHex(kNameBytes)) {
  mTimer = mContext.mLoop.Every(kStepPeriod, [this] { Step(); });
  Step();
}

bool SyncLink::IsNear(const Source& aSource) const {
  return aSource.mZone == mContext.mOptions.mZone;
}

void SyncLink::Step() {
  const Millis now = SteadyNow();
  for (const Endpoint& address : mContext.mDirectory.Addresses(now)) {
    const Source& source = mSources[address.Text()];
    const Millis period = IsNear(source) ? kNearPeriod : kFarPeriod;
    if (!source.mAsking && now - source.mAskedAt >= period) {
      Ask(address, false);
    }
  }
}

void SyncLink::Ask(const Endpoint& aAddress, bool aWantsConfiguration) {
  Source& source = mSources[aAddress.Text()];
  source.mAsking = true;
  source.mAskedAt = SteadyNow();
  SyncQuestion question;
  question.mProcess = mProcess;
  question.mZone = mContext.mOptions.mZone;
  question.mKnows = source.mLife;
  question.mRevision = source.mRevision;
  question.mConfiguration =
      mContext.Table() == nullptr ? 0 : mContext.Table()->Version();
  question.mWantsConfiguration =
      aWantsConfiguration || mContext.Table() == nullptr;
  question.mTellsLoads = IsNear(source);
  if (question.mTellsLoads) {
    question.mLoads = mContext.OwnLoads();
  }
  const Millis askedAt = source.mAskedAt;
  mContext.mRpc.Call(aAddress, rpc_method::kSync, ToJson(question), kAskTimeout,
                     [this, aAddress, askedAt](const RpcResult& aResult) {
                       mSources[aAddress.Text()].mAsking = false;
                       if (!aResult.mOk) {
                         mContext.mCounters.Add("sync_failures");
                         return;
                       }
                       Take(aAddress, FromJson<SyncAnswer>(aResult.mAnswer),
                            askedAt);
                     });
}

void SyncLink::Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                    Millis aAskedAt) {
  const Millis now = SteadyNow();
  Source& source = mSources[aAddress.Text()];
  source.mLife = aAnswer.mLife;
  source.mRevision = aAnswer.mRevision;
  source.mZone = aAnswer.mSelf.mZone;
  mContext.mDirectory.Heard(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mContext.mDirectory.Heard(info, now);
  }
  for (const UpstreamRecord& record : aAnswer.mUpstreams) {
    if (mContext.mRegistry.Merge(record, now)) {
      LogLine(LogLevel::kInfo, "upstream_changed")
          .Add("instance", record.mInstance)
          .Add("state", static_cast<int>(record.mState))
          .Add("sequence", static_cast<Json::Int64>(record.mSequence))
          .Add("by", aAnswer.mSelf.mId);
    }
  }
  if (IsNear(source)) {
    mContext.SetOtherLoads(aAnswer.mLoads);
  }
  mContext.mRouters = std::max(mContext.mRouters, aAnswer.mRouters);
  for (const TrafficConfiguration& news : aAnswer.mNews) {
    mContext.Accept(news);
  }
  const std::int64_t held =
      mContext.Table() == nullptr ? 0 : mContext.Table()->Version();
  if (aAnswer.mConfirmedAgo >= 0) {
    mContext.mLease.Confirm(aAnswer.mConfiguration, held, aAskedAt,
                            aAnswer.mConfirmedAgo);
  }
  mJoined = true;
  if (aAnswer.mConfiguration > held) {
    Ask(aAddress, true);
  }
}

}  // namespace spindleweir
