/// Which control processes should be voters; decides one step at a time.
#pragma once

#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

/// Input of NextVoters, as the leader knows it.
struct VoterPlanInput {
  std::string mSelf;
  std::vector<std::string> mVoters;
  const ControlDirectory* mDirectory = nullptr;
  Millis mNow = 0;
  /// A voter not seen for longer than this is replaced if a candidate exists.
  Millis mSilenceTimeout = 6000;
  /// A candidate must have been seen within this time.
  Millis mCandidateWindow = 1500;
  std::size_t mMaxVoters = 7;
};

/// The voters after the next step; unchanged if none is due. A voter that lost
/// its disk or is silent for too long is removed if a candidate can take its
/// place or the number of voters is even. Candidates join if the number is
/// even, or in pairs up to the maximum, so that it becomes odd.
std::vector<std::string> NextVoters(const VoterPlanInput& aInput);

}  // namespace spindleweir
