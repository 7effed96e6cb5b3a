#include "daemons/control/sync_service.h"

#include <algorithm>
#include <utility>

#include "daemons/crash_log.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/limits/crash_exchange.h"
#include "spindleweir/servers/membership/poll_schedule.h"

namespace spindleweir {

namespace {

constexpr Millis kPollTimeout = 1000;
constexpr Millis kSaveInterval = 500;
/// The list holds the controls that were seen within this window.
constexpr Millis kControlListWindow = 10000;
constexpr int kIncarnationBytes = 6;
/// After this time all routers have polled, and the number of routers of the
/// previous run is no longer used.
constexpr Millis kPreviousRunWindow = 3000;
/// Number of routers that must report that they cannot reach an upstream.
constexpr int kMinUnreachableReporters = 2;

}  // namespace

SyncService::SyncService(ControlContext& aContext,
                         ReplicatedConfiguration& aLog)
    : mContext(aContext),
      mLog(aLog),
      mIncarnation(RandomHex(kIncarnationBytes)),
      mStamp(aContext.mOptions.mData + "/stamp",
             aContext.ReplaceInBackground()),
      mPreviousRun(mStamp.Load(WallNow())),
      mStartedAt(SteadyNow()),
      mUpstreams(aContext, mDirectory,
                 {.mKnowsService =
                      [this](const std::string& aService) {
                        const TrafficConfiguration& traffic = Traffic();
                        return traffic.mVersion == 0 ||
                               traffic.FindService(aService) != nullptr;
                      },
                  .mVoters =
                      [this] {
                        return static_cast<int>(mLog.Raft().Voters().size());
                      }},
                 mPreviousRun.mUpstreamsFresh),
      mAnswerSizes(aContext.mLoop, aContext.mCounters),
      mCrashStore(aContext.mOptions.mData + "/barred",
                  aContext.ReplaceInBackground()),
      mLimitStore(aContext.mOptions.mData + "/limits",
                  aContext.ReplaceInBackground()),
      mVoters(aContext, aLog, mDirectory,
              {.mReachable = [this] { return ReachableControls(); },
               .mHasToldOthers = [this] { return HasToldOthers(); }}) {
  mCrashStore.Load(mCrashes, SteadyNow(),
                   mContext.mInvalidMessages.HookFor("disk"));
  RestoreLimits();
  mRecentRouters.OnReport(mPreviousRun.mRouters, mStartedAt);
  LogLine(LogLevel::kInfo, "stamp_read")
      .Add("upstreams_fresh", mPreviousRun.mUpstreamsFresh)
      .Add("routers", mPreviousRun.mRouters);
  mDirectory.SetSeeds(mContext.mOptions.mSeeds);
  mLog.Machine().SignalPublished().connect(
      [this](const PublishedDocument& aPublished) { mUnparsed = aPublished; });
  if (mLog.Machine().Published().mVersion > 0) {
    mUnparsed = mLog.Machine().Published();
  }
  mContext.mDispatcher.On(
      rpc_method::kSync, [this](const Json::Value& aMessage) {
        return ToJson(Answer(FromJson<SyncRequest>(aMessage)));
      });
  mLog.SignalTermCommitted().connect([this] { PollLeader(); });
  mSaveTimer = mContext.mLoop.Every(kSaveInterval, [this] { SaveState(); });
  PollControls();
}

const TrafficConfiguration& SyncService::Traffic() {
  if (!mUnparsed.has_value()) {
    return mTraffic.Current();
  }
  const PublishedDocument newest = std::move(*mUnparsed);
  mUnparsed.reset();
  if (newest.mVersion <= mTraffic.Current().mVersion) {
    // A log that is opened again applies versions that are already known.
    return mTraffic.Current();
  }
  mTraffic.Add(mContext.mOptions.mDocuments.mRead(
      Unpack(newest.mDocument, kMaxUnpackedBytes)));
  const TrafficConfiguration& traffic = mTraffic.Current();
  mContext.mCounters.Set("traffic_version", traffic.mVersion);
  LogLine(LogLevel::kInfo, "configuration_accepted")
      .Add("version", static_cast<Json::Int64>(traffic.mVersion))
      .Add("routes", static_cast<int>(traffic.mRoutes.size()))
      .Add("digest", newest.mDigest);
  return traffic;
}

ControlInfo SyncService::Self() const {
  return {.mId = mContext.mOptions.mId,
          .mZone = mContext.mOptions.mZone,
          .mOperator = mContext.mOptions.mOperatorListen.Text(),
          .mIsStopping = mVoters.IsStopping()};
}

void SyncService::RestoreLimits() {
  const RecentLimits::Thousandths stored = mLimitStore.Load();
  mLoads.RestoreLimits(stored, ReportTime());
  LogLine(LogLevel::kInfo, "limits_read")
      .Add("limits", static_cast<Json::UInt64>(stored.size()));
}

void SyncService::SetSeeds(std::vector<Endpoint> aSeeds) {
  mDirectory.SetSeeds(std::move(aSeeds));
}

SyncAnswer SyncService::Answer(const SyncRequest& aRequest) {
  const Millis now = SteadyNow();
  RecordPoller(aRequest);
  SyncAnswer answer;
  answer.mSelf = Self();
  answer.mIncarnation = mIncarnation;
  const bool fromControl = !aRequest.mControl.mId.empty();
  AddControls(aRequest, answer);
  mUpstreams.Answer(aRequest, mIncarnation, answer);
  UpdateLocalConfirmation(now);
  answer.mConfirmedVersion = mConfirmation.Version();
  answer.mConfirmedAgo = mConfirmation.Age(now);
  if (fromControl) {
    answer.mHeldVersion = Traffic().mVersion;
  }
  if (!fromControl || aRequest.mWantsConfiguration) {
    answer.mConfigurationUpdates =
        mTraffic.UpdatesSince(aRequest.mConfiguration);
  }
  answer.mRouters = KnownRouters();
  answer.mOwnRouters = mLoads.LocalRouters(ReportTime());
  AddRouterList(aRequest, answer);
  answer.mPollInterval = RouterPollInterval(mPolledAt.size());
  if (aRequest.mWantsForwarders) {
    answer.mForwarders =
        mForwarders.For(aRequest.mProcess, aRequest.mZone, now);
  }
  AddLoads(aRequest, answer);
  AddCrashes(aRequest, answer);
  mAnswerSizes.Count(aRequest, answer);
  return answer;
}

void SyncService::AddControls(const SyncRequest& aRequest,
                              SyncAnswer& aAnswer) {
  const Millis now = SteadyNow();
  const ListPoller poller{
      .mProcess = aRequest.mProcess,
      .mIsControl = !aRequest.mControl.mId.empty(),
      .mIsFirst = aRequest.mKnownIncarnation != mIncarnation};
  if (poller.mIsControl) {
    aAnswer.mLeader = mLog.Raft().Leader();
    aAnswer.mTerm = mLog.Raft().Term();
  } else if (!DependsOnControl(aRequest.Router())) {
    // A list of six controls is two thirds of an answer without changes.
    return;
  }
  std::vector<ControlInfo> list =
      mDirectory.SeenWithin(kControlListWindow, now);
  if (mListSchedule.IsDue(poller, list, now)) {
    aAnswer.mControls = std::move(list);
  }
}

void SyncService::RefreshGauges() {
  mContext.mCounters.Set("routers_here", mLoads.LocalRouters(ReportTime()));
  mContext.mCounters.Set("routers_known", KnownRouters());
  mContext.mCounters.Set(
      "limits_remembered",
      static_cast<std::int64_t>(mLoads.RememberedLimits().Count()));
}

Millis SyncService::ReportTime() const {
  return mContext.mLoop.RunningNow();
}

int SyncService::KnownRouters() {
  // Right after a start only some of the routers have reported. Each of them
  // would take a greater share of what all may do than is its own.
  const bool isStarting = SteadyNow() - mStartedAt < kPreviousRunWindow;
  return isStarting && mPreviousRun.mRouters > 0
             ? mPreviousRun.mRouters
             : std::max(1, mLoads.AllRouters(ReportTime()));
}

void SyncService::AddRouterList(const SyncRequest& aRequest,
                                SyncAnswer& aAnswer) {
  if (aRequest.mControl.mId.empty()) {
    return;
  }
  RouterNumbers routers = mLoads.LocalRouterNumbers(ReportTime());
  aAnswer.mRouterListTag = RouterListTag(routers);
  if (aAnswer.mRouterListTag != aRequest.mKnownRouterList) {
    aAnswer.mOwnRouterList = std::move(routers);
  }
}

void SyncService::AddLoads(const SyncRequest& aRequest, SyncAnswer& aAnswer) {
  const Millis now = ReportTime();
  const bool fromControl = !aRequest.mControl.mId.empty();
  if (!fromControl && aRequest.mReportsLoads == 0) {
    return;
  }
  const ZoneHook zoneOf = [this](const std::string& aInstance) {
    const UpstreamRecord* record = mUpstreams.Registry().Find(aInstance);
    return record == nullptr ? "" : record->mZone;
  };
  const PackedLoads& loads =
      fromControl ? mLoads.PackedLocal(now)
                  : mLoads.PackedSum(aRequest.mZone, zoneOf, now);
  aAnswer.mLoadsNumber = loads.mSequence;
  aAnswer.mLoadsAge = now - loads.mBuiltAt;
  const bool known = aRequest.mKnownIncarnation == mIncarnation &&
                     aRequest.mKnownLoads == loads.mSequence;
  if (!known) {
    aAnswer.mPackedLoads = loads.mText;
  }
  if (!fromControl) {
    aAnswer.mIncludedLoads = mLoads.IncludedSequence(aRequest.mProcess);
  }
}

void SyncService::MergeCrashes(const std::vector<Json::Value>& aRows,
                               const std::string& aBy) {
  const Millis now = SteadyNow();
  for (const CrashRecord& record :
       ReadCrashes(aRows, mContext.mInvalidMessages.HookFor("crashes"))) {
    const bool wasBarred = mCrashes.IsBarred(record.mSubject);
    mCrashes.Merge(record, now);
    LogVerdict(mCrashes, record, wasBarred, aBy);
  }
  mContext.mCounters.Set("requests_barred",
                         static_cast<std::int64_t>(mCrashes.BarredRequests()));
  mContext.mCounters.Set("parts_barred",
                         static_cast<std::int64_t>(mCrashes.BarredParts()));
  mContext.mCounters.Set("parts_suspected",
                         static_cast<std::int64_t>(mCrashes.SuspectedParts()));
  mCrashStore.Save(mCrashes, now);
}

void SyncService::AddCrashes(const SyncRequest& aRequest, SyncAnswer& aAnswer) {
  const std::int64_t known = aRequest.mKnownIncarnation == mIncarnation
                                 ? aRequest.mKnownCrashRevision
                                 : 0;
  const CrashLedger::Changes changes =
      CrashesForPoller(mCrashes,
                       {.mIsControl = !aRequest.mControl.mId.empty(),
                        .mRouter = aRequest.Router(),
                        .mKnown = known},
                       SteadyNow());
  aAnswer.mCrashes = WriteRows(changes.mRecords);
  aAnswer.mCrashRevision = changes.mUpToRevision;
}

void SyncService::UpdateLocalConfirmation(Millis aNow) {
  const Millis confirmed = mLog.Raft().ConfirmedAt();
  if (confirmed >= 0) {
    mConfirmation.Update(Traffic().mVersion, aNow, aNow - confirmed);
  }
}

void SyncService::RecordPoller(const SyncRequest& aRequest) {
  if (!aRequest.mControl.mId.empty()) {
    mDirectory.OnSeen(aRequest.mControl, SteadyNow());
    return;
  }
  const Millis now = ReportTime();
  MergeCrashes(aRequest.mCrashes, aRequest.mProcess);
  mPolledAt[aRequest.mProcess] = now;
  mForwarders.OnPolled(
      aRequest.mProcess,
      {.mAddress = aRequest.mForwardingAddress, .mZone = aRequest.mZone},
      SteadyNow());
  mUpstreams.OnPolled(aRequest);
  const Millis interval = RouterPollInterval(mPolledAt.size());
  std::erase_if(mPolledAt, [&](const auto& aItem) {
    return now - aItem.second > PollerRetention(interval);
  });
  mLoads.SetReportRetention(std::max(
      LoadsRetention(interval), ControlContactTimeout(mPeerControls.size())));
  if (aRequest.mReportsLoads > 0) {
    mLoads.OnRouterReport(
        aRequest.mProcess, aRequest.mReportsLoads,
        UsableRows(aRequest.mLoads, mContext.mInvalidMessages.HookFor("loads"))
            .ToShares(),
        now);
  } else {
    mLoads.OnRouterMoved(aRequest.mProcess);
  }
}

std::set<std::string> SyncService::Unreachable() {
  return mLoads.UnreachableUpstreams(kMinUnreachableReporters, ReportTime());
}

bool SyncService::IsCutOff() const {
  const std::size_t inContact = 1 + ReachableControls().size();
  return inContact * 2 <= mLog.Raft().Voters().size();
}

std::vector<std::string> SyncService::ReachableControls() const {
  const Millis earliest =
      SteadyNow() - ControlContactTimeout(mPeerControls.size());
  std::vector<std::string> ids;
  for (const auto& [address, peer] : mPeerControls) {
    if (peer.mLastSeenAt > 0 && peer.mLastSeenAt > earliest) {
      ids.push_back(peer.mId);
    }
  }
  return ids;
}

void SyncService::Stop(std::function<void()> aEnd) {
  mVoters.Stop(std::move(aEnd));
  PollControls();
}

bool SyncService::HasToldOthers() const {
  const Millis earliest =
      SteadyNow() - ControlContactTimeout(mPeerControls.size());
  return std::all_of(mPeerControls.begin(), mPeerControls.end(),
                     [&](const auto& aItem) {
                       const PeerControl& peer = aItem.second;
                       return peer.mLastSeenAt <= earliest ||
                              peer.mAnsweredPollAt >= mVoters.StoppingSince();
                     });
}

void SyncService::PollControls() {
  if (!IsCutOff()) {
    mUpstreams.Expire();
  }
  mDirectory.SetVoters(mLog.Raft().Voters());
  const Endpoint self = mContext.mOptions.mRpcListen;
  const std::vector<Endpoint> all = mDirectory.Addresses(SteadyNow());
  for (const Endpoint& address : all) {
    if (address != self) {
      Poll(address);
    }
  }
  mPollTimer = mContext.mLoop.After(ControlPollInterval(all.size()),
                                    [this] { PollControls(); });
}

std::vector<std::string> SyncService::AnsweringIncarnations() {
  std::vector<std::string> answering = mRevisions.Answering(
      ControlContactTimeout(mPeerControls.size()), SteadyNow());
  if (!answering.empty()) {
    answering.push_back(mIncarnation);
  }
  return answering;
}

std::string SyncService::ReportedLeader() const {
  const Millis timeout = ControlContactTimeout(mPeerControls.size());
  return SteadyNow() - mLeaderReportedAt < timeout ? mReportedLeader : "";
}

void SyncService::PollLeader() {
  const std::string& leader = mLog.Raft().Leader();
  if (!leader.empty() && leader != mContext.mOptions.mId) {
    Poll(AddressOfControl(leader));
  }
}

void SyncService::Poll(const Endpoint& aAddress, bool aFetches) {
  PeerControl& peer = mPeerControls[aAddress.Text()];
  if (peer.mPolling) {
    return;
  }
  peer.mPolling = true;
  SyncRequest request;
  request.mProcess = mContext.mOptions.mId;
  request.mZone = mContext.mOptions.mZone;
  request.mControl = Self();
  request.mAnsweringIncarnations = AnsweringIncarnations();
  request.mKnownIncarnation = peer.mIncarnation;
  request.mRevision = mRevisions.Known(aAddress.Text());
  request.mSkipsUpstreams = !mRevisions.RequestsUpstreams(aAddress.Text());
  request.mKnownRouterList = mLoads.RouterListTagOf(aAddress.Text());
  request.mKnownLoads = peer.mLoadsSequence;
  request.mKnownCrashRevision = peer.mCrashRevision;
  request.mConfiguration = Traffic().mVersion;
  request.mWantsConfiguration = aFetches;
  const Millis polledAt = SteadyNow();
  mContext.mRpc.Call(
      aAddress, rpc_method::kSync, ToJson(request), kPollTimeout,
      [this, aAddress, polledAt, aFetches](const RpcResult& aResult) {
        mPeerControls[aAddress.Text()].mPolling = false;
        if (aFetches) {
          mFetch.End();
        }
        if (!aResult.mOk) {
          mRevisions.OnFailed(aAddress.Text());
          return;
        }
        ApplyAnswer(aAddress, FromJson<SyncAnswer>(aResult.mAnswer), polledAt);
        if (polledAt < mVoters.StoppingSince()) {
          Poll(aAddress);
        }
      });
}

void SyncService::ApplyAnswer(const Endpoint& aAddress,
                              const SyncAnswer& aAnswer, Millis aPolledAt) {
  const Millis now = SteadyNow();
  PeerControl& peer = mPeerControls[aAddress.Text()];
  const bool sameIncarnation = peer.mIncarnation == aAnswer.mIncarnation;
  peer.mIncarnation = aAnswer.mIncarnation;
  peer.mLastSeenAt = now;
  peer.mAnsweredPollAt = aPolledAt;
  mRevisions.OnAnswer({.mAddress = aAddress.Text(),
                       .mIncarnation = aAnswer.mIncarnation,
                       .mRevision = aAnswer.mRevision,
                       .mPolledAt = aPolledAt},
                      now);
  peer.mId = aAnswer.mSelf.mId;
  if (!aAnswer.mLeader.empty() && aAnswer.mTerm >= mReportedTerm) {
    mReportedLeader = aAnswer.mLeader;
    mReportedTerm = aAnswer.mTerm;
    mLeaderReportedAt = now;
  }
  mConfirmation.Update(aAnswer.mConfirmedVersion, aPolledAt,
                       aAnswer.mConfirmedAgo);
  if (aAnswer.mLoadsNumber == peer.mLoadsSequence && sameIncarnation) {
    mLoads.OnControlUnchanged(aAddress.Text(), aAnswer.mOwnRouters,
                              ReportTime());
  } else {
    mLoads.OnControlReport(aAddress.Text(),
                           mContext.mInvalidMessages.UnpackLoadShares(
                               "loads", aAnswer.mPackedLoads),
                           aAnswer.mOwnRouters, ReportTime());
    peer.mLoadsSequence = aAnswer.mLoadsNumber;
  }
  if (aAnswer.mRouterListTag != mLoads.RouterListTagOf(aAddress.Text())) {
    mLoads.OnControlRouters(aAddress.Text(), aAnswer.mOwnRouterList);
  }
  mDirectory.OnSeen(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mDirectory.OnReported(info, now);
  }
  mUpstreams.ApplyAnswer(aAnswer);
  peer.mCrashRevision = aAnswer.mCrashRevision;
  MergeCrashes(aAnswer.mCrashes, peer.mId);
  ApplyConfigurationUpdates(aAnswer);
  if (mFetch.TryStart(Traffic().mVersion, aAnswer.mHeldVersion, now)) {
    Poll(aAddress, true);
  }
}

void SyncService::ApplyConfigurationUpdates(const SyncAnswer& aAnswer) {
  for (const TrafficUpdate& update : aAnswer.mConfigurationUpdates) {
    const TrafficConfiguration& held = Traffic();
    const bool isApplicable =
        update.mVersion > held.mVersion &&
        (update.mBaseVersion == 0 || update.mBaseVersion == held.mVersion);
    if (!isApplicable) {
      return;
    }
    mTraffic.Add(ApplyTrafficUpdate(&held, update));
    mContext.mCounters.Set("traffic_version", update.mVersion);
    mContext.mCounters.Add("configurations_fetched");
    LogLine(LogLevel::kInfo, "configuration_fetched")
        .Add("version", static_cast<Json::Int64>(update.mVersion))
        .Add("from", aAnswer.mSelf.mId);
  }
}

void SyncService::SaveState() {
  // Some routers may just have ended or be out of contact.
  mRecentRouters.OnReport(KnownRouters(), SteadyNow());
  mCrashes.RemoveExpired(SteadyNow());
  mCrashStore.Save(mCrashes, SteadyNow());
  mLimitStore.Save(mLoads.RememberedLimits().InForce(), SteadyNow());
  mUpstreams.SaveLeaves();
  // A leader does not write these files, so that its log has the disk for
  // itself; the other controls store the same upstreams. A single voter has no
  // such substitute and writes them.
  if (!mLog.Raft().Leads() || mLog.Raft().Voters().size() == 1) {
    mUpstreams.SaveReady();
    mStamp.Save(mRecentRouters.Value(), WallNow(), SteadyNow());
  }
}

}  // namespace spindleweir
