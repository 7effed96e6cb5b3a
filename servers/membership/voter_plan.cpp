#include "spindleweir/servers/membership/voter_plan.h"

#include <algorithm>

namespace spindleweir {

namespace {

bool Contains(const std::vector<std::string>& aList, const std::string& aId) {
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

/// The voter that should leave first, or empty: one whose disk is gone, else
/// the one that was silent for longest.
std::string Lost(const VoterPlanInput& aQuestion) {
  std::string lost;
  Millis longest = aQuestion.mSilenceTimeout;
  for (const std::string& id : aQuestion.mVoters) {
    if (id == aQuestion.mSelf) {
      continue;
    }
    if (aQuestion.mDirectory->IsReplaced(id)) {
      return id;
    }
    const Millis silent =
        aQuestion.mDirectory->TimeSinceSeen(id, aQuestion.mNow);
    if (silent > longest) {
      longest = silent;
      lost = id;
    }
  }
  return lost;
}

}  // namespace

std::vector<std::string> NextVoters(const VoterPlanInput& aQuestion) {
  std::vector<std::string> candidates;
  for (const ControlInfo& info : aQuestion.mDirectory->SeenWithin(
           aQuestion.mCandidateWindow, aQuestion.mNow)) {
    const bool usable = !Contains(aQuestion.mVoters, info.mId) &&
                        !aQuestion.mDirectory->IsReplaced(info.mId);
    if (usable) {
      candidates.push_back(info.mId);
    }
  }
  std::vector<std::string> voters = aQuestion.mVoters;
  const std::string lost = Lost(aQuestion);
  const bool even = voters.size() % 2 == 0;
  if (!lost.empty() && (even || !candidates.empty())) {
    // The place is made first: the one that joins counts at once, and an
    // empty log must not be needed for a majority.
    std::erase(voters, lost);
    return voters;
  }
  if (candidates.empty()) {
    return voters;
  }
  const bool room = even || (candidates.size() >= 2 &&
                             voters.size() + 2 <= aQuestion.mMaxVoters);
  if (room) {
    voters.push_back(candidates.front());
  }
  return voters;
}

}  // namespace spindleweir
