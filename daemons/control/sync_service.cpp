#include "daemons/control/sync_service.h"

#include <algorithm>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/membership/ask_schedule.h"
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
/// Heartbeats that may be missed before an upstream counts as silent.
constexpr int kMissedBeats = 3;
/// News of a leaving upstream is acknowledged after this time even where no
/// other control has it.
constexpr Millis kTellTimeout = 500;
constexpr int kLifeBytes = 6;
/// Another control that did not answer for so long is not in contact.
constexpr Millis kContact = 1500;
/// Routers that must agree that an upstream cannot be reached.
constexpr int kWitnesses = 2;
/// And for this long more where routers take heartbeats: one that is lost is
/// noticed after a second, its upstreams call again within another, and what is
/// heard comes with the next question.
constexpr Millis kTakerLost = 2400;

}  // namespace

SyncService::SyncService(ControlContext& aContext,
                         ReplicatedConfiguration& aLog)
    : mContext(aContext),
      mLog(aLog),
      mLife(RandomHex(kLifeBytes)),
      mStore(aContext.mOptions.mData + "/upstreams"),
      mTakers({.mOwnBeats = aContext.mOptions.mOwnBeats}),
      mParts(aContext.mLoop, aContext.mCounters) {
  mDirectory.SetSeeds(mContext.mOptions.mSeeds);
  LogLine(LogLevel::kInfo, "upstreams_restored")
      .Add("count", static_cast<int>(mStore.Load(mRegistry, SteadyNow())));
  mLog.Machine().SignalPublished().connect(
      [this](const PublishedDocument& aPublished) { mUnread = aPublished; });
  if (mLog.Machine().Published().mVersion > 0) {
    mUnread = mLog.Machine().Published();
  }
  mContext.mDispatcher.On(
      rpc_method::kSync, [this](const Json::Value& aMessage) {
        return ToJson(Answer(FromJson<SyncQuestion>(aMessage)));
      });
  mContext.mDispatcher.On(
      rpc_method::kNotice, [this](const Json::Value& aMessage) {
        for (const UpstreamRecord& record :
             FromJson<UpstreamNotice>(aMessage).mUpstreams) {
          mRegistry.Merge(record, SteadyNow());
        }
        return Json::Value(Json::objectValue);
      });
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
  mTraffic.Take(mContext.mOptions.mDocuments.mRead(
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
  const Asker asker{.mIsNear = aQuestion.mTellsLoads > 0,
                    .mHearsNear = aQuestion.mHearsNear};
  if (fromControl ? IsToldControls(aQuestion, now) : TellsControls(asker)) {
    answer.mControls = mDirectory.Lately(kControlsTold, now);
    answer.mLeader = mLog.Raft().Leader();
    answer.mTerm = mLog.Raft().Term();
  }
  AddUpstreams(aQuestion, answer);
  ConfirmOwn(now);
  answer.mConfirmedVersion = mConfirmation.Version();
  answer.mConfirmedAgo = mConfirmation.Age(now);
  if (!fromControl) {
    answer.mNews = mTraffic.NewsSince(aQuestion.mConfiguration);
  }
  answer.mRouters = std::max(1, mLoads.AllRouters(now));
  answer.mOwnRouters = mLoads.OwnRouters(now);
  answer.mAskEvery = std::max(
      kAskedEvery,
      static_cast<Millis>(kEachAsker * static_cast<double>(mAskedAt.size())));
  AddLoads(aQuestion, answer);
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

void SyncService::AddLoads(const SyncQuestion& aQuestion, SyncAnswer& aAnswer) {
  const Millis now = SteadyNow();
  const bool fromControl = !aQuestion.mControl.mId.empty();
  if (!fromControl && aQuestion.mTellsLoads == 0) {
    return;
  }
  const ZoneHook zoneOf = [this](const std::string& aInstance) {
    const UpstreamRecord* record = mRegistry.Find(aInstance);
    return record == nullptr ? "" : record->mZone;
  };
  const PackedLoads& loads =
      fromControl ? mLoads.PackedOwn(now)
                  : mLoads.PackedSum(aQuestion.mZone, zoneOf, now);
  aAnswer.mLoadsNumber = loads.mNumber;
  aAnswer.mLoadsAgo = now - loads.mMadeAt;
  const bool known =
      aQuestion.mKnows == mLife && aQuestion.mKnowsLoads == loads.mNumber;
  if (!known) {
    aAnswer.mPackedLoads = loads.mText;
  }
  if (!fromControl) {
    aAnswer.mSummedLoads = mLoads.SummedOf(aQuestion.mProcess);
  }
}

void SyncService::AddUpstreams(const SyncQuestion& aQuestion,
                               SyncAnswer& aAnswer) {
  const Millis now = SteadyNow();
  const std::int64_t known =
      aQuestion.mKnows == mLife ? aQuestion.mRevision : 0;
  const bool fromControl = !aQuestion.mControl.mId.empty();
  const Asker asker{.mIsNear = aQuestion.mTellsLoads > 0,
                    .mHearsNear = aQuestion.mHearsNear};
  FeedAnswer feed{.mNews = {}, .mRevision = known};
  if (fromControl || TellsUpstreams(asker, mRegistry.Size())) {
    feed = mFeed.Since(mRegistry, known, now);
  }
  aAnswer.mRevision = feed.mRevision;
  aAnswer.mNewsOfUpstreams = std::move(feed.mNews);
  if (fromControl) {
    const std::set<std::string> hears(aQuestion.mHears.begin(),
                                      aQuestion.mHears.end());
    aAnswer.mBeats =
        BeatTable::Of(mRegistry.BeatsSince(known, feed.mRevision, now, hears));
  }
  aAnswer.mNotSilent =
      mRegistry.HeardLater(aQuestion.mSilent, SilentAfter(), now);
}

void SyncService::ConfirmOwn(Millis aNow) {
  const Millis confirmed = mLog.Raft().ConfirmedAt();
  if (confirmed >= 0) {
    mConfirmation.Take(Traffic().mVersion, aNow, aNow - confirmed);
  }
}

void SyncService::Remember(const SyncQuestion& aQuestion) {
  const Millis now = SteadyNow();
  if (!aQuestion.mControl.mId.empty()) {
    mDirectory.Heard(aQuestion.mControl, now);
    return;
  }
  mAskedAt[aQuestion.mProcess] = now;
  mTakers.Asked(aQuestion.mProcess, aQuestion.mZone, aQuestion.mTakesAt, now);
  TakeBeats(aQuestion);
  std::erase_if(mAskedAt, [now](const auto& aItem) {
    return now - aItem.second > kAskerKept;
  });
  if (aQuestion.mTellsLoads > 0) {
    mLoads.Tell(aQuestion.mProcess, aQuestion.mTellsLoads,
                aQuestion.mLoads.Shares(), now);
  }
}

std::set<std::string> SyncService::Unreachable() {
  return mLoads.Unreachable(kWitnesses, SteadyNow());
}

bool SyncService::CutOff() const {
  const Millis now = SteadyNow();
  std::size_t heard = 1;
  for (const auto& [address, source] : mSources) {
    heard += source.mHeardAt > 0 && now - source.mHeardAt < kContact ? 1 : 0;
  }
  return heard * 2 <= mLog.Raft().Voters().size();
}

Millis SyncService::SilentAfter() const {
  return kMissedBeats * mContext.mOptions.mHeartbeatInterval +
         (mTakers.Delegates(SteadyNow()) ? kTakerLost : 0);
}

void SyncService::LogChanged(const UpstreamRecord& aRecord) {
  LogLine(LogLevel::kInfo, "upstream_changed")
      .Add("instance", aRecord.mInstance)
      .Add("service", aRecord.mService)
      .Add("address", aRecord.mAddress)
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("from", aRecord.mLayers.mFrom)
      .Add("to", aRecord.mLayers.mTo)
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence));
}

void SyncService::TakeBeats(const SyncQuestion& aQuestion) {
  const Millis now = SteadyNow();
  if (!aQuestion.mTakenUpstreams.empty()) {
    for (const UpstreamRecord& record :
         UnpackUpstreams(aQuestion.mTakenUpstreams)) {
      if (mRegistry.Merge(record, now)) {
        LogChanged(record);
      }
    }
  }
  for (const UpstreamBeat& beat : aQuestion.mTakenBeats.Beats()) {
    mRegistry.Touch(beat, now);
  }
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
    for (const UpstreamRecord& record :
         mRegistry.Expire(SilentAfter(), SteadyNow())) {
      LogLine(LogLevel::kInfo, "upstream_silent")
          .Add("instance", record.mInstance)
          .Add("address", record.mAddress)
          .Add("sequence", static_cast<Json::Int64>(record.mSequence))
          .Add("heard_ago_ms", static_cast<Json::Int64>(record.mHeardAgo));
    }
  }
  const Endpoint own = mContext.mOptions.mRpcListen;
  for (const Endpoint& address : mDirectory.Addresses(SteadyNow())) {
    if (address != own) {
      Ask(address);
    }
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
  mConfirmation.Take(aAnswer.mConfirmedVersion, aAskedAt,
                     aAnswer.mConfirmedAgo);
  if (aAnswer.mLoadsNumber == source.mLoadsNumber && sameLife) {
    mLoads.HearOfControl(aAddress.Text(), aAnswer.mOwnRouters, now);
  } else {
    mLoads.TellOfControl(aAddress.Text(), UnpackLoads(aAnswer.mPackedLoads),
                         aAnswer.mOwnRouters, now);
    source.mLoadsNumber = aAnswer.mLoadsNumber;
  }
  mDirectory.Heard(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mDirectory.Heard(info, now);
  }
  for (const UpstreamNews& news : aAnswer.mNewsOfUpstreams) {
    for (UpstreamRecord& record : UnpackUpstreams(news.mText)) {
      record.mHeardAgo += news.mAgo;
      mRegistry.Merge(record, now, source.mId);
    }
  }
  for (const UpstreamBeat& beat : aAnswer.mBeats.Beats()) {
    mRegistry.Touch(beat, now, source.mId);
  }
}

void SyncService::Beat(const UpstreamRecord& aRecord, const BeatDone& aDone) {
  const UpstreamRecord* before = mRegistry.Find(aRecord.mInstance);
  const bool leaves =
      aRecord.mState == UpstreamState::kLeaving &&
      (before == nullptr || before->mState < UpstreamState::kLeaving);
  if (mRegistry.Beat(aRecord, SteadyNow())) {
    LogChanged(aRecord);
  }
  if (!leaves) {
    aDone({.mAccepted = true,
           .mLaterAt =
               mTakers.Take(aRecord.mInstance, aRecord.mZone, SteadyNow())});
    return;
  }
  Tell(aRecord.mInstance, aDone);
}

void SyncService::Leave(const std::string& aInstance, const BeatDone& aDone) {
  if (!mRegistry.Leave(aInstance, SteadyNow())) {
    aDone({});
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_gone").Add("instance", aInstance);
  Tell(aInstance, aDone);
}

void SyncService::Tell(const std::string& aInstance, const BeatDone& aDone) {
  const UpstreamRecord* record = mRegistry.Find(aInstance);
  const auto done = std::make_shared<BeatDone>(aDone);
  const auto finish = [done] {
    const BeatDone call = std::move(*done);
    *done = nullptr;
    if (call) {
      call({});
    }
  };
  bool told = false;
  for (const ControlInfo& info : mDirectory.Lately(kAskerKept, SteadyNow())) {
    if (info.mId == mContext.mOptions.mId) {
      continue;
    }
    told = true;
    mContext.mRpc.Call(AddressOfControl(info.mId), rpc_method::kNotice,
                       ToJson(UpstreamNotice{{*record}}), kTellTimeout,
                       [finish](const RpcResult& aResult) {
                         if (aResult.mOk) {
                           finish();
                         }
                       });
  }
  if (!told) {
    finish();
    return;
  }
  const auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = mContext.mLoop.After(kTellTimeout, [finish, timer] {
    finish();
    timer->reset();
  });
}

void SyncService::KeepUpstreams() {
  // Disks hang for seconds at times. A leader does without the file, so that
  // nobody waits for it then; all others have the same upstreams.
  if (!mLog.Raft().Leads() || mLog.Raft().Voters().size() == 1) {
    mStore.Save(mRegistry, SteadyNow());
  }
}

void SyncService::StepVoters() {
  if (!mLog.Raft().Leads()) {
    return;
  }
  VoterQuestion question;
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
