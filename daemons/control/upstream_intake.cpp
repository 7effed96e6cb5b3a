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
                               UpstreamIntakeHooks aHooks, bool aRestores)
    : mContext(aContext),
      mDirectory(aDirectory),
      mHooks(std::move(aHooks)),
      mStore(aContext.mOptions.mData + "/upstreams",
             aContext.ReplaceInBackground()),
      mLeaves(aContext.mOptions.mData + "/leaves", mRegistry,
              aContext.ReplaceLeaves()),
      mCollectorChoice(
          {.mMaxLocalHeartbeats = aContext.mOptions.mMaxLocalHeartbeats}) {
  Restore(aRestores);
  mRegistry.SetSuccessorHook([this](const UpstreamRecord& aRecord) {
    mContext.mCounters.Add("upstreams_restarted");
    LogChanged("upstream_restarted", aRecord);
  });
  mContext.mDispatcher.OnDeferred(
      rpc_method::kNotice,
      [this](const Json::Value& aMessage, const RpcReplyHook& aReply) {
        OnNotice(FromJson<UpstreamNotice>(aMessage), aReply);
      });
}

void UpstreamIntake::Restore(bool aWithReady) {
  const InvalidRowHook hook = mContext.mInvalidMessages.HookFor("disk");
  const std::size_t leaves =
      mLeaves.Load(mRegistry, SteadyNow(), WallNow(), hook);
  const std::size_t ready =
      aWithReady ? mStore.Load(mRegistry, SteadyNow(), hook) : 0;
  LogLine(LogLevel::kInfo, "upstreams_restored")
      .Add("count", static_cast<int>(ready))
      .Add("leaves", static_cast<int>(leaves));
}

void UpstreamIntake::OnNotice(const UpstreamNotice& aNotice,
                              const RpcReplyHook& aReply) {
  const std::vector<UpstreamRecord> records = ReadRows<UpstreamRecord>(
      aNotice.mUpstreams, mContext.mInvalidMessages.HookFor("news"));
  if (records.size() < aNotice.mUpstreams.size()) {
    throw Error(ResultCode::kBadHeartbeat, "a notice that cannot be used");
  }
  std::vector<std::string> instances;
  for (const UpstreamRecord& record : records) {
    mRegistry.Merge(record, SteadyNow());
    instances.push_back(record.mInstance);
  }
  mLeaves.Store(instances, [this, aReply](bool aIsDurable) {
    if (aIsDurable) {
      aReply(ToJson(NoticeAnswer{mHooks.mVoters()}));
    } else {
      aReply(Error(ResultCode::kStorageFailed, "the leave is not on disk"));
    }
  });
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
                         !mHooks.mKnowsService(aRecord.mService);
  if (isUnknown) {
    throw Error(ResultCode::kUnknownService, aRecord.mService);
  }
  if (mRegistry.ApplyHeartbeat(aRecord, SteadyNow())) {
    LogChanged("upstream_changed", aRecord);
  }
  if (IsLeavingOrGone(aRecord.mState)) {
    AcknowledgeLeave(aRecord.mInstance, aDone);
    return;
  }
  aDone({.mAccepted = true,
         .mNextAddress = mCollectorChoice.OnHeartbeat(
             aRecord.mInstance, aRecord.mZone, SteadyNow())});
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
  if (outcome == LeaveOutcome::kEnded) {
    LogLine(LogLevel::kInfo, "upstream_gone")
        .Add("instance", aInstance)
        .Add("start", static_cast<Json::Int64>(aStart));
  }
  AcknowledgeLeave(aInstance, aDone);
}

void UpstreamIntake::AcknowledgeLeave(const std::string& aInstance,
                                      const HeartbeatDone& aDone) {
  const UpstreamRecord* record = mRegistry.Find(aInstance);
  // A late leave of an earlier incarnation: the one that is known stays.
  const bool isLate = record == nullptr || !IsLeavingOrGone(record->mState);
  if (isLate || mAcknowledged.Contains(aInstance, record->mStart)) {
    aDone({});
    return;
  }
  Replicate(*record, [this, aDone, instance = aInstance,
                      start = record->mStart](bool aIsStored) {
    if (aIsStored) {
      mAcknowledged.Add(instance, start);
    } else {
      mContext.mCounters.Add("leaves_not_stored");
      LogLine(LogLevel::kWarning, "leave_not_stored").Add("instance", instance);
    }
    aDone({.mAccepted = aIsStored});
  });
}

void UpstreamIntake::Replicate(const UpstreamRecord& aRecord,
                               LeaveCopies::DoneHook aDone) {
  std::vector<ControlInfo> others =
      mDirectory.SeenWithin(kNotifyWindow, SteadyNow());
  std::erase_if(others, [this](const ControlInfo& aInfo) {
    return aInfo.mId == mContext.mOptions.mId;
  });
  const auto copies = std::make_shared<LeaveCopies>(
      1 + static_cast<int>(others.size()), std::move(aDone));
  const Json::Value message =
      ToJson(UpstreamNotice{WriteRows<UpstreamRecord>({aRecord})});
  for (const ControlInfo& info : others) {
    mContext.mRpc.Call(
        AddressOfControl(info.mId), rpc_method::kNotice, message, kLeaveTimeout,
        [copies](const RpcResult& aResult) {
          if (aResult.mOk) {
            copies->OnStored(FromJson<NoticeAnswer>(aResult.mAnswer).mVoters);
          } else {
            copies->OnFailed();
          }
        });
  }
  // The disk may hang.
  const std::int64_t number = ++mLastReplicated;
  mTimers[number] = mContext.mLoop.After(kLeaveTimeout, [this, copies, number] {
    copies->Refuse();
    mTimers.erase(std::int64_t{number});
  });
  mLeaves.Store({aRecord.mInstance}, [this, copies](bool aIsDurable) {
    if (aIsDurable) {
      copies->OnStored(mHooks.mVoters());
    } else {
      copies->OnFailed();
    }
  });
}

void UpstreamIntake::SaveReady() {
  mStore.Save(mRegistry, SteadyNow());
}

void UpstreamIntake::SaveLeaves() {
  mAcknowledged.RemoveUnknown(mRegistry);
  mLeaves.Save(SteadyNow());
}

}  // namespace spindleweir
