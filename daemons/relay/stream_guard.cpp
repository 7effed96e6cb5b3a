#include "daemons/relay/stream_guard.h"

#include <algorithm>
#include <utility>

#include "daemons/engine_call.h"
#include "daemons/relay/forwarding_protocol.h"
#include "daemons/relay/upstream_call.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 20;
/// A step that is this late shows that this process was not scheduled.
constexpr Millis kLateThreshold = 45;
constexpr Millis kLateWindow = 60;
/// An upstream that doesn't accept a connection within this time has crashed or
/// is disconnected: the round trip between zones takes a few milliseconds.
constexpr Millis kProbeTimeout = 40;
constexpr Millis kProbeInterval = 150;
constexpr Millis kAvoidAfterUnreachable = 2000;
/// A forwarder answers once its own connection has come about or timed out.
constexpr Millis kForwarderProbeTimeout = 250;
constexpr std::size_t kMaxForwarders = 3;
/// A router that connected to any upstream within this time has its links.
constexpr Millis kLinkProofWindow = 500;
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
    const bool leaves = record->mState == UpstreamState::kLeaving ||
                        record->mState == UpstreamState::kGone;
    if (leaves && mHandledLeaving.insert(record->mInstance).second) {
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
    return aItem.second.mCall == nullptr && unknown(aItem.first);
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

void StreamGuard::ProbeIfDue(const std::string& aInstance, Millis aNow) {
  const InstanceCheck& check = mProbes[aInstance];
  if (check.mCall == nullptr && aNow - check.mAt >= kProbeInterval) {
    Probe(aInstance);
  }
}

void StreamGuard::OnAttemptLost(LostAttempt aAttempt) {
  const std::string instance = aAttempt.mInstance;
  const Millis now = SteadyNow();
  mContext.mCrashes.OnAttemptLost(std::move(aAttempt), now);
  ProbeIfDue(instance, now);
}

void StreamGuard::CountCrash(const std::string& aInstance) {
  const std::vector<std::string> contents =
      mContext.mCrashes.OnUpstreamCrashed(aInstance, SteadyNow());
  if (contents.empty()) {
    return;
  }
  mContext.mCounters.Add("crashes_seen");
  Json::Value suspects(Json::arrayValue);
  Json::Value barred(Json::arrayValue);
  for (const std::string& content : contents) {
    suspects.append(content);
    if (mContext.mCrashes.IsBarred(content)) {
      barred.append(content);
    }
  }
  LogLine(LogLevel::kWarning, "upstream_crashed")
      .Add("instance", aInstance)
      .Add("suspects", suspects)
      .Add("barred", barred);
}

void StreamGuard::Probe(const std::string& aInstance) {
  const UpstreamRecord* record = mContext.mRegistry.Find(aInstance);
  if (record == nullptr) {
    CountCrash(aInstance);
    return;
  }
  InstanceCheck& check = mProbes[aInstance];
  check.mAt = SteadyNow();
  check.mStart = record->mStart;
  const bool isLost = mContext.mLinks.IsLost(aInstance, check.mAt) &&
                      !mContext.mForwarders.Empty();
  if (isLost) {
    ProbeByForwarders(aInstance, false);
    return;
  }
  const auto connected = std::make_shared<bool>(false);
  StreamCallOptions options;
  options.mServer = ParseEndpoint(record->mAddress, "address of an upstream");
  options.mConnectTimeout = kProbeTimeout;
  options.mMaySend = [connected] {
    *connected = true;
    return false;
  };
  options.mOnEnd = [this, aInstance, connected](StreamEnd) {
    ProbeEnded(aInstance, *connected);
  };
  check.mCall =
      mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void StreamGuard::ProbeEnded(const std::string& aInstance, bool aConnected) {
  InstanceCheck& check = mProbes[aInstance];
  const Millis took = SteadyNow() - check.mAt;
  // The call is on the stack: it is destroyed in the next turn of the loop.
  const std::shared_ptr<StreamCall> call = std::move(check.mCall);
  mContext.mLoop.Post([call] {});
  mContext.mCounters.Add("probes");
  const bool refused = took < kProbeTimeout;
  const bool restarted = check.mStart != mContext.StartOf(aInstance);
  if (restarted) {
    CountCrash(aInstance);
    return;
  }
  if (aConnected) {
    mContext.mLinks.OnConnected(aInstance, SteadyNow());
    mContext.mCrashes.OnUpstreamAlive(aInstance);
    return;
  }
  if (!refused && WasLateSince(check.mAt)) {
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_unreachable")
      .Add("instance", aInstance)
      .Add("after_ms", static_cast<Json::Int64>(took));
  mContext.mLinks.OnFailed(aInstance, SteadyNow());
  if (mContext.mForwarders.Empty()) {
    OnUnreachable(aInstance, refused);
    return;
  }
  // Its streams move at once; other processes are told only if the upstream is
  // to blame and not a link of this router.
  mContext.RecordFailure(aInstance, kAvoidAfterUnreachable);
  MoveStreamsOff({aInstance}, MoveReason::kUnreachable);
  ProbeByForwarders(aInstance, refused);
}

void StreamGuard::OnUnreachable(const std::string& aInstance, bool aRefused) {
  mContext.RecordUnreachable(aInstance, kAvoidAfterUnreachable);
  MoveStreamsOff({aInstance}, MoveReason::kUnreachable);
  if (aRefused) {
    // Only a refused connection proves a crash: without an answer the upstream
    // may also be disconnected.
    CountCrash(aInstance);
  }
}

void StreamGuard::ProbeByForwarders(const std::string& aInstance,
                                    bool aRefused) {
  std::vector<std::string>& forwarders = mProbes[aInstance].mForwarders;
  forwarders = mContext.mForwarders.Order(
      mContext.mOptions.mZone, [this] { return mContext.Random(); },
      SteadyNow());
  forwarders.resize(std::min(forwarders.size(), kMaxForwarders));
  ProbeByNextForwarder(aInstance, aRefused);
}

void StreamGuard::ProbeByNextForwarder(const std::string& aInstance,
                                       bool aRefused) {
  InstanceCheck& check = mProbes[aInstance];
  const auto finding =
      std::make_shared<ForwarderFinding>(ForwarderFinding::kNone);
  StreamCallOptions options;
  options.mServer =
      ParseEndpoint(check.mForwarders.front(), "address of a forwarder");
  AddForwardingFacts({.mKey = mContext.mOptions.mClusterKey,
                      .mInstance = aInstance,
                      .mOnlyConnect = true},
                     options.mHeaders);
  options.mConnectTimeout = kForwarderProbeTimeout;
  options.mTimeout = kForwarderProbeTimeout;
  options.mOnHead = [finding](const AnswerHead& aHead) {
    HttpHeaders headers = aHead.mHeaders;
    if (TakeForwardedMark(headers)) {
      *finding = ForwarderFinding::kReached;
    } else if (ReadForwardingRefusal(headers) ==
               ForwardingRefusal::kUnreachable) {
      *finding = ForwarderFinding::kUnreachable;
    }
  };
  options.mOnEnd = [this, aInstance, finding, aRefused](StreamEnd) {
    ForwarderProbeEnded(aInstance, *finding, aRefused);
  };
  check.mCall =
      mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void StreamGuard::ForwarderProbeEnded(const std::string& aInstance,
                                      ForwarderFinding aFinding,
                                      bool aRefused) {
  InstanceCheck& check = mProbes[aInstance];
  // The call is on the stack: it is destroyed in the next turn of the loop.
  const std::shared_ptr<StreamCall> call = std::move(check.mCall);
  mContext.mLoop.Post([call] {});
  const Millis now = SteadyNow();
  if (check.mStart != mContext.StartOf(aInstance)) {
    CountCrash(aInstance);
    return;
  }
  if (aFinding == ForwarderFinding::kReached) {
    LogLine(LogLevel::kInfo, "link_lost")
        .Add("instance", aInstance)
        .Add("forwarder", check.mForwarders.front())
        .Add("cut_off", mContext.mLinks.IsCutOff(now));
    mContext.mLinks.OnForwarded(aInstance, now);
    mContext.EndAvoidance(aInstance);
    mContext.mCrashes.OnUpstreamAlive(aInstance);
    MoveStreamsOff({aInstance}, MoveReason::kLinkLost);
    return;
  }
  if (aFinding == ForwarderFinding::kUnreachable) {
    OnUnreachable(aInstance, aRefused);
    return;
  }
  mContext.mForwarders.OnFailed(check.mForwarders.front(), now);
  check.mForwarders.erase(check.mForwarders.begin());
  if (!check.mForwarders.empty()) {
    ProbeByNextForwarder(aInstance, aRefused);
    return;
  }
  // Nobody knows. A router that has its links believes itself.
  if (!mContext.mLinks.IsCutOff(now) &&
      mContext.mLinks.HasConnectedSince(now - kLinkProofWindow)) {
    OnUnreachable(aInstance, aRefused);
  }
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
