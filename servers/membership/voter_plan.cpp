#include "spindleweir/servers/membership/voter_plan.h"

#include <algorithm>

namespace spindleweir {

namespace {

bool Contains(const std::vector<std::string>& aList, const std::string& aId) {
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

/// The voter to remove first: one whose disk is lost, else the one that has
/// been silent for longest; empty if none.
std::string VoterToRemove(const VoterPlanInput& aInput) {
  std::string removed;
  Millis longest = aInput.mSilenceTimeout;
  for (const std::string& id : aInput.mVoters) {
    if (id == aInput.mSelf) {
      continue;
    }
    if (aInput.mDirectory->IsReplaced(id)) {
      return id;
    }
    const Millis silent = aInput.mDirectory->TimeSinceSeen(id, aInput.mNow);
    if (silent > longest) {
      longest = silent;
      removed = id;
    }
  }
  return removed;
}

}  // namespace

std::vector<std::string> NextVoters(const VoterPlanInput& aInput) {
  std::vector<std::string> candidates;
  for (const ControlInfo& info :
       aInput.mDirectory->SeenWithin(aInput.mCandidateWindow, aInput.mNow)) {
    const bool usable = !Contains(aInput.mVoters, info.mId) &&
                        !aInput.mDirectory->IsReplaced(info.mId);
    if (usable) {
      candidates.push_back(info.mId);
    }
  }
  std::vector<std::string> voters = aInput.mVoters;
  const std::string removed = VoterToRemove(aInput);
  const bool even = voters.size() % 2 == 0;
  if (!removed.empty() && (even || !candidates.empty())) {
    // The old voter is removed first: a new one counts at once, and a majority
    // must not depend on its empty log.
    std::erase(voters, removed);
    return voters;
  }
  if (candidates.empty()) {
    return voters;
  }
  const bool canJoin = even || (candidates.size() >= 2 &&
                                voters.size() + 2 <= aInput.mMaxVoters);
  if (canJoin) {
    voters.push_back(candidates.front());
  }
  return voters;
}

}  // namespace spindleweir
