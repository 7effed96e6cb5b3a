/// Which control processes are to be voters: decides one step at a time.
#pragma once

#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

/// What a leader decides by.
struct VoterPlanInput {
  std::string mSelf;
  std::vector<std::string> mVoters;
  const ControlDirectory* mDirectory = nullptr;
  Millis mNow = 0;
  /// A voter silent for so long is replaced, where another is there.
  Millis mSilenceTimeout = 6000;
  /// A candidate must have been heard within this time.
  Millis mCandidateWindow = 1500;
  std::size_t mMaxVoters = 7;
};

/// The voters after the next step; the same as now where none is due. A voter
/// that lost its disk, or is silent for long, leaves only when another takes
/// its place; candidates join while an odd number results.
std::vector<std::string> NextVoters(const VoterPlanInput& aQuestion);

}  // namespace spindleweir
