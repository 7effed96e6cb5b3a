#include "daemons/control/sync_service.h"

#include <algorithm>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "spindleweir/servers/membership/voter_plan.h"

namespace spindleweir {

namespace {

constexpr Millis kAskPeriod = 300;
constexpr Millis kAskTimeout = 1000;
constexpr Millis kStepPeriod = 500;
/// Controls hear each other themselves; what they heard of the rest is told
/// this often: six of them are 640 of 2,670 bytes of an exchange.
constexpr Millis kTellControlsEvery = 1000;
constexpr Millis kControlsTold = 10000;
/// A process that did not ask for so long is not counted any more.
constexpr Millis kAskerKept = 2500;
/// How often a router asks a control of its own zone; where more routers ask,
/// each asks less often, so that a control has the same work at any size.
constexpr Millis kAskedEvery = 150;
constexpr double kEachAsker = 3.5;
constexpr int kLifeBytes = 6;
/// Records of crashes in one answer: some 40 KB.
constexpr std::size_t kMostCrashes = 256;
/// After this time all routers have asked, and those of the last start count
/// for nothing any more.
constexpr Millis kRoutersBefore = 3000;
/// Another control that did not answer for so long is not in contact.
constexpr Millis kContact = 1500;
/// Routers that must agree that an upstream cannot be reached.
constexpr int kWitnesses = 2;

}  // namespace

SyncService::SyncService(ControlContext& aContext,
                         ReplicatedConfiguration& aLog)
    : mContext(aContext),
      mLog(aLog),
      mLife(RandomHex(kLifeBytes)),
      mStamp(aContext.mOptions.mData + "/stamp"),
      mBefore(mStamp.Load(WallNow())),
      mStartedAt(SteadyNow()),
      mUpstreams(
          aContext, mDirectory,
          [this](const std::string& aService) {
            const TrafficConfiguration& traffic = Traffic();
            return traffic.mVersion == 0 ||
                   traffic.FindService(aService) != nullptr;
          },
          mBefore.mFresh),
      mParts(aContext.mLoop, aContext.mCounters),
      mCrashStore(aContext.mOptions.mData + "/barred") {
  mCrashStore.Load(mCrashes, SteadyNow(), mContext.mBadWords.At("disk"));
  LogLine(LogLevel::kInfo, "stamp_read")
      .Add("upstreams_fresh", mBefore.mFresh)
      .Add("routers", mBefore.mRouters);
  mDirectory.SetSeeds(mContext.mOptions.mSeeds);
  mLog.Machine().SignalPublished().connect(
      [this](const PublishedDocument& aPublished) { mUnread = aPublished; });
  if (mLog.Machine().Published().mVersion > 0) {
    mUnread = mLog.Machine().Published();
  }
  mContext.mDispatcher.On(
      rpc_method::kSync, [this](const Json::Value& aMessage) {
        return ToJson(Answer(FromJson<SyncQuestion>(aMessage)));
      });
  mLog.SignalSettled().connect([this] { AskLeader(); });
  mAskTimer = mContext.mLoop.Every(kAskPeriod, [this] { AskOthers(); });
  mStepTimer = mContext.mLoop.Every(kStepPeriod, [this] {
    StepVoters();
    KeepUpstreams();
  });
  AskOthers();
}

const TrafficConfiguration& SyncService::Traffic() {
  if (!mUnread.has_value()) {
    return mTraffic.Current();
  }
  const PublishedDocument newest = std::move(*mUnread);
  mUnread.reset();
  if (newest.mVersion <= mTraffic.Current().mVersion) {
    // A log that is opened again goes through what was known before.
    return mTraffic.Current();
  }
  mTraffic.Add(mContext.mOptions.mDocuments.mRead(
      Unpack(newest.mDocument, kMostUnpacked)));
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
          .mOperator = mContext.mOptions.mOperatorListen.Text()};
}

void SyncService::SetSeeds(std::vector<Endpoint> aSeeds) {
  mDirectory.SetSeeds(std::move(aSeeds));
}

SyncAnswer SyncService::Answer(const SyncQuestion& aQuestion) {
  const Millis now = SteadyNow();
  Remember(aQuestion);
  SyncAnswer answer;
  answer.mSelf = Self();
  answer.mLife = mLife;
  const bool fromControl = !aQuestion.mControl.mId.empty();
  const PollingRouter asker{.mIsNearest = aQuestion.mTellsLoads > 0,
                            .mNearestAnswers = aQuestion.mHearsNear};
  if (fromControl ? IsToldControls(aQuestion, now) : SendsControlList(asker)) {
    answer.mControls = mDirectory.SeenWithin(kControlsTold, now);
    answer.mLeader = mLog.Raft().Leader();
    answer.mTerm = mLog.Raft().Term();
  }
  mUpstreams.Answer(aQuestion, mLife, answer);
  ConfirmOwn(now);
  answer.mConfirmedVersion = mConfirmation.Version();
  answer.mConfirmedAgo = mConfirmation.Age(now);
  if (!fromControl) {
    answer.mNews = mTraffic.UpdatesSince(aQuestion.mConfiguration);
  }
  answer.mRouters = Routers(now);
  answer.mOwnRouters = mLoads.LocalRouters(now);
  answer.mAskEvery = std::max(
      kAskedEvery,
      static_cast<Millis>(kEachAsker * static_cast<double>(mAskedAt.size())));
  AddLoads(aQuestion, answer);
  AddCrashes(aQuestion, answer);
  mParts.Count(aQuestion, answer);
  return answer;
}

bool SyncService::IsToldControls(const SyncQuestion& aQuestion, Millis aNow) {
  const bool first = aQuestion.mKnows != mLife;
  Millis& toldAt = mControlsToldAt[aQuestion.mControl.mId];
  if (!first && aNow - toldAt < kTellControlsEvery) {
    return false;
  }
  toldAt = aNow;
  return true;
}

RouterShare SyncService::Routers() {
  const Millis now = SteadyNow();
  return {.mLocal = mLoads.LocalRouters(now), .mTotal = Routers(now)};
}

void SyncService::RefreshGauges() {
  const Millis now = SteadyNow();
  mContext.mCounters.Set("routers_here", mLoads.LocalRouters(now));
  mContext.mCounters.Set("routers_known", Routers(now));
}

int SyncService::Routers(Millis aNow) {
  // After a start many tell two controls within moments, and count twice: with
  // 66 for 35 each let in half of what it could, and refused 48.
  const bool starting = aNow - mStartedAt < kRoutersBefore;
  return starting && mBefore.mRouters > 0
             ? mBefore.mRouters
             : std::max(1, mLoads.AllRouters(aNow));
}

void SyncService::AddLoads(const SyncQuestion& aQuestion, SyncAnswer& aAnswer) {
  const Millis now = SteadyNow();
  const bool fromControl = !aQuestion.mControl.mId.empty();
  if (!fromControl && aQuestion.mTellsLoads == 0) {
    return;
  }
  const ZoneHook zoneOf = [this](const std::string& aInstance) {
    const UpstreamRecord* record = mUpstreams.Registry().Find(aInstance);
    return record == nullptr ? "" : record->mZone;
  };
  const PackedLoads& loads =
      fromControl ? mLoads.PackedLocal(now)
                  : mLoads.PackedSum(aQuestion.mZone, zoneOf, now);
  aAnswer.mLoadsNumber = loads.mSequence;
  aAnswer.mLoadsAgo = now - loads.mBuiltAt;
  const bool known =
      aQuestion.mKnows == mLife && aQuestion.mKnowsLoads == loads.mSequence;
  if (!known) {
    aAnswer.mPackedLoads = loads.mText;
  }
  if (!fromControl) {
    aAnswer.mSummedLoads = mLoads.IncludedSequence(aQuestion.mProcess);
  }
}

void SyncService::TakeCrashes(const std::vector<Json::Value>& aRows,
                              const std::string& aBy) {
  const Millis now = SteadyNow();
  for (const CrashRecord& record :
       ReadCrashes(aRows, mContext.mBadWords.At("crashes"))) {
    const bool was = mCrashes.IsBarred(record.mRequestDigest);
    mCrashes.Merge(record, now);
    const bool is = mCrashes.IsBarred(record.mRequestDigest);
    if (was != is) {
      LogLine(LogLevel::kWarning, is ? "request_barred" : "request_not_barred")
          .Add("content", record.mRequestDigest)
          .Add("by", aBy)
          .Add("crashes", static_cast<int>(record.mCrashes.size()));
    }
  }
  mContext.mCounters.Set("requests_barred",
                         static_cast<std::int64_t>(mCrashes.BarredRequests()));
  mCrashStore.Save(mCrashes, now);
}

void SyncService::AddCrashes(const SyncQuestion& aQuestion,
                             SyncAnswer& aAnswer) {
  const bool fromControl = !aQuestion.mControl.mId.empty();
  const std::int64_t known =
      aQuestion.mKnows == mLife ? aQuestion.mKnowsCrashes : 0;
  const CrashLedger::Changes changes =
      mCrashes.ChangesSince(known, !fromControl, kMostCrashes, SteadyNow());
  aAnswer.mCrashes = WriteRows(changes.mRecords);
  aAnswer.mCrashRevision = changes.mUpToRevision;
}

void SyncService::ConfirmOwn(Millis aNow) {
  const Millis confirmed = mLog.Raft().ConfirmedAt();
  if (confirmed >= 0) {
    mConfirmation.Update(Traffic().mVersion, aNow, aNow - confirmed);
  }
}

void SyncService::Remember(const SyncQuestion& aQuestion) {
  const Millis now = SteadyNow();
  if (!aQuestion.mControl.mId.empty()) {
    mDirectory.OnSeen(aQuestion.mControl, now);
    return;
  }
  TakeCrashes(aQuestion.mCrashes, aQuestion.mProcess);
  mAskedAt[aQuestion.mProcess] = now;
  mUpstreams.Asked(aQuestion);
  std::erase_if(mAskedAt, [now](const auto& aItem) {
    return now - aItem.second > kAskerKept;
  });
  if (aQuestion.mTellsLoads > 0) {
    mLoads.OnRouterReport(
        aQuestion.mProcess, aQuestion.mTellsLoads,
        UsableRows(aQuestion.mLoads, mContext.mBadWords.At("loads")).ToShares(),
        now);
  }
}

std::set<std::string> SyncService::Unreachable() {
  return mLoads.UnreachableUpstreams(kWitnesses, SteadyNow());
}

bool SyncService::CutOff() const {
  const Millis now = SteadyNow();
  std::size_t heard = 1;
  for (const auto& [address, source] : mSources) {
    heard += source.mHeardAt > 0 && now - source.mHeardAt < kContact ? 1 : 0;
  }
  return heard * 2 <= mLog.Raft().Voters().size();
}

std::vector<std::string> SyncService::Hears() const {
  const Millis now = SteadyNow();
  std::vector<std::string> ids;
  for (const auto& [address, source] : mSources) {
    if (source.mHeardAt > 0 && now - source.mHeardAt < kContact) {
      ids.push_back(source.mId);
    }
  }
  return ids;
}

void SyncService::AskOthers() {
  if (!CutOff()) {
    mUpstreams.Expire();
  }
  const Endpoint own = mContext.mOptions.mRpcListen;
  for (const Endpoint& address : mDirectory.Addresses(SteadyNow())) {
    if (address != own) {
      Ask(address);
    }
  }
}

std::string SyncService::LeaderHeardOf() const {
  return SteadyNow() - mToldLeaderAt < kContact ? mToldLeader : "";
}

void SyncService::AskLeader() {
  const std::string& leader = mLog.Raft().Leader();
  if (!leader.empty() && leader != mContext.mOptions.mId) {
    Ask(AddressOfControl(leader));
  }
}

void SyncService::Ask(const Endpoint& aAddress) {
  Source& source = mSources[aAddress.Text()];
  if (source.mAsking) {
    return;
  }
  source.mAsking = true;
  SyncQuestion question;
  question.mProcess = mContext.mOptions.mId;
  question.mZone = mContext.mOptions.mZone;
  question.mControl = Self();
  question.mHears = Hears();
  question.mKnows = source.mLife;
  question.mRevision = source.mRevision;
  question.mKnowsLoads = source.mLoadsNumber;
  question.mKnowsCrashes = source.mCrashRevision;
  question.mConfiguration = Traffic().mVersion;
  const Millis askedAt = SteadyNow();
  mContext.mRpc.Call(aAddress, rpc_method::kSync, ToJson(question), kAskTimeout,
                     [this, aAddress, askedAt](const RpcResult& aResult) {
                       mSources[aAddress.Text()].mAsking = false;
                       if (aResult.mOk) {
                         Take(aAddress, FromJson<SyncAnswer>(aResult.mAnswer),
                              askedAt);
                       }
                     });
}

void SyncService::Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                       Millis aAskedAt) {
  const Millis now = SteadyNow();
  Source& source = mSources[aAddress.Text()];
  const bool sameLife = source.mLife == aAnswer.mLife;
  source.mLife = aAnswer.mLife;
  source.mRevision = aAnswer.mRevision;
  source.mHeardAt = now;
  source.mId = aAnswer.mSelf.mId;
  if (!aAnswer.mLeader.empty() && aAnswer.mTerm >= mToldTerm) {
    mToldLeader = aAnswer.mLeader;
    mToldTerm = aAnswer.mTerm;
    mToldLeaderAt = now;
  }
  mConfirmation.Update(aAnswer.mConfirmedVersion, aAskedAt,
                       aAnswer.mConfirmedAgo);
  if (aAnswer.mLoadsNumber == source.mLoadsNumber && sameLife) {
    mLoads.OnControlUnchanged(aAddress.Text(), aAnswer.mOwnRouters, now);
  } else {
    mLoads.OnControlReport(
        aAddress.Text(),
        mContext.mBadWords.Loads("loads", aAnswer.mPackedLoads),
        aAnswer.mOwnRouters, now);
    source.mLoadsNumber = aAnswer.mLoadsNumber;
  }
  mDirectory.OnSeen(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mDirectory.OnSeen(info, now);
  }
  mUpstreams.Take(aAnswer, source.mId);
  source.mCrashRevision = aAnswer.mCrashRevision;
  TakeCrashes(aAnswer.mCrashes, source.mId);
}

void SyncService::KeepUpstreams() {
  mCrashes.RemoveExpired(SteadyNow());
  mCrashStore.Save(mCrashes, SteadyNow());
  // Disks hang for seconds at times. A leader does without the file, so that
  // nobody waits for it then; all others have the same upstreams.
  if (!mLog.Raft().Leads() || mLog.Raft().Voters().size() == 1) {
    const Millis now = SteadyNow();
    mUpstreams.Save();
    mStamp.Save(Routers(now), WallNow(), now);
  }
}

void SyncService::StepVoters() {
  if (!mLog.Raft().Leads()) {
    return;
  }
  VoterPlanInput question;
  question.mSelf = mContext.mOptions.mId;
  question.mVoters = mLog.Raft().Voters();
  question.mDirectory = &mDirectory;
  question.mNow = SteadyNow();
  const std::vector<std::string> next = NextVoters(question);
  if (next == question.mVoters || !mLog.ChangeVoters(next)) {
    return;
  }
  Json::Value list(Json::arrayValue);
  for (const std::string& id : next) {
    list.append(id);
  }
  LogLine(LogLevel::kInfo, "voters_changing").Add("voters", list);
}

}  // namespace spindleweir
