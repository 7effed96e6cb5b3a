#include "daemons/control/upstream_intake.h"

#include <set>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/servers/membership/poll_schedule.h"

namespace spindleweir {

namespace {

/// Heartbeats that an upstream may miss before it counts as silent.
constexpr int kMaxMissedHeartbeats = 3;
/// Added to the silence timeout while routers collect heartbeats: the loss of a
/// collector is noticed after one second, its upstreams send their heartbeats
/// elsewhere within another, and these arrive with the next poll.
constexpr Millis kCollectorLossDelay = 2400;
/// A leave is acknowledged after this time even if no other control has
/// confirmed the notice of it.
constexpr Millis kNotifyTimeout = 500;
/// Controls that were seen within this window are sent a notice of a leave.
constexpr Millis kNotifyWindow = 2500;

void LogChanged(const char* aEvent, const UpstreamRecord& aRecord) {
  LogLine(LogLevel::kInfo, aEvent)
      .Add("instance", aRecord.mInstance)
      .Add("start", static_cast<Json::Int64>(aRecord.mStart))
      .Add("service", aRecord.mService)
      .Add("address", aRecord.mAddress)
      .Add("state", static_cast<int>(aRecord.mState))
      .Add("from", aRecord.mLayers.mFrom)
      .Add("to", aRecord.mLayers.mTo)
      .Add("sequence", static_cast<Json::Int64>(aRecord.mSequence));
}

}  // namespace

UpstreamIntake::UpstreamIntake(ControlContext& aContext,
                               const ControlDirectory& aDirectory,
                               ServiceHook aKnowsService, bool aRestores)
    : mContext(aContext),
      mDirectory(aDirectory),
      mKnowsService(std::move(aKnowsService)),
      mStore(aContext.mOptions.mData + "/upstreams",
             aContext.ReplaceInBackground()),
      mCollectorChoice(
          {.mMaxLocalHeartbeats = aContext.mOptions.mMaxLocalHeartbeats}) {
  if (aRestores) {
    Restore();
  }
  mRegistry.SetSuccessorHook([this](const UpstreamRecord& aRecord) {
    mContext.mCounters.Add("upstreams_restarted");
    LogChanged("upstream_restarted", aRecord);
  });
  mContext.mDispatcher.On(rpc_method::kNotice,
                          [this](const Json::Value& aMessage) {
                            OnNotice(FromJson<UpstreamNotice>(aMessage));
                            return Json::Value(Json::objectValue);
                          });
}

void UpstreamIntake::Restore() {
  const std::size_t count = mStore.Load(
      mRegistry, SteadyNow(), mContext.mInvalidMessages.HookFor("disk"));
  LogLine(LogLevel::kInfo, "upstreams_restored")
      .Add("count", static_cast<int>(count));
}

void UpstreamIntake::OnNotice(const UpstreamNotice& aNotice) {
  for (const UpstreamRecord& record : ReadRows<UpstreamRecord>(
           aNotice.mUpstreams, mContext.mInvalidMessages.HookFor("news"))) {
    mRegistry.Merge(record, SteadyNow());
  }
}

void UpstreamIntake::OnPolled(const SyncRequest& aRequest) {
  const Millis now = SteadyNow();
  mCollectorChoice.OnPolled(aRequest.mProcess, aRequest.mZone,
                            aRequest.mCollectorAddress, now);
  if (!aRequest.mCollectedUpstreams.empty()) {
    for (const UpstreamRecord& record : mContext.mInvalidMessages.Unpack(
             "news", aRequest.mCollectedUpstreams)) {
      if (mRegistry.Merge(record, now)) {
        LogChanged("upstream_changed", record);
      }
    }
  }
  for (const UpstreamHeartbeat& heartbeat :
       mContext.mInvalidMessages.UnpackHeartbeats(
           "news", aRequest.mCollectedHeartbeats)) {
    mRegistry.MergeHeartbeat(heartbeat, now);
  }
}

void UpstreamIntake::ApplyAnswer(const SyncAnswer& aAnswer) {
  const Millis now = SteadyNow();
  for (const UpstreamUpdate& update : aAnswer.mUpstreamUpdates) {
    for (const UpstreamRecord& record :
         mContext.mInvalidMessages.Unpack("news", update)) {
      mRegistry.Merge(record, now, aAnswer.mIncarnation);
    }
  }
  for (const UpstreamHeartbeat& heartbeat :
       mContext.mInvalidMessages.UnpackHeartbeats("news",
                                                  aAnswer.mHeartbeats)) {
    mRegistry.MergeHeartbeat(heartbeat, now, aAnswer.mIncarnation);
  }
}

void UpstreamIntake::Answer(const SyncRequest& aRequest,
                            const std::string& aIncarnation,
                            SyncAnswer& aAnswer) {
  if (aRequest.mSkipsUpstreams) {
    return;
  }
  const Millis now = SteadyNow();
  const std::int64_t known =
      aRequest.mKnownIncarnation == aIncarnation ? aRequest.mRevision : 0;
  const bool fromControl = !aRequest.mControl.mId.empty();
  const std::set<std::string> answering(aRequest.mAnsweringIncarnations.begin(),
                                        aRequest.mAnsweringIncarnations.end());
  FeedUpdates feed{.mUpdates = {}, .mRevision = known};
  if (fromControl && !answering.empty()) {
    feed = mReporterFeeds.UpdatesSince(mRegistry, known, answering, now);
  } else if (fromControl ||
             SendsUpstreamChanges(aRequest.Router(), mRegistry.Size())) {
    feed = mFeed.UpdatesSince(mRegistry, known, now);
  }
  aAnswer.mRevision = feed.mRevision;
  aAnswer.mUpstreamUpdates = std::move(feed.mUpdates);
  if (fromControl) {
    aAnswer.mHeartbeats = ToJson(HeartbeatTable::Of(
        mRegistry.HeartbeatsSince(known, feed.mRevision, now, answering)));
  }
  const std::vector<SilentUpstream> silent = ReadRows<SilentUpstream>(
      aRequest.mSilent, mContext.mInvalidMessages.HookFor("news"));
  aAnswer.mNotSilent =
      WriteRows(mRegistry.SeenLaterThan(silent, SilenceTimeout(), now));
}

Millis UpstreamIntake::SilenceTimeout() const {
  return kMaxMissedHeartbeats * mContext.mOptions.mHeartbeatInterval +
         (mCollectorChoice.Delegates(SteadyNow()) ? kCollectorLossDelay : 0);
}

void UpstreamIntake::Expire() {
  for (const UpstreamRecord& record :
       mRegistry.Expire(SilenceTimeout(), SteadyNow())) {
    LogLine(LogLevel::kInfo, "upstream_silent")
        .Add("instance", record.mInstance)
        .Add("address", record.mAddress)
        .Add("sequence", static_cast<Json::Int64>(record.mSequence))
        .Add("heard_ago_ms", static_cast<Json::Int64>(record.mLastSeenAgo));
  }
}

void UpstreamIntake::OnHeartbeat(const UpstreamRecord& aRecord,
                                 const HeartbeatDone& aDone) {
  const UpstreamRecord* before = mRegistry.Find(aRecord.mInstance);
  const bool isUnknown = before == nullptr &&
                         !IsLeavingOrGone(aRecord.mState) &&
                         !mKnowsService(aRecord.mService);
  if (isUnknown) {
    throw Error(ResultCode::kUnknownService, aRecord.mService);
  }
  const bool leaves = aRecord.mState == UpstreamState::kLeaving &&
                      (before == nullptr || !IsLeavingOrGone(before->mState) ||
                       mRegistry.IsReplaced(aRecord.mInstance) ||
                       before->mStart < aRecord.mStart);
  if (mRegistry.ApplyHeartbeat(aRecord, SteadyNow())) {
    LogChanged("upstream_changed", aRecord);
  }
  if (!leaves) {
    aDone({.mAccepted = true,
           .mNextAddress = mCollectorChoice.OnHeartbeat(
               aRecord.mInstance, aRecord.mZone, SteadyNow())});
    return;
  }
  NotifyControls(aRecord.mInstance, aDone);
}

void UpstreamIntake::ApplyLeave(const std::string& aInstance,
                                const HeartbeatDone& aDone,
                                std::int64_t aStart) {
  const LeaveOutcome outcome =
      mRegistry.ApplyLeave(aInstance, SteadyNow(), aStart);
  if (outcome == LeaveOutcome::kInDoubt) {
    mContext.mCounters.Add("leaves_in_doubt");
    aDone({.mAccepted = false, .mNextAddress = ""});
    return;
  }
  if (outcome == LeaveOutcome::kAlreadyKnown) {
    aDone({});
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_gone")
      .Add("instance", aInstance)
      .Add("start", static_cast<Json::Int64>(aStart));
  NotifyControls(aInstance, aDone);
}

void UpstreamIntake::NotifyControls(const std::string& aInstance,
                                    const HeartbeatDone& aDone) {
  const UpstreamRecord* record = mRegistry.Find(aInstance);
  const auto done = std::make_shared<HeartbeatDone>(aDone);
  const auto finish = [done] {
    const HeartbeatDone call = std::move(*done);
    *done = nullptr;
    if (call) {
      call({});
    }
  };
  bool notified = false;
  for (const ControlInfo& info :
       mDirectory.SeenWithin(kNotifyWindow, SteadyNow())) {
    if (info.mId == mContext.mOptions.mId) {
      continue;
    }
    notified = true;
    mContext.mRpc.Call(
        AddressOfControl(info.mId), rpc_method::kNotice,
        ToJson(UpstreamNotice{WriteRows<UpstreamRecord>({*record})}),
        kNotifyTimeout, [finish](const RpcResult& aResult) {
          if (aResult.mOk) {
            finish();
          }
        });
  }
  if (!notified) {
    finish();
    return;
  }
  const auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = mContext.mLoop.After(kNotifyTimeout, [finish, timer] {
    finish();
    timer->reset();
  });
}

void UpstreamIntake::Save() {
  mStore.Save(mRegistry, SteadyNow());
}

}  // namespace spindleweir
