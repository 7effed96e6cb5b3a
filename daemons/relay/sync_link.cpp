#include "daemons/relay/sync_link.h"

#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/servers/membership/source_choice.h"

namespace spindleweir {

namespace {

constexpr Millis kStepPeriod = 100;
/// While there is no lease: 0.1 s more is a tenth of what callers wait at most.
constexpr Millis kLackingStepPeriod = 25;
/// Upstreams that ended are looked for so often: it goes through all of them.
constexpr Millis kForgetPeriod = 1000;
/// Loads of others that are older than this say nothing any more.
constexpr Millis kLoadsKept = 2500;
constexpr int kNameBytes = 6;
/// A question that failed within this time was turned away: one that nobody
/// answers fails after 300 ms at the least.
constexpr Millis kRefusedWithin = 200;
/// The nearest control is heard where it answered within this time: it is asked
/// each half second at most, but for its back-off.
constexpr Millis kNearHeard = 1500;
/// Others are asked seldom only while it answers within so many of its periods:
/// a silence of it is made up for as fast as the others used to be asked.
constexpr Millis kFreshPeriods = 3;
/// Records of crashes in one question: some 20 KB.
constexpr std::size_t kMostCrashes = 128;

}  // namespace

SyncLink::SyncLink(RelayContext& aContext)
    : mContext(aContext),
      mProcess(aContext.mOptions.mId + "/" + RandomHex(kNameBytes)) {
  Step();
}

bool SyncLink::NearIsFresh() const {
  const auto it = mSources.find(mNear);
  return mNearAt > 0 && it != mSources.end() && it->second.mPeriod > 0 &&
         SteadyNow() - mNearAt < kFreshPeriods * it->second.mPeriod;
}

PolledControl SyncLink::Asked(const std::string& aAddress) {
  const Source& source = mSources[aAddress];
  return {.mInterval = source.mPeriod,
          .mFailures = source.mFailures,
          .mWasRefused = source.mWasRefused,
          .mIsNearest = aAddress == mNear,
          .mLacksConfiguration = mContext.Table() == nullptr,
          .mNearestAnswers = NearIsFresh(),
          .mCosts = mContext.mOptions.mCosts,
          .mLacksLease = LacksLease(),
          .mRouterCount = mContext.Routers(),
          .mJitter = source.mSpread};
}

void SyncLink::Step() {
  const Millis now = SteadyNow();
  SourceChoiceInput question;
  question.mDirectory = &mContext.mDirectory;
  question.mProcess = mProcess;
  question.mZone = mContext.mOptions.mZone;
  question.mFailedAt = mFailedAt;
  question.mNow = now;
  mControls = ChooseSources(question);
  const std::string near = mControls.empty() ? "" : mControls.front().Text();
  if (near != mNear) {
    mNear = near;
    mNearAt = 0;
  }
  for (const Endpoint& address : mControls) {
    const Source& source = mSources[address.Text()];
    if (!source.mAsking &&
        now - source.mAskedAt >= NextPollDelay(Asked(address.Text()))) {
      Ask(address);
    }
  }
  if (now - mForgotAt >= kForgetPeriod) {
    mForgotAt = now;
    mContext.mRegistry.RemoveEnded(now);
    mContext.mCrashes.RemoveExpired(now);
    mContext.mLimits.RetainKnown([this](const std::string& aInstance) {
      return mContext.mRegistry.Find(aInstance) != nullptr;
    });
  }
  if (now - mLoadsAt > kLoadsKept) {
    mContext.ForgetOtherLoads();
  }
  mTimer = mContext.mLoop.After(LacksLease() ? kLackingStepPeriod : kStepPeriod,
                                [this] { Step(); });
}

bool SyncLink::LacksLease() const {
  return mContext.Table() == nullptr || !mContext.LeaseHolds();
}

std::int64_t SyncLink::AddBeats(const Source& aSource,
                                SyncQuestion& aQuestion) {
  const CollectedHeartbeats untold =
      mContext.mTaker.Unreported(aSource.mLife, SteadyNow());
  if (!untold.mChanged.empty()) {
    aQuestion.mTakenUpstreams = PackUpstreams(untold.mChanged);
  }
  aQuestion.mTakenBeats = ToJson(HeartbeatTable::Of(untold.mHeartbeats));
  return untold.mNumber;
}

std::int64_t SyncLink::AddCrashes(const Source& aSource,
                                  SyncQuestion& aQuestion) {
  aQuestion.mKnowsCrashes = aSource.mCrashRevision;
  const CrashLedger::Changes changes = mContext.mCrashes.Ledger().ChangesSince(
      aSource.mCrashesTold, false, kMostCrashes, SteadyNow());
  aQuestion.mCrashes = WriteRows(changes.mRecords);
  return changes.mUpToRevision;
}

void SyncLink::TakeCrashes(Source& aSource, const SyncAnswer& aAnswer) {
  aSource.mCrashRevision = aAnswer.mCrashRevision;
  for (const CrashRecord& record :
       ReadCrashes(aAnswer.mCrashes, mContext.mBadWords.At("crashes"))) {
    const bool was = mContext.mCrashes.IsBarred(record.mRequestDigest);
    mContext.mCrashes.ApplyPeerRecord(record, SteadyNow());
    const bool is = mContext.mCrashes.IsBarred(record.mRequestDigest);
    if (was != is) {
      LogLine(LogLevel::kWarning, is ? "request_barred" : "request_not_barred")
          .Add("content", record.mRequestDigest)
          .Add("by", aAnswer.mSelf.mId)
          .Add("crashes", static_cast<int>(record.mCrashes.size()));
    }
  }
}

void SyncLink::Ask(const Endpoint& aAddress) {
  Source& source = mSources[aAddress.Text()];
  source.mAsking = true;
  source.mAskedAt = SteadyNow();
  source.mSpread = mContext.Random();
  SyncQuestion question;
  question.mProcess = mProcess;
  question.mZone = mContext.mOptions.mZone;
  question.mKnows = source.mLife;
  question.mRevision = source.mRevision;
  question.mConfiguration =
      mContext.Table() == nullptr ? 0 : mContext.Table()->Version();
  question.mSilent = WriteRows(mContext.mRegistry.SilentUpstreams());
  question.mHearsNear = mNearAt > 0 && SteadyNow() - mNearAt < kNearHeard;
  question.mTakesAt =
      mContext.mStopping ? "" : mContext.mOptions.mHeartbeatAddress;
  const std::string life = source.mLife;
  std::int64_t beats = 0;
  if (aAddress.Text() == mNear) {
    beats = AddBeats(source, question);
    question.mKnowsLoads = source.mLoadsNumber;
    LoadShares own = mContext.OwnLoads();
    question.mLoads = LoadTable::Of(own);
    question.mTellsLoads = mTold.Record(std::move(own));
  }
  const std::int64_t crashes = AddCrashes(source, question);
  const Millis askedAt = source.mAskedAt;
  const Millis timeout = PollTimeout(Asked(aAddress.Text()));
  mContext.mRpc.Call(aAddress, rpc_method::kSync, ToJson(question), timeout,
                     [this, aAddress, askedAt, life, beats,
                      crashes](const RpcResult& aResult) {
                       mSources[aAddress.Text()].mAsking = false;
                       if (!aResult.mOk) {
                         Failed(aAddress, askedAt);
                         return;
                       }
                       const auto answer =
                           FromJson<SyncAnswer>(aResult.mAnswer);
                       if (beats > 0 && answer.mLife == life) {
                         mContext.mTaker.Acknowledge(life, beats);
                       }
                       if (answer.mLife == life) {
                         mSources[aAddress.Text()].mCrashesTold = crashes;
                       }
                       Take(aAddress, answer, askedAt);
                     });
}

void SyncLink::Failed(const Endpoint& aAddress, Millis aAskedAt) {
  mContext.mCounters.Add("sync_failures");
  Source& source = mSources[aAddress.Text()];
  source.mWasRefused = SteadyNow() - aAskedAt < kRefusedWithin;
  source.mFailures += source.mWasRefused ? 0 : 1;
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
      .Add("start", static_cast<Json::Int64>(aRecord.mStart))
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence))
      .Add("by", aBy);
}

void SyncLink::TakeLoads(Source& aSource, const SyncAnswer& aAnswer,
                         Millis aAskedAt) {
  mLoadsAt = SteadyNow();
  const bool unchanged = aAnswer.mLoadsNumber == aSource.mLoadsNumber &&
                         aAnswer.mPackedLoads.empty();
  if (unchanged && aAnswer.mLoadsNumber != 0) {
    return;
  }
  aSource.mLoadsNumber = aAnswer.mLoadsNumber;
  // Others tell their work as often as this router, to this control or by way
  // of another: on the whole what is told is one such period old.
  mContext.SetOtherLoads(
      mTold.SubtractReported(
          mContext.mBadWords.Loads("loads", aAnswer.mPackedLoads),
          aAnswer.mSummedLoads),
      aAskedAt - aAnswer.mAskEvery - aAnswer.mLoadsAgo);
}

void SyncLink::Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                    Millis aAskedAt) {
  const Millis now = SteadyNow();
  Source& source = mSources[aAddress.Text()];
  if (source.mLife != aAnswer.mLife) {
    source.mLoadsNumber = 0;
    // A process that started again knows what is on its disk, at most.
    source.mCrashesTold = 0;
  }
  source.mLife = aAnswer.mLife;
  source.mRevision = aAnswer.mRevision;
  source.mPeriod = aAnswer.mAskEvery;
  source.mFailures = 0;
  source.mWasRefused = false;
  if (mFailedAt.erase(aAddress.Text()) > 0) {
    LogLine(LogLevel::kInfo, "control_regained")
        .Add("address", aAddress.Text());
  }
  mContext.mDirectory.OnSeen(aAnswer.mSelf, now);
  for (const ControlInfo& info : aAnswer.mControls) {
    mContext.mDirectory.OnSeen(info, now);
  }
  for (const UpstreamUpdate& news : aAnswer.mNewsOfUpstreams) {
    for (const UpstreamRecord& record :
         mContext.mBadWords.Unpack("news", news)) {
      TakeUpstream(record, aAnswer.mSelf.mId);
    }
  }
  for (const UpstreamRecord& record : ReadRows<UpstreamRecord>(
           aAnswer.mNotSilent, mContext.mBadWords.At("news"))) {
    TakeUpstream(record, aAnswer.mSelf.mId);
  }
  mContext.mGuard->MoveOffRestarted();
  TakeCrashes(source, aAnswer);
  if (aAddress.Text() == mNear) {
    mNearAt = now;
    TakeLoads(source, aAnswer, aAskedAt);
  }
  mContext.TakeRouters(aAnswer.mRouters, aAnswer.mSelf.mId);
  for (const TrafficUpdate& news : aAnswer.mNews) {
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
