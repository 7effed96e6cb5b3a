#include "daemons/relay/sync_link.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/servers/membership/source_choice.h"

namespace spindleweir {

namespace {

constexpr Millis kStepPeriod = 100;
/// How often one is asked that did not say how often it wants to be.
constexpr Millis kFirstPeriod = 150;
/// All but the first of those that are asked are asked more seldom.
constexpr double kOthersFactor = 2.7;
constexpr Millis kAskTimeout = 1000;
/// Until a configuration is held: a control whose VM is still starting drops
/// what comes, so that waiting long for it delays the first answer.
constexpr Millis kFirstAskTimeout = 300;
/// Loads of others that are older than this say nothing any more.
constexpr Millis kLoadsKept = 2500;
constexpr int kNameBytes = 6;

}  // namespace

SyncLink::SyncLink(RelayContext& aContext)
    : mContext(aContext),
      mProcess(aContext.mOptions.mId + "/" + RandomHex(kNameBytes)) {
  mTimer = mContext.mLoop.Every(kStepPeriod, [this] { Step(); });
  Step();
}

Millis SyncLink::PeriodOf(const Endpoint& aAddress) const {
  const std::string text = aAddress.Text();
  const auto it = mSources.find(text);
  const bool said = it != mSources.end() && it->second.mPeriod > 0;
  const Millis period = said ? it->second.mPeriod : kFirstPeriod;
  const double factor = text == mNear ? 1 : kOthersFactor;
  return static_cast<Millis>(static_cast<double>(period) * factor);
}

void SyncLink::Step() {
  const Millis now = SteadyNow();
  SourceQuestion question;
  question.mDirectory = &mContext.mDirectory;
  question.mProcess = mProcess;
  question.mZone = mContext.mOptions.mZone;
  question.mFailedAt = mFailedAt;
  question.mNow = now;
  const std::vector<Endpoint> chosen = ChooseSources(question);
  mNear = chosen.empty() ? "" : chosen.front().Text();
  for (const Endpoint& address : chosen) {
    const Source& source = mSources[address.Text()];
    if (!source.mAsking && now - source.mAskedAt >= PeriodOf(address)) {
      Ask(address);
    }
  }
  if (now - mLoadsAt > kLoadsKept) {
    mContext.ForgetOtherLoads();
  }
}

void SyncLink::Ask(const Endpoint& aAddress) {
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
  question.mSilent = mContext.mRegistry.Silent();
  question.mTellsLoads = aAddress.Text() == mNear;
  if (question.mTellsLoads) {
    question.mLoads = LoadTable::Of(mContext.OwnLoads());
  }
  const Millis askedAt = source.mAskedAt;
  const Millis timeout =
      mContext.Table() == nullptr ? kFirstAskTimeout : kAskTimeout;
  mContext.mRpc.Call(aAddress, rpc_method::kSync, ToJson(question), timeout,
                     [this, aAddress, askedAt](const RpcResult& aResult) {
                       mSources[aAddress.Text()].mAsking = false;
                       if (!aResult.mOk) {
                         Failed(aAddress);
                         return;
                       }
                       Take(aAddress, FromJson<SyncAnswer>(aResult.mAnswer),
                            askedAt);
                     });
}

void SyncLink::Failed(const Endpoint& aAddress) {
  mContext.mCounters.Add("sync_failures");
  const auto [it, first] =
      mFailedAt.insert_or_assign(aAddress.Text(), SteadyNow());
  if (first) {
    LogLine(LogLevel::kWarning, "control_lost").Add("address", it->first);
  }
}

void SyncLink::Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                    Millis aAskedAt) {
  const Millis now = SteadyNow();
  Source& source = mSources[aAddress.Text()];
  source.mLife = aAnswer.mLife;
  source.mRevision = aAnswer.mRevision;
  source.mPeriod = aAnswer.mAskEvery;
  if (mFailedAt.erase(aAddress.Text()) > 0) {
    LogLine(LogLevel::kInfo, "control_regained")
        .Add("address", aAddress.Text());
  }
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
  if (aAddress.Text() == mNear) {
    // Others tell their work as often as this router, to this control or by way
    // of another: on the whole what is told is one such period old.
    mContext.SetOtherLoads(aAnswer.mLoads.Shares(),
                           aAskedAt - aAnswer.mAskEvery);
    mLoadsAt = now;
  }
  mContext.mRouters = std::max(mContext.mRouters, aAnswer.mRouters);
  for (const TrafficNews& news : aAnswer.mNews) {
    mContext.Accept(news);
  }
  const std::int64_t held =
      mContext.Table() == nullptr ? 0 : mContext.Table()->Version();
  if (aAnswer.mConfirmedAgo >= 0) {
    mContext.mLease.Confirm(aAnswer.mConfirmedVersion, held, aAskedAt,
                            aAnswer.mConfirmedAgo);
  }
}

}  // namespace spindleweir
