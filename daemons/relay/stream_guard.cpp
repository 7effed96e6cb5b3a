#include "daemons/relay/stream_guard.h"

#include <utility>

#include "daemons/engine_call.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kStepPeriod = 20;
/// A step this late shows that this process had no processor.
constexpr Millis kLate = 45;
constexpr Millis kLateFor = 60;
/// An upstream that does not take a connection in this time is dead or cut
/// off: the round trip between zones is a few milliseconds.
constexpr Millis kProbeTimeout = 40;
constexpr Millis kProbeAgain = 150;
constexpr Millis kUnreachableFor = 2000;
/// A stream that pauses for so long although all of its upstreams can be
/// reached: its first one is asked where it stands still.
constexpr Millis kAskAfter = 300;
constexpr Millis kAskAgain = 300;
constexpr Millis kAskTimeout = 400;
constexpr Millis kStandsStillFor = 1500;
constexpr std::size_t kMostReport = 256 * 1024;
/// Streams that look for a path without slow engines in one step: each takes
/// up to a millisecond of a small VM, and events are to be passed on meanwhile.
constexpr int kMostPathSearches = 4;

}  // namespace

StreamGuard::StreamGuard(RelayContext& aContext) : mContext(aContext) {
  mTimer = mContext.mLoop.Every(kStepPeriod, [this] { Step(); });
}

StreamKey StreamGuard::Add(GuardedStream* aStream) {
  const StreamKey key = mNext++;
  mStreams[key] = aStream;
  return key;
}

void StreamGuard::Remove(StreamKey aKey) {
  mStreams.erase(aKey);
  mWatch.End(aKey);
}

void StreamGuard::Step() {
  const Millis now = SteadyNow();
  if (mSteppedAt > 0 && now - mSteppedAt > kLate) {
    mLateAt = now;
  }
  mSteppedAt = now;
  MoveOffRestarted();
  MoveOffLeaving();
  if (LateSince(now - kLateFor)) {
    // What came meanwhile has not been read yet: pauses prove nothing.
    return;
  }
  for (const std::string& instance : mWatch.SuspectInstances(now)) {
    ProbeIfDue(instance, now);
  }
  for (const std::string& instance : mContext.mCrashes.InstancesToProbe(now)) {
    ProbeIfDue(instance, now);
  }
  StepPaces(now);
  std::set<std::string> firsts;
  for (StreamKey key : mWatch.SilentStreams(kAskAfter, now)) {
    const auto it = mStreams.find(key);
    if (it != mStreams.end()) {
      firsts.insert(it->second->FirstInstance());
    }
  }
  for (const std::string& first : firsts) {
    const Look& look = mStates[first];
    if (!first.empty() && look.mCall == nullptr &&
        now - look.mAt >= kAskAgain) {
      AskState(first);
    }
  }
}

void StreamGuard::Progress(StreamKey aKey, Millis aNow) {
  const std::optional<EventWait> inTime = mWatch.OnEvent(aKey, aNow);
  if (inTime.has_value()) {
    mContext.mPaces.RecordOnTime(inTime->mInstances, inTime->mFrom);
  }
}

void StreamGuard::StepPaces(Millis aNow) {
  EngineSlowdowns& paces = mContext.mPaces;
  for (const EventWait& late : mWatch.TakeLateWaits(aNow)) {
    paces.RecordLate(late.mInstances, late.mFrom, aNow);
  }
  const auto random = [this] { return mContext.Random(); };
  for (const std::string& instance :
       paces.EnginesToPoll(aNow, mContext.Routers(), random)) {
    if (mStates[instance].mCall == nullptr) {
      mContext.mCounters.Add("pace_questions");
      AskState(instance);
    }
  }
  JudgePaces(aNow);
  LeaveSlow(aNow);
}

void StreamGuard::JudgePaces(Millis aNow) {
  for (const SlowdownChange& change : mContext.mPaces.Evaluate(aNow)) {
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

void StreamGuard::LeaveSlow(Millis aNow) {
  const std::map<std::string, double>& slow = mContext.mPaces.SlowEngines();
  if (slow.empty()) {
    return;
  }
  int searches = 0;
  // The longest silent has the least time left.
  for (StreamKey key : mWatch.StreamsThrough(slow)) {
    const auto it = mStreams.find(key);
    if (it == mStreams.end()) {
      continue;
    }
    searches += it->second->LeaveSlow(aNow) ? 1 : 0;
    if (searches >= kMostPathSearches) {
      return;
    }
  }
}

void StreamGuard::MoveOffLeaving() {
  if (mContext.mRegistry.Revision() == mLookedAt) {
    return;
  }
  mLookedAt = mContext.mRegistry.Revision();
  DropUnknown();
  std::set<std::string> leaving;
  for (const UpstreamRecord* record : mContext.mRegistry.OfService("")) {
    const bool leaves = record->mState == UpstreamState::kLeaving ||
                        record->mState == UpstreamState::kGone;
    if (leaves && mLeftBehind.insert(record->mInstance).second) {
      leaving.insert(record->mInstance);
    }
  }
  if (!leaving.empty()) {
    LeaveBehind(leaving, MoveReason::kLeaving);
  }
}

void StreamGuard::DropUnknown() {
  const auto unknown = [this](const std::string& aInstance) {
    return mContext.mRegistry.Find(aInstance) == nullptr;
  };
  const auto ended = [&unknown](const auto& aItem) {
    return aItem.second.mCall == nullptr && unknown(aItem.first);
  };
  std::erase_if(mLeftBehind, unknown);
  std::erase_if(mProbes, ended);
  std::erase_if(mStates, ended);
  mContext.mPaces.ForgetIf(unknown);
}

void StreamGuard::MoveOffRestarted() {
  const std::set<std::string> restarted = mContext.TakeRestarted();
  if (restarted.empty()) {
    return;
  }
  for (const std::string& instance : restarted) {
    mLeftBehind.erase(instance);
  }
  LeaveBehind(restarted, MoveReason::kRestarted);
}

void StreamGuard::ProbeIfDue(const std::string& aInstance, Millis aNow) {
  const Look& look = mProbes[aInstance];
  if (look.mCall == nullptr && aNow - look.mAt >= kProbeAgain) {
    Probe(aInstance);
  }
}

void StreamGuard::AttemptLost(LostAttempt aAttempt) {
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
  Look& look = mProbes[aInstance];
  look.mAt = SteadyNow();
  look.mStart = record->mStart;
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
  look.mCall = StartStreamCall(mContext.mLoop, std::move(options));
}

void StreamGuard::ProbeEnded(const std::string& aInstance, bool aConnected) {
  Look& look = mProbes[aInstance];
  const Millis took = SteadyNow() - look.mAt;
  // The call is on the stack: it goes in the next turn of the loop.
  const std::shared_ptr<StreamCall> call = std::move(look.mCall);
  mContext.mLoop.Post([call] {});
  mContext.mCounters.Add("probes");
  const bool refused = took < kProbeTimeout;
  const bool restarted = look.mStart != mContext.StartOf(aInstance);
  if (restarted) {
    CountCrash(aInstance);
    return;
  }
  if (aConnected) {
    mContext.mCrashes.OnUpstreamAlive(aInstance);
    return;
  }
  if (!refused && LateSince(look.mAt)) {
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_unreachable")
      .Add("instance", aInstance)
      .Add("after_ms", static_cast<Json::Int64>(took));
  mContext.Unreachable(aInstance, kUnreachableFor);
  LeaveBehind({aInstance}, MoveReason::kUnreachable);
  if (refused) {
    // Without an answer it may as well be cut off.
    CountCrash(aInstance);
  }
}

void StreamGuard::AskState(const std::string& aInstance) {
  const UpstreamRecord* record = mContext.mRegistry.Find(aInstance);
  if (record == nullptr) {
    return;
  }
  Look& look = mStates[aInstance];
  look.mAt = SteadyNow();
  look.mStart = record->mStart;
  look.mBody.clear();
  StreamCallOptions options = CallOf(mContext.mOptions.mEngines.mAskState(),
                                     record->mAddress, kAskTimeout);
  options.mOnData = [this, aInstance](std::string_view aBytes) {
    std::string& body = mStates[aInstance].mBody;
    if (body.size() + aBytes.size() <= kMostReport) {
      body += aBytes;
    }
  };
  options.mOnEnd = [this, aInstance](StreamEnd aEnd) {
    Look& ended = mStates[aInstance];
    const std::shared_ptr<StreamCall> call = std::move(ended.mCall);
    mContext.mLoop.Post([call] {});
    // Up to 256 KB, of each instance that was ever asked.
    const std::string body = std::exchange(ended.mBody, {});
    const bool restarted = ended.mStart != mContext.StartOf(aInstance);
    if (aEnd != StreamEnd::kComplete || restarted) {
      return;
    }
    try {
      TakeState(aInstance, mContext.mOptions.mEngines.mReadState(body));
    } catch (const Error& error) {
      mContext.mBadWords.Note("report", aInstance, error);
    }
  };
  look.mCall = StartStreamCall(mContext.mLoop, std::move(options));
}

void StreamGuard::TakeState(const std::string& aInstance,
                            const EngineState& aState) {
  const std::int64_t known = mStates[aInstance].mStart;
  if (known > 0 && aState.mStart > known) {
    // Its heartbeat has not come this far yet.
    mContext.Failed(aInstance, kStandsStillFor);
    LeaveBehind({aInstance}, MoveReason::kRestarted);
    return;
  }
  const Millis now = SteadyNow();
  mContext.mPaces.OnEngineReport(aInstance, aState.mPace, now);
  JudgePaces(now);
  std::set<std::string> addresses;
  for (const StalledRequest& stalled : aState.mStalled) {
    addresses.insert(stalled.mAddress);
  }
  std::set<std::string> instances;
  for (const UpstreamRecord* record : mContext.mRegistry.OfService("")) {
    const bool current = record->mState != UpstreamState::kGone;
    if (current && addresses.contains(record->mAddress)) {
      instances.insert(record->mInstance);
      mContext.Failed(record->mInstance, kStandsStillFor);
    }
  }
  if (!instances.empty()) {
    LeaveBehind(instances, MoveReason::kStandsStill);
  }
}

void StreamGuard::LeaveBehind(const std::set<std::string>& aInstances,
                              MoveReason aWhy) {
  // A stream that moves may end and take itself off the list.
  const std::map<StreamKey, GuardedStream*> streams = mStreams;
  for (const auto& [key, stream] : streams) {
    if (mStreams.contains(key)) {
      stream->MoveOff(aInstances, aWhy);
    }
  }
}

}  // namespace spindleweir
