#include "spindleweir/servers/membership/voter_changes.h"

#include <algorithm>
#include <utility>

#include "spindleweir/servers/membership/poll_schedule.h"

namespace spindleweir {

namespace {

/// Part of the catch-up time after which a silent voter is replaced; the rest
/// is for the successor to get the log and for two changes of the voters.
constexpr double kSilenceShare = 0.375;
/// A control whose steps are further apart stood still itself, and can't tell
/// who was silent meanwhile.
constexpr Millis kLongestStep = 1000;

}  // namespace

VoterChanges::VoterChanges(VoterChangesOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)), mNow(aNow), mWatchingSince(aNow) {}

std::vector<std::string> VoterChanges::Step(RaftNode& aRaft,
                                            const ControlDirectory& aDirectory,
                                            Millis aNow) {
  if (aNow - mNow > kLongestStep) {
    mWatchingSince = aNow;
  }
  mNow = aNow;
  if (!aRaft.Leads()) {
    return {};
  }
  const VoterPlanInput input = InputOf(aRaft, aDirectory);
  if (IsStopping()) {
    aRaft.TransferLeadership(StayingVoters(input));
    return {};
  }
  aRaft.SetLearners(NextLearners(input));
  std::vector<std::string> next = NextVoters(input);
  if (next == input.mVoters || aRaft.ProposeVoters(next) == 0) {
    return {};
  }
  return next;
}

void VoterChanges::BeginStop(Millis aNow) {
  mStoppingSince = aNow;
}

bool VoterChanges::MayEnd(const RaftNode& aRaft,
                          const ControlDirectory& aDirectory, bool aToldOthers,
                          Millis aNow) const {
  if (!IsStopping()) {
    return false;
  }
  if (aNow - mStoppingSince >= mOptions.mStopTimeout) {
    return true;
  }
  const VoterPlanInput input = InputOf(aRaft, aDirectory);
  const bool mustTransfer = aRaft.Leads() && !StayingVoters(input).empty();
  return aToldOthers && !mustTransfer && aRaft.VotersAreCommitted() &&
         MayStop(input);
}

VoterPlanInput VoterChanges::InputOf(const RaftNode& aRaft,
                                     const ControlDirectory& aDirectory) const {
  const std::size_t others = aDirectory.Addresses(mNow).size();
  const auto silence = static_cast<Millis>(
      static_cast<double>(mOptions.mCatchUp) * kSilenceShare);
  return {.mSelf = mOptions.mSelf,
          .mVoters = aRaft.Voters(),
          .mDirectory = &aDirectory,
          .mNow = mNow,
          .mSilenceTimeout = std::max(silence, ControlContactTimeout(others)),
          .mWatchedFor = mNow - mWatchingSince,
          .mMaxLearners = mOptions.mMaxLearners,
          .mTolerated = mOptions.mTolerated,
          .mHoldsLog = [&aRaft](const std::string& aId) {
            return aRaft.HoldsLog(aId);
          }};
}

}  // namespace spindleweir
