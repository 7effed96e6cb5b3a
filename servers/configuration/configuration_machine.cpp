#include "spindleweir/servers/configuration/configuration_machine.h"

#include <algorithm>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxStoredResults = 2048;
/// For this long after its expiry, confirming a plan gives kPlanExpired and not
/// kPlanNotFound.
constexpr Millis kExpiredPlanRetention = 60 * 60 * 1000;

/// The state as stored in a snapshot.
struct SavedState {
  Configuration mCurrent;
  std::vector<Plan> mPlans;
  std::vector<CommandResult> mResults;
  PublishedDocument mPublished;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("published", mPublished);
    aCodec.Required("current", mCurrent);
    aCodec.Required("plans", mPlans);
    aCodec.Required("results", mResults);
  }
};

CommandResult Rejected(ResultCode aCode, std::string aMessage) {
  CommandResult result;
  result.mCode = static_cast<int>(aCode);
  result.mMessage = std::move(aMessage);
  return result;
}

}  // namespace

CommandResult ConfigurationMachine::Apply(const Command& aCommand) {
  if (const CommandResult* first = FindResult(aCommand.mId)) {
    if (first->mDigest == aCommand.mDigest) {
      return *first;
    }
    CommandResult result =
        Rejected(ResultCode::kCommandReused,
                 "command id " + aCommand.mId + " was used with another body");
    result.mVersion = Current().mVersion;
    return result;
  }
  DropExpiredPlans(aCommand.mLeaderWallTime);
  CommandResult result;
  switch (aCommand.mKind) {
    case CommandKind::kPlan:
      result = ApplyPlan(aCommand);
      break;
    case CommandKind::kConfirm:
      result = ApplyConfirm(aCommand);
      break;
    case CommandKind::kDrain:
      result = ApplyDrain(aCommand);
      break;
    case CommandKind::kPublish:
      result = ApplyPublish(aCommand);
      break;
  }
  result.mId = aCommand.mId;
  result.mDigest = aCommand.mDigest;
  result.mVersion = Current().mVersion;
  StoreResult(result);
  return result;
}

CommandResult ConfigurationMachine::ApplyPlan(const Command& aCommand) {
  mPlans[aCommand.mPlan.mId] = aCommand.mPlan;
  CommandResult result;
  result.mPlanId = aCommand.mPlan.mId;
  return result;
}

CommandResult ConfigurationMachine::ApplyConfirm(const Command& aCommand) {
  const Plan* plan = FindPlan(aCommand.mPlanId);
  if (plan == nullptr) {
    return Rejected(ResultCode::kPlanNotFound, "no plan " + aCommand.mPlanId);
  }
  if (!plan->mRejectionReasons.empty()) {
    return Rejected(ResultCode::kPlanShort, plan->mRejectionReasons.front());
  }
  if (plan->mBaseVersion != Current().mVersion) {
    return Rejected(
        ResultCode::kVersionConflict,
        "the plan was made on version " + std::to_string(plan->mBaseVersion) +
            "; the current version is " + std::to_string(Current().mVersion));
  }
  if (aCommand.mLeaderWallTime > plan->mExpiresWall) {
    return Rejected(ResultCode::kPlanExpired,
                    "plan " + aCommand.mPlanId + " has expired");
  }
  Configuration next = Current();
  next.mIntent = plan->mIntent;
  next.mPlacement = plan->mPlacement;
  CommandResult result;
  result.mPlanId = plan->mId;
  AcceptConfiguration(std::move(next));
  return result;
}

CommandResult ConfigurationMachine::ApplyDrain(const Command& aCommand) {
  Configuration next = Current();
  const auto it =
      std::find(next.mDrained.begin(), next.mDrained.end(), aCommand.mVm);
  const bool drained = it != next.mDrained.end();
  if (drained == aCommand.mDrain) {
    return {};
  }
  if (aCommand.mDrain) {
    next.mDrained.push_back(aCommand.mVm);
  } else {
    next.mDrained.erase(it);
  }
  AcceptConfiguration(std::move(next));
  return {};
}

CommandResult ConfigurationMachine::ApplyPublish(const Command& aCommand) {
  if (aCommand.mTrafficVersion < mPublished.mVersion) {
    // A newer version was published before: this one succeeds without effect.
    return {};
  }
  if (aCommand.mTrafficVersion == mPublished.mVersion) {
    return aCommand.mDigest == mPublished.mDigest
               ? CommandResult{}
               : Rejected(ResultCode::kVersionTaken,
                          "version " +
                              std::to_string(aCommand.mTrafficVersion) +
                              " has another content");
  }
  mPublished = {.mVersion = aCommand.mTrafficVersion,
                .mDigest = aCommand.mDigest,
                .mDocument = aCommand.mDocument};
  mSignalPublished.emit(mPublished);
  return {};
}

void ConfigurationMachine::AcceptConfiguration(Configuration aNext) {
  SortLists(aNext);
  mHistory.ApplyUpdate({.mChanges = {ChangeBetween(Current(), aNext)}});
  mSignalAccepted.emit(Current());
}

void ConfigurationMachine::StoreResult(const CommandResult& aResult) {
  mResults.push_back(aResult);
  mResultsById[aResult.mId] = aResult;
  if (mResults.size() > kMaxStoredResults) {
    mResultsById.erase(mResults.front().mId);
    mResults.pop_front();
  }
}

void ConfigurationMachine::DropExpiredPlans(Millis aWallTime) {
  std::erase_if(mPlans, [aWallTime](const auto& aItem) {
    return aItem.second.mExpiresWall + kExpiredPlanRetention < aWallTime;
  });
}

const Plan* ConfigurationMachine::FindPlan(const std::string& aId) const {
  const auto it = mPlans.find(aId);
  return it == mPlans.end() ? nullptr : &it->second;
}

const CommandResult* ConfigurationMachine::FindResult(
    const std::string& aCommandId) const {
  const auto it = mResultsById.find(aCommandId);
  return it == mResultsById.end() ? nullptr : &it->second;
}

std::string ConfigurationMachine::Save() const {
  SavedState state;
  state.mCurrent = Current();
  for (const auto& [id, plan] : mPlans) {
    state.mPlans.push_back(plan);
  }
  state.mResults.assign(mResults.begin(), mResults.end());
  state.mPublished = mPublished;
  return DumpJson(ToJson(state));
}

void ConfigurationMachine::Restore(const std::string& aData) {
  const auto state = FromJson<SavedState>(ParseJson(aData));
  mPlans.clear();
  for (const Plan& plan : state.mPlans) {
    mPlans[plan.mId] = plan;
  }
  mResults.assign(state.mResults.begin(), state.mResults.end());
  mResultsById.clear();
  for (const CommandResult& result : mResults) {
    mResultsById[result.mId] = result;
  }
  mHistory = {};
  mHistory.ApplyUpdate(
      {.mIsFull = true,
       .mFull = state.mCurrent,
       .mFullDigest = Sha256Hex(DumpJson(ToJson(state.mCurrent)))});
  mSignalAccepted.emit(Current());
  mPublished = state.mPublished;
  if (mPublished.mVersion > 0) {
    mSignalPublished.emit(mPublished);
  }
}

}  // namespace spindleweir
