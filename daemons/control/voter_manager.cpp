#include "daemons/control/voter_manager.h"

#include <utility>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/servers/membership/voter_plan.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 500;
/// A new leader takes less than this, as a rule.
constexpr Millis kLeaderMissingLogInterval = 2000;

}  // namespace

VoterManager::VoterManager(ControlContext& aContext,
                           ReplicatedConfiguration& aLog,
                           const ControlDirectory& aDirectory,
                           std::function<std::vector<std::string>()> aReachable)
    : mContext(aContext),
      mLog(aLog),
      mDirectory(aDirectory),
      mReachable(std::move(aReachable)),
      mTimer(aContext.mLoop.Every(kStepInterval, [this] { Step(); })) {}

void VoterManager::Step() {
  LogMissingLeader();
  ChangeVoters();
}

void VoterManager::ChangeVoters() {
  if (!mLog.Raft().Leads()) {
    return;
  }
  VoterPlanInput input;
  input.mSelf = mContext.mOptions.mId;
  input.mVoters = mLog.Raft().Voters();
  input.mDirectory = &mDirectory;
  input.mNow = SteadyNow();
  const std::vector<std::string> next = NextVoters(input);
  if (next == input.mVoters || !mLog.ChangeVoters(next)) {
    return;
  }
  LogLine(LogLevel::kInfo, "voters_changing").Add("voters", ListOf(next));
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
      .Add("in_contact", ListOf(mReachable()));
}

}  // namespace spindleweir
