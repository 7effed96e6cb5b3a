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
  /// A candidate must have been seen within this time. A voter seen within it
  /// counts as running.
  Millis mCandidateWindow = 1500;
  std::size_t mMaxVoters = 7;
};

/// The voters after the next step; unchanged if none is due. A voter that lost
/// its disk or is silent for too long is removed if a candidate can take its
/// place or the number of voters is even. Candidates join if the number is
/// even, or in pairs up to the maximum, so that it becomes odd; those of the
/// zone with the fewest voters join first. No pair joins if it gives one zone
/// so many voters that its loss would end the majority, or if too few voters
/// run to be a majority before the new ones have the log. Where a zone has too
/// many, one of its voters is removed for a candidate of another zone, as long
/// as the running voters remain a majority.
std::vector<std::string> NextVoters(const VoterPlanInput& aInput);

/// Whether a majority of the voters remains after the loss of any one zone.
/// Voters of unknown zones count as of a zone of their own each.
bool SurvivesZoneLoss(const std::vector<std::string>& aVoters,
                      const ControlDirectory& aDirectory);

}  // namespace spindleweir
