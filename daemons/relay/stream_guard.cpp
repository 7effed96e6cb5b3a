#include "daemons/relay/stream_guard.h"

#include <utility>

#include "daemons/engine_call.h"
#include "daemons/relay/upstream_call.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 20;
/// A step that is this late shows that this process was not scheduled.
constexpr Millis kLateThreshold = 45;
constexpr Millis kLateWindow = 60;
/// If a stream pauses for this time although all of its upstreams are
/// reachable, its first stage is polled for the stalled stages.
constexpr Millis kStatePollAfter = 300;
constexpr Millis kStatePollInterval = 300;
constexpr Millis kStatePollTimeout = 400;
constexpr Millis kAvoidAfterStall = 1500;
constexpr std::size_t kMaxReportBytes = 256 * 1024;
/// Maximum number of streams that search for a path without slow engines in one
/// step: each search takes up to a millisecond on a small VM, and events have
/// to be forwarded meanwhile.
constexpr int kMaxPathSearches = 4;

}  // namespace

StreamGuard::StreamGuard(RelayContext& aContext) : mContext(aContext) {
  mTimer = mContext.mLoop.Every(kStepInterval, [this] { Step(); });
}

StreamKey StreamGuard::Add(GuardedStream* aStream) {
  const StreamKey key = mNextKey++;
  mStreams[key] = aStream;
  return key;
}

void StreamGuard::Remove(StreamKey aKey) {
  mStreams.erase(aKey);
  mStallDetector.End(aKey);
}

void StreamGuard::Step() {
  const Millis now = SteadyNow();
  if (mSteppedAt > 0) {
    LimitConnections(now - mSteppedAt, now);
  }
  if (mSteppedAt > 0 && now - mSteppedAt > kLateThreshold) {
    mLateAt = now;
  }
  mSteppedAt = now;
  MoveOffRestarted();
  MoveOffLeaving();
  if (WasLateSince(now - kLateWindow)) {
    // Data that arrived meanwhile has not been read yet: pauses prove nothing.
    return;
  }
  for (const std::string& instance : mStallDetector.SuspectInstances(now)) {
    ProbeIfDue(instance, now);
  }
  for (const std::string& instance : mContext.mCrashes.InstancesToProbe(now)) {
    ProbeIfDue(instance, now);
  }
  UpdateSlowdowns(now);
  std::set<std::string> firstStages;
  for (StreamKey key : mStallDetector.SilentStreams(kStatePollAfter, now)) {
    const auto it = mStreams.find(key);
    if (it != mStreams.end()) {
      firstStages.insert(it->second->FirstInstance());
    }
  }
  for (const std::string& first : firstStages) {
    const InstanceCheck& check = mStates[first];
    if (!first.empty() && check.mCall == nullptr &&
        now - check.mAt >= kStatePollInterval) {
      PollState(first);
    }
  }
}

void StreamGuard::LimitConnections(Millis aGap, Millis aNow) {
  ConnectionAdmission& admission = mContext.mConnections;
  if (!admission.OnStep(aGap, kStepInterval, aNow)) {
    return;
  }
  LogLine(LogLevel::kWarning, "connections_limited")
      .Add("per_second", admission.Limit())
      .Add("pressure", admission.Pressure())
      .Add("streams", static_cast<Json::UInt64>(mStreams.size()));
}

void StreamGuard::OnEvent(StreamKey aKey, Millis aNow) {
  const std::optional<EventWait> onTime = mStallDetector.OnEvent(aKey, aNow);
  if (onTime.has_value()) {
    mContext.mSlowdowns.RecordOnTime(onTime->mInstances, onTime->mFrom);
  }
}

void StreamGuard::UpdateSlowdowns(Millis aNow) {
  EngineSlowdowns& slowdowns = mContext.mSlowdowns;
  for (const EventWait& late : mStallDetector.TakeLateWaits(aNow)) {
    slowdowns.RecordLate(late.mInstances, late.mFrom, aNow);
  }
  const auto random = [this] { return mContext.Random(); };
  for (const std::string& instance :
       slowdowns.EnginesToPoll(aNow, mContext.Routers(), random)) {
    if (mStates[instance].mCall == nullptr) {
      mContext.mCounters.Add("pace_questions");
      PollState(instance);
    }
  }
  EvaluateSlowdowns(aNow);
  MoveOffSlow(aNow);
}

void StreamGuard::EvaluateSlowdowns(Millis aNow) {
  for (const SlowdownChange& change : mContext.mSlowdowns.Evaluate(aNow)) {
    mContext.mCounters.Add("paces_judged",
                           change.mIsSlow ? "as=\"slow\"" : "as=\"well\"");
    LogLine(LogLevel::kInfo, "engine_pace")
        .Add("instance", change.mInstance)
        .Add("slow", change.mIsSlow)
        .Add("pace", change.mSlowdown)
        .Add("by", NameOf(change.mSource))
        .Add("word_age_ms", static_cast<Json::Int64>(change.mReportAge))
        .Add("tellers", change.mReporters)
        .Add("late_streams", change.mLateStreams);
  }
}

void StreamGuard::MoveOffSlow(Millis aNow) {
  const std::map<std::string, double>& slow = mContext.mSlowdowns.SlowEngines();
  if (slow.empty()) {
    return;
  }
  int searches = 0;
  // Streams that have been silent longest have the least time left.
  for (StreamKey key : mStallDetector.StreamsThrough(slow)) {
    const auto it = mStreams.find(key);
    if (it == mStreams.end()) {
      continue;
    }
    searches += it->second->MoveOffSlow(aNow) ? 1 : 0;
    if (searches >= kMaxPathSearches) {
      return;
    }
  }
}

void StreamGuard::MoveOffLeaving() {
  if (mContext.mRegistry.Revision() == mCheckedRevision) {
    return;
  }
  mCheckedRevision = mContext.mRegistry.Revision();
  ForgetUnknown();
  std::set<std::string> leaving;
  for (const UpstreamRecord* record : mContext.mRegistry.OfService("")) {
    if (!IsLeavingOrGone(record->mState)) {
      mHandledLeaving.erase(record->mInstance);
    } else if (mHandledLeaving.insert(record->mInstance).second) {
      leaving.insert(record->mInstance);
    }
  }
  if (!leaving.empty()) {
    MoveStreamsOff(leaving, MoveReason::kLeaving);
  }
}

void StreamGuard::ForgetUnknown() {
  const auto unknown = [this](const std::string& aInstance) {
    return mContext.mRegistry.Find(aInstance) == nullptr;
  };
  const auto ended = [&unknown](const auto& aItem) {
    return aItem.second.mCall == nullptr &&
           aItem.second.mLinkCheck == nullptr && unknown(aItem.first);
  };
  std::erase_if(mHandledLeaving, unknown);
  std::erase_if(mProbes, ended);
  std::erase_if(mStates, ended);
  mContext.mSlowdowns.ForgetIf(unknown);
}

void StreamGuard::MoveOffRestarted() {
  const std::set<std::string> restarted = mContext.TakeRestartedInstances();
  if (restarted.empty()) {
    return;
  }
  for (const std::string& instance : restarted) {
    mHandledLeaving.erase(instance);
  }
  MoveStreamsOff(restarted, MoveReason::kRestarted);
}

void StreamGuard::PollState(const std::string& aInstance) {
  const UpstreamRecord* record = mContext.mRegistry.Find(aInstance);
  if (record == nullptr) {
    return;
  }
  InstanceCheck& check = mStates[aInstance];
  check.mAt = SteadyNow();
  check.mStart = record->mStart;
  check.mBody.clear();
  StreamCallOptions options =
      MakeEngineCall(mContext.mOptions.mEngines.mWriteStateRequest(),
                     record->mAddress, kStatePollTimeout);
  options.mOnData = [this, aInstance](std::string_view aBytes) {
    std::string& body = mStates[aInstance].mBody;
    if (body.size() + aBytes.size() <= kMaxReportBytes) {
      body += aBytes;
    }
  };
  options.mOnEnd = [this, aInstance](StreamEnd aEnd) {
    InstanceCheck& ended = mStates[aInstance];
    const std::shared_ptr<StreamCall> call = std::move(ended.mCall);
    mContext.mLoop.Post([call] {});
    // Releases up to 256 KB for each instance that was ever polled.
    const std::string body = std::exchange(ended.mBody, {});
    const bool restarted = ended.mStart != mContext.StartOf(aInstance);
    if (aEnd != StreamEnd::kComplete || restarted) {
      return;
    }
    try {
      ApplyState(aInstance, mContext.mOptions.mEngines.mReadState(body));
    } catch (const Error& error) {
      mContext.mInvalidMessages.Record("report", aInstance, error);
    }
  };
  check.mCall =
      std::make_unique<UpstreamCall>(mContext, aInstance, std::move(options));
}

void StreamGuard::ApplyState(const std::string& aInstance,
                             const EngineState& aState) {
  const std::int64_t known = mStates[aInstance].mStart;
  if (known > 0 && aState.mStart > known) {
    // The heartbeat of the new incarnation has not arrived yet.
    mContext.RecordFailure(aInstance, kAvoidAfterStall);
    MoveStreamsOff({aInstance}, MoveReason::kRestarted);
    return;
  }
  const Millis now = SteadyNow();
  mContext.mSlowdowns.OnEngineReport(aInstance, aState.mSlowdown, now);
  EvaluateSlowdowns(now);
  std::set<std::string> addresses;
  for (const StalledRequest& stalled : aState.mStalled) {
    addresses.insert(stalled.mAddress);
  }
  std::set<std::string> instances;
  for (const UpstreamRecord* record : mContext.mRegistry.OfService("")) {
    const bool current = record->mState != UpstreamState::kGone;
    if (current && addresses.contains(record->mAddress)) {
      instances.insert(record->mInstance);
      mContext.RecordFailure(record->mInstance, kAvoidAfterStall);
    }
  }
  if (!instances.empty()) {
    MoveStreamsOff(instances, MoveReason::kStalled);
  }
}

void StreamGuard::MoveStreamsOff(const std::set<std::string>& aInstances,
                                 MoveReason aReason) {
  // A stream that moves may end and remove itself from mStreams.
  const std::map<StreamKey, GuardedStream*> streams = mStreams;
  for (const auto& [key, stream] : streams) {
    if (mStreams.contains(key)) {
      stream->MoveOff(aInstances, aReason);
    }
  }
}

}  // namespace spindleweir
