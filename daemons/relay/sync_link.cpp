#include "daemons/relay/sync_link.h"

#include <algorithm>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/membership/source_choice.h"

namespace spindleweir {

namespace {

constexpr Millis kStepPeriod = 100;
/// How often one is asked that did not say how often it wants to be.
constexpr Millis kFirstPeriod = 150;
/// All but the first of those that are asked are asked more seldom.
constexpr double kOthersFactor = 4;
constexpr Millis kAskTimeout = 1000;
/// Until a configuration is held: a control whose VM is still starting drops
/// what comes, so that waiting long for it delays the first answer.
constexpr Millis kFirstAskTimeout = 300;
/// A control that does not answer is asked more and more seldom, and waited for
/// longer: 31 routers that started together and asked again each 0.3 s kept
/// two controls of 0.15 cores busy with answers that nobody waited for any
/// more, for 10 s. Up to so many times the usual.
constexpr int kMostBackOff = 4;
/// Loads of others that are older than this say nothing any more.
constexpr Millis kLoadsKept = 2500;
constexpr double kLeastSpread = 0.5;
constexpr int kNameBytes = 6;

int BackOff(int aFailures) {
  return std::min(kMostBackOff, 1 << std::min(aFailures, kMostBackOff));
}

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
  const int backOff = it == mSources.end() ? 1 : BackOff(it->second.mFailures);
  // Those that started together do not ask together for ever.
  const double spread =
      backOff == 1 ? 1 : kLeastSpread + (1 - kLeastSpread) * mContext.Random();
  return static_cast<Millis>(static_cast<double>(period) * factor * backOff *
                             spread);
}

Millis SyncLink::TimeoutOf(const Source& aSource) const {
  return mContext.Table() == nullptr
             ? std::min(kAskTimeout,
                        kFirstAskTimeout * BackOff(aSource.mFailures))
             : kAskTimeout;
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
  if (aAddress.Text() == mNear) {
    LoadShares own = mContext.OwnLoads();
    question.mLoads = LoadTable::Of(own);
    question.mTellsLoads = mTold.Tell(std::move(own));
  }
  const Millis askedAt = source.mAskedAt;
  const Millis timeout = TimeoutOf(source);
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
  mSources[aAddress.Text()].mFailures++;
  const auto [it, first] =
      mFailedAt.insert_or_assign(aAddress.Text(), SteadyNow());
  if (first) {
    LogLine(LogLevel::kWarning, "control_lost").Add("address", it->first);
  }
}

void SyncLink::TakeUpstream(const UpstreamRecord& aRecord,
                            const std::string& aBy) {
  if (!mContext.mRegistry.Merge(aRecord, SteadyNow())) {
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_changed")
      .Add("instance", aRecord.mInstance)
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence))
      .Add("by", aBy);
}

void SyncLink::Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                    Millis aAskedAt) {
  const Millis now = SteadyNow();
  Source& source = mSources[aAddress.Text()];
  source.mLife = aAnswer.mLife;
  source.mRevision = aAnswer.mRevision;
  source.mPeriod = aAnswer.mAskEvery;
  source.mFailures = 0;
  if (mFailedAt.erase(aAddress.Text()) > 0) {
    LogLine(LogLevel::kInfo, "control_regained")
        .Add("address", aAddress.Text());
  }
  mContext.mDirectory.Heard(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mContext.mDirectory.Heard(info, now);
  }
  if (!aAnswer.mPackedUpstreams.empty()) {
    const std::string text = Unpack(aAnswer.mPackedUpstreams, kMostUnpacked);
    for (UpstreamRecord& record :
         FromJson<UpstreamList>(ParseJson(text)).mUpstreams) {
      record.mHeardAgo += aAnswer.mPackedAgo;
      TakeUpstream(record, aAnswer.mSelf.mId);
    }
  }
  for (const UpstreamRecord& record : aAnswer.mUpstreams) {
    TakeUpstream(record, aAnswer.mSelf.mId);
  }
  if (aAddress.Text() == mNear) {
    // Others tell their work as often as this router, to this control or by way
    // of another: on the whole what is told is one such period old.
    mContext.SetOtherLoads(
        mTold.OthersIn(UnpackLoads(aAnswer.mPackedLoads), aAnswer.mSummedLoads),
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
