#include "daemons/control/voter_manager.h"

#include <utility>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 100;
/// A new leader takes less than this, as a rule.
constexpr Millis kLeaderMissingLogInterval = 2000;
/// How long a control that ends waits for the others to be told.
constexpr Millis kTellTimeout = 300;

VoterChangesOptions OptionsOf(const ControlOptions& aOptions) {
  return {.mSelf = aOptions.mId,
          .mCatchUp = aOptions.mCatchUp,
          .mTolerated = aOptions.mTolerated,
          .mMaxLearners = aOptions.mMaxLearners,
          .mStopTimeout = aOptions.mStopTimeout};
}

}  // namespace

VoterManager::VoterManager(ControlContext& aContext,
                           ReplicatedConfiguration& aLog,
                           const ControlDirectory& aDirectory,
                           VoterManagerHooks aHooks)
    : mContext(aContext),
      mLog(aLog),
      mDirectory(aDirectory),
      mHooks(std::move(aHooks)),
      mChanges(OptionsOf(aContext.mOptions), SteadyNow()),
      mTimer(aContext.mLoop.Every(kStepInterval, [this] { Step(); })) {}

void VoterManager::Step() {
  LogMissingLeader();
  const std::vector<std::string> next =
      mChanges.Step(mLog.Raft(), mDirectory, SteadyNow());
  if (!next.empty()) {
    LogLine(LogLevel::kInfo, "voters_changing").Add("voters", ListOf(next));
  }
  EndIfDone();
}

void VoterManager::Stop(std::function<void()> aEnd) {
  mEnd = std::move(aEnd);
  mChanges.BeginStop(SteadyNow());
  LogLine(LogLevel::kInfo, "stopping")
      .Add("voters", ListOf(mLog.Raft().Voters()))
      .Add("leader", mLog.Raft().Leader());
}

void VoterManager::EndIfDone() {
  const Millis now = SteadyNow();
  const bool toldOthers =
      mChanges.IsStopping() && (mHooks.mHasToldOthers() ||
                                now - mChanges.StoppingSince() > kTellTimeout);
  if (mChanges.MayEnd(mLog.Raft(), mDirectory, toldOthers, now)) {
    mTimer = nullptr;
    mEnd();
  }
}

void VoterManager::LogMissingLeader() {
  const Millis now = SteadyNow();
  const RaftNode& raft = mLog.Raft();
  if (!raft.Leader().empty()) {
    mLeaderMissingSince = -1;
    mMissingLoggedAt = -1;
    return;
  }
  if (mLeaderMissingSince < 0) {
    mLeaderMissingSince = now;
    mMissingLoggedAt = now;
  }
  if (now - mMissingLoggedAt < kLeaderMissingLogInterval) {
    return;
  }
  mMissingLoggedAt = now;
  LogLine(LogLevel::kWarning, "leader_missing")
      .Add("for_ms", static_cast<Json::Int64>(now - mLeaderMissingSince))
      .Add("id", mContext.mOptions.mId)
      .Add("voters", ListOf(raft.Voters()))
      .Add("term", static_cast<Json::Int64>(raft.Term()))
      .Add("index", static_cast<Json::Int64>(raft.LastIndex()))
      .Add("in_contact", ListOf(mHooks.mReachable()));
}

}  // namespace spindleweir
