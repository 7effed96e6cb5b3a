#include "servers/membership/voter_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spindleweir {

namespace {

/// How long a control has been silent, as far as this process knows.
Millis SilenceOf(const VoterPlanInput& aInput, const std::string& aId) {
  const Millis silent = aInput.mDirectory->TimeSinceSeen(aId, aInput.mNow);
  return silent < 0 ? aInput.mWatchedFor : std::min(silent, aInput.mWatchedFor);
}

}  // namespace

bool Contains(const VoterIds& aList, const std::string& aId) {
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

bool Runs(const VoterPlanInput& aInput, const std::string& aId) {
  const ControlDirectory& directory = *aInput.mDirectory;
  const Millis silent = directory.TimeSinceSeen(aId, aInput.mNow);
  const Millis window =
      directory.IsStopping(aId) ? kStoppingWindow : aInput.mCandidateWindow;
  const bool isSeen = silent >= 0 && silent <= window;
  return aId == aInput.mSelf || (isSeen && !directory.IsReplaced(aId));
}

bool IsLost(const VoterPlanInput& aInput, const std::string& aId) {
  if (aId == aInput.mSelf || Runs(aInput, aId)) {
    return false;
  }
  return aInput.mDirectory->IsReplaced(aId) ||
         aInput.mDirectory->IsStopping(aId) ||
         SilenceOf(aInput, aId) > aInput.mSilenceTimeout;
}

VoterIds LostVoters(const VoterPlanInput& aInput) {
  VoterIds lost;
  std::copy_if(aInput.mVoters.begin(), aInput.mVoters.end(),
               std::back_inserter(lost),
               [&](const std::string& aId) { return IsLost(aInput, aId); });
  const auto rank = [&aInput](const std::string& aId) {
    return std::pair(!aInput.mDirectory->IsReplaced(aId),
                     -SilenceOf(aInput, aId));
  };
  std::stable_sort(
      lost.begin(), lost.end(),
      [&rank](const std::string& aLeft, const std::string& aRight) {
        return rank(aLeft) < rank(aRight);
      });
  return lost;
}

std::string LeavingVoter(const VoterPlanInput& aInput) {
  const auto it = std::find_if(aInput.mVoters.begin(), aInput.mVoters.end(),
                               [&aInput](const std::string& aId) {
                                 return aId != aInput.mSelf &&
                                        aInput.mDirectory->IsStopping(aId) &&
                                        Runs(aInput, aId);
                               });
  return it == aInput.mVoters.end() ? "" : *it;
}

VoterIds Candidates(const VoterPlanInput& aInput) {
  VoterIds candidates;
  for (const ControlInfo& info :
       aInput.mDirectory->SeenWithin(aInput.mCandidateWindow, aInput.mNow)) {
    const bool usable = !Contains(aInput.mVoters, info.mId) &&
                        info.mId != aInput.mSelf &&
                        !aInput.mDirectory->IsStopping(info.mId) &&
                        !aInput.mDirectory->IsReplaced(info.mId);
    if (usable) {
      candidates.push_back(info.mId);
    }
  }
  return candidates;
}

bool HoldsLog(const VoterPlanInput& aInput, const std::string& aId) {
  return !aInput.mHoldsLog || aInput.mHoldsLog(aId);
}

VoterIds ReadyCandidates(const VoterPlanInput& aInput) {
  VoterIds candidates = Candidates(aInput);
  std::erase_if(candidates, [&aInput](const std::string& aId) {
    return !HoldsLog(aInput, aId);
  });
  return candidates;
}

}  // namespace spindleweir
