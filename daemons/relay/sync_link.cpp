#include "daemons/relay/sync_link.h"

#include <algorithm>
#include <optional>

#include "daemons/crash_log.h"
#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/limits/crash_exchange.h"
#include "spindleweir/servers/membership/source_choice.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 100;
/// Used while there is no lease: a delay of 0.1 s is a tenth of the time that
/// callers wait at most.
constexpr Millis kNoLeaseStepInterval = 25;
/// Interval between removals of ended upstreams, each of which goes through all
/// upstreams.
constexpr Millis kCleanUpInterval = 1000;
constexpr int kIncarnationNameBytes = 6;
/// A request that failed within this time was refused: one that gets no answer
/// fails after at least 300 ms.
constexpr Millis kRefusalWindow = 200;
/// The other controls are polled rarely only while the nearest one answers
/// within this many of its poll intervals, so that its silence is noticed as
/// fast as if all were polled at the same rate.
constexpr Millis kFreshIntervals = 3;

}  // namespace

SyncLink::SyncLink(RelayContext& aContext)
    : mContext(aContext),
      mProcess(aContext.mOptions.mId + "/" + RandomHex(kIncarnationNameBytes)) {
  mContext.mCrashes.Parts().OnNews([this] { ScheduleTelling(); });
  Step();
}

SyncLink::~SyncLink() {
  mContext.mCrashes.Parts().OnNews(nullptr);
}

bool SyncLink::IsNearestFresh() const {
  const auto it = mSources.find(mNearest);
  return mNearestAnsweredAt > 0 && it != mSources.end() &&
         it->second.mPollInterval > 0 &&
         SteadyNow() - mNearestAnsweredAt <
             kFreshIntervals * it->second.mPollInterval;
}

Millis SyncLink::NearestInterval() const {
  const auto it = mSources.find(mNearest);
  return it == mSources.end() ? 0 : it->second.mPollInterval;
}

PolledControl SyncLink::PollInputOf(const std::string& aAddress) {
  const Source& source = mSources[aAddress];
  return {.mInterval = source.mPollInterval,
          .mFailures = source.mFailures,
          .mWasRefused = source.mWasRefused,
          .mIsNearest = aAddress == mNearest,
          .mLacksConfiguration = mContext.Table() == nullptr,
          .mNearestAnswers = IsNearestFresh(),
          .mCosts = mContext.mOptions.mCosts,
          .mLacksLease = LacksConfigurationOrLease(),
          .mRouterCount = mContext.Routers(),
          .mJitter = source.mJitter};
}

void SyncLink::Step() {
  const Millis now = SteadyNow();
  SourceChoiceInput input;
  input.mDirectory = &mContext.mDirectory;
  input.mProcess = mProcess;
  input.mZone = mContext.mOptions.mZone;
  input.mFailedAt = mFailedAt;
  input.mNow = now;
  mControls = ChooseSources(input);
  const std::string nearest = mControls.empty() ? "" : mControls.front().Text();
  if (nearest != mNearest) {
    mNearest = nearest;
    mNearestAnsweredAt = 0;
  }
  for (const Endpoint& address : mControls) {
    const Source& source = mSources[address.Text()];
    if (!source.mPolling &&
        now - source.mPolledAt >= NextPollDelay(PollInputOf(address.Text()))) {
      Poll(address);
    }
  }
  if (now - mCleanedUpAt >= kCleanUpInterval) {
    mCleanedUpAt = now;
    mContext.mRegistry.RemoveEnded(now);
    mContext.mCrashes.RemoveExpired(now);
    mContext.mLimits.RetainKnown([this](const std::string& aInstance) {
      return mContext.mRegistry.Find(aInstance) != nullptr;
    });
  }
  if (now - mLoadsReceivedAt > LoadsRetention(NearestInterval())) {
    mContext.ClearPeerLoads();
  }
  mTimer = mContext.mLoop.After(
      LacksConfigurationOrLease() ? kNoLeaseStepInterval : kStepInterval,
      [this] { Step(); });
}

bool SyncLink::LacksConfigurationOrLease() const {
  return mContext.Table() == nullptr || !mContext.HasValidLease();
}

std::int64_t SyncLink::AddHeartbeats(const Source& aSource,
                                     SyncRequest& aRequest) {
  const CollectedHeartbeats unreported =
      mContext.mHeartbeatCollector.Unreported(aSource.mIncarnation,
                                              SteadyNow());
  if (!unreported.mChanged.empty()) {
    aRequest.mCollectedUpstreams = PackUpstreams(unreported.mChanged);
  }
  aRequest.mCollectedHeartbeats =
      ToJson(HeartbeatTable::Of(unreported.mHeartbeats));
  return unreported.mNumber;
}

std::int64_t SyncLink::AddCrashes(const Source& aSource,
                                  SyncRequest& aRequest) {
  aRequest.mKnownCrashRevision = aSource.mCrashRevision;
  const CrashLedger::Changes changes = CrashesForControl(
      mContext.mCrashes.Ledger(), aSource.mAcknowledgedCrashes, SteadyNow());
  aRequest.mCrashes = WriteRows(changes.mRecords);
  return changes.mUpToRevision;
}

void SyncLink::ApplyCrashes(Source& aSource, const SyncAnswer& aAnswer) {
  aSource.mCrashRevision = aAnswer.mCrashRevision;
  for (const CrashRecord& record : ReadCrashes(
           aAnswer.mCrashes, mContext.mInvalidMessages.HookFor("crashes"))) {
    const CrashLedger& ledger = mContext.mCrashes.Ledger();
    const bool wasBarred = ledger.IsBarred(record.mSubject);
    mContext.mCrashes.ApplyPeerRecord(record, SteadyNow());
    LogVerdict(ledger, record, wasBarred, aAnswer.mSelf.mId);
  }
}

void SyncLink::ScheduleTelling() {
  if (mTellTimer != nullptr) {
    return;
  }
  const Millis next = mToldAt + std::max(kStepInterval, NearestInterval());
  mTellTimer = mContext.mLoop.After(std::max<Millis>(0, next - SteadyNow()),
                                    [this] { TellOfCrashes(); });
}

void SyncLink::TellOfCrashes() {
  mTellTimer.reset();
  mToldAt = SteadyNow();
  const std::int64_t newest = mContext.mCrashes.Ledger().Revision();
  bool isBusy = false;
  for (const Endpoint& address : mControls) {
    const Source& source = mSources[address.Text()];
    if (source.mAcknowledgedCrashes >= newest) {
      continue;
    }
    isBusy = isBusy || source.mPolling;
    if (!source.mPolling) {
      Poll(address);
    }
  }
  if (isBusy) {
    ScheduleTelling();
  }
}

void SyncLink::Poll(const Endpoint& aAddress) {
  Source& source = mSources[aAddress.Text()];
  source.mPolling = true;
  source.mPolledAt = SteadyNow();
  source.mJitter = mContext.Random();
  SyncRequest request;
  request.mProcess = mProcess;
  request.mZone = mContext.mOptions.mZone;
  request.mKnownIncarnation = source.mIncarnation;
  request.mRevision = source.mRevision;
  request.mConfiguration =
      mContext.Table() == nullptr ? 0 : mContext.Table()->Version();
  request.mSilent = WriteRows(mContext.mRegistry.SilentUpstreams());
  request.mNearestAnswers =
      mNearestAnsweredAt > 0 && SteadyNow() - mNearestAnsweredAt <
                                    NearestContactWindow(NearestInterval());
  request.mCollectorAddress =
      mContext.mStopping ? "" : mContext.mOptions.mHeartbeatAddress;
  AddForwarding(request);
  const bool wantsForwarders = request.mWantsForwarders;
  const std::string incarnation = source.mIncarnation;
  std::int64_t heartbeats = 0;
  if (aAddress.Text() == mNearest) {
    heartbeats = AddHeartbeats(source, request);
    request.mKnownLoads = source.mLoadsNumber;
    LoadShares local = mContext.LocalLoads();
    request.mLoads = LoadTable::Of(local);
    request.mReportsLoads = mReportedLoads.Record(std::move(local));
  }
  const std::int64_t crashes = AddCrashes(source, request);
  const Millis polledAt = source.mPolledAt;
  const Millis timeout = PollTimeout(PollInputOf(aAddress.Text()));
  mContext.mRpc.Call(
      aAddress, rpc_method::kSync, ToJson(request), timeout,
      [this, aAddress, polledAt, incarnation, heartbeats, crashes,
       wantsForwarders](const RpcResult& aResult) {
        mSources[aAddress.Text()].mPolling = false;
        if (!aResult.mOk) {
          OnPollFailed(aAddress, polledAt);
          return;
        }
        mContext.mCounters.Add("polls_answered", aAddress.Text() == mNearest
                                                     ? "control=\"nearest\""
                                                     : "control=\"other\"");
        const auto answer = FromJson<SyncAnswer>(aResult.mAnswer);
        if (heartbeats > 0 && answer.mIncarnation == incarnation) {
          mContext.mHeartbeatCollector.Acknowledge(incarnation, heartbeats);
        }
        if (answer.mIncarnation == incarnation) {
          mSources[aAddress.Text()].mAcknowledgedCrashes = crashes;
        }
        if (wantsForwarders) {
          mContext.mForwarders.Set(answer.mForwarders, SteadyNow());
        }
        ApplyAnswer(aAddress, answer, polledAt);
      });
}

void SyncLink::AddForwarding(SyncRequest& aRequest) {
  const Millis now = SteadyNow();
  const bool cutOff = mContext.mLinks.IsCutOff(now);
  if (!cutOff && !mContext.mStopping) {
    aRequest.mForwardingAddress = mContext.mForwardingAddress;
  }
  aRequest.mWantsForwarders = mContext.mForwarders.IsDue(cutOff, now);
}

void SyncLink::OnPollFailed(const Endpoint& aAddress, Millis aPolledAt) {
  mContext.mCounters.Add("sync_failures");
  Source& source = mSources[aAddress.Text()];
  source.mWasRefused = SteadyNow() - aPolledAt < kRefusalWindow;
  source.mFailures += source.mWasRefused ? 0 : 1;
  const auto [it, first] =
      mFailedAt.insert_or_assign(aAddress.Text(), SteadyNow());
  if (first) {
    LogLine(LogLevel::kWarning, "control_lost").Add("address", it->first);
  }
}

void SyncLink::ApplyUpstream(const UpstreamRecord& aRecord,
                             const std::string& aBy,
                             UpstreamChanges& aChanges) {
  const UpstreamRecord* known = mContext.mRegistry.Find(aRecord.mInstance);
  const std::optional<UpstreamRecord> before =
      known == nullptr ? std::nullopt : std::optional(*known);
  if (!mContext.mRegistry.Merge(aRecord, SteadyNow()) ||
      !aChanges.Count(before.has_value() ? &*before : nullptr, aRecord)) {
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_changed")
      .Add("instance", aRecord.mInstance)
      .Add("start", static_cast<Json::Int64>(aRecord.mStart))
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence))
      .Add("by", aBy);
}

void SyncLink::ApplyUpstreams(const SyncAnswer& aAnswer) {
  UpstreamChanges changes;
  for (const UpstreamUpdate& update : aAnswer.mUpstreamUpdates) {
    for (const UpstreamRecord& record :
         mContext.mInvalidMessages.Unpack("news", update)) {
      ApplyUpstream(record, aAnswer.mSelf.mId, changes);
    }
  }
  for (const UpstreamRecord& record : ReadRows<UpstreamRecord>(
           aAnswer.mNotSilent, mContext.mInvalidMessages.HookFor("news"))) {
    ApplyUpstream(record, aAnswer.mSelf.mId, changes);
  }
  if (!changes.Empty()) {
    LogLine(LogLevel::kInfo, "upstreams_updated")
        .Add("added", changes.Added())
        .Add("updated", changes.Updated())
        .Add("by", aAnswer.mSelf.mId);
  }
  mContext.mGuard->MoveOffRestarted();
}

void SyncLink::ApplyLoads(Source& aSource, const SyncAnswer& aAnswer,
                          Millis aPolledAt) {
  mLoadsReceivedAt = SteadyNow();
  const bool unchanged = aAnswer.mLoadsNumber == aSource.mLoadsNumber &&
                         aAnswer.mPackedLoads.empty();
  if (unchanged && aAnswer.mLoadsNumber != 0) {
    return;
  }
  aSource.mLoadsNumber = aAnswer.mLoadsNumber;
  // Peers report their loads at the same interval as this router, to this
  // control or through another one: on average the reported loads are one
  // interval old.
  mContext.SetPeerLoads(mReportedLoads.SubtractReported(
                            mContext.mInvalidMessages.UnpackLoadShares(
                                "loads", aAnswer.mPackedLoads),
                            aAnswer.mIncludedLoads),
                        aPolledAt - aAnswer.mPollInterval - aAnswer.mLoadsAge);
}

void SyncLink::ApplyAnswer(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                           Millis aPolledAt) {
  const Millis now = SteadyNow();
  Source& source = mSources[aAddress.Text()];
  if (source.mIncarnation != aAnswer.mIncarnation) {
    source.mLoadsNumber = 0;
    // A restarted control has at most the records on its disk.
    source.mAcknowledgedCrashes = 0;
  }
  source.mIncarnation = aAnswer.mIncarnation;
  source.mRevision = aAnswer.mRevision;
  source.mPollInterval = aAnswer.mPollInterval;
  source.mFailures = 0;
  source.mWasRefused = false;
  if (mFailedAt.erase(aAddress.Text()) > 0) {
    LogLine(LogLevel::kInfo, "control_regained")
        .Add("address", aAddress.Text());
  }
  mContext.mDirectory.OnSeen(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mContext.mDirectory.OnReported(info, now);
  }
  ApplyUpstreams(aAnswer);
  ApplyCrashes(source, aAnswer);
  if (aAddress.Text() == mNearest) {
    mNearestAnsweredAt = now;
    ApplyLoads(source, aAnswer, aPolledAt);
  }
  mContext.UpdateRouterCount(aAnswer.mRouters, aAnswer.mSelf.mId);
  for (const TrafficUpdate& update : aAnswer.mConfigurationUpdates) {
    mContext.ApplyUpdate(update);
  }
  const std::int64_t held =
      mContext.Table() == nullptr ? 0 : mContext.Table()->Version();
  if (aAnswer.mConfirmedAgo >= 0) {
    mContext.mLease.Confirm(aAnswer.mConfirmedVersion, held, aPolledAt,
                            aAnswer.mConfirmedAgo);
  }
  CheckLag(aAddress, aAnswer);
}

void SyncLink::CheckLag(const Endpoint& aAddress, const SyncAnswer& aAnswer) {
  const Millis now = SteadyNow();
  const SourceVersions versions{
      .mHeld = mContext.Table() == nullptr ? 0 : mContext.Table()->Version(),
      .mConfirmed = aAnswer.mConfirmedAgo < 0 ? 0 : aAnswer.mConfirmedVersion};
  if (!mLag.OnAnswer(aAddress.Text(), versions, now)) {
    return;
  }
  mFailedAt.insert_or_assign(aAddress.Text(), now);
  mContext.mCounters.Add("sources_behind");
  LogLine(LogLevel::kWarning, "control_behind")
      .Add("address", aAddress.Text())
      .Add("held", static_cast<Json::Int64>(versions.mHeld))
      .Add("confirmed", static_cast<Json::Int64>(versions.mConfirmed));
}

}  // namespace spindleweir
