/// What a leader can tell of voters and candidates: who runs, who is lost, who
/// was asked to end, who can join.
#pragma once

#include <string>
#include <vector>

#include "spindleweir/servers/membership/voter_plan.h"

namespace spindleweir {

using VoterIds = std::vector<std::string>;

/// A control that was asked to end counts as running for this time after it was
/// last seen: more than two of its polls.
inline constexpr Millis kStoppingWindow = 700;
bool Contains(const VoterIds& aList, const std::string& aId);

/// Whether a control runs, as far as the leader knows.
bool Runs(const VoterPlanInput& aInput, const std::string& aId);

/// Whether a voter will not come back with its disk, or not for long.
bool IsLost(const VoterPlanInput& aInput, const std::string& aId);

/// The voters that are lost: first those without a disk, then the others, those
/// silent for longest first.
VoterIds LostVoters(const VoterPlanInput& aInput);

/// A voter that was asked to end and still runs; empty: none.
std::string LeavingVoter(const VoterPlanInput& aInput);

/// Controls that can become voters.
VoterIds Candidates(const VoterPlanInput& aInput);

/// Whether a candidate holds the log.
bool HoldsLog(const VoterPlanInput& aInput, const std::string& aId);

/// Candidates that can become voters at once.
VoterIds ReadyCandidates(const VoterPlanInput& aInput);

}  // namespace spindleweir
