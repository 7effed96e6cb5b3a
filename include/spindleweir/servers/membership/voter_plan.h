/// Which control processes should be voters, and which should hold the log to
/// become voters; decides one step at a time.
#pragma once

#include <functional>
#include <limits>
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
  /// How long this process has watched the others without standing still: none
  /// has been silent for longer, as far as it knows.
  Millis mWatchedFor = std::numeric_limits<Millis>::max();
  /// A candidate must have been seen within this time. A voter seen within it
  /// counts as running.
  Millis mCandidateWindow = 1500;
  std::size_t mMaxVoters = 7;
  /// Candidates that receive the log: as many as may be replaced at a time,
  /// without sending it to all controls of a large deployment.
  std::size_t mMaxLearners = 4;
  /// Disks that may be lost at once: no silent voter is removed without a
  /// substitute if a majority would then be as few or fewer.
  std::size_t mTolerated = 1;
  /// Whether a candidate holds the log; unset: each one does.
  std::function<bool(const std::string&)> mHoldsLog;
};

/// The voters after the next step; unchanged if none is due. Only candidates
/// that hold the log join.
///
/// - A voter that lost its disk is removed once a candidate can take its place.
/// - A voter that has ended as planned, is silent for too long or was asked to
///   end is removed after a candidate has joined in its place, so that the loss
///   of any one is survived meanwhile.
/// - With an even number of voters, or with two more than mTolerated requires,
///   such a voter is removed also without a candidate.
/// - Candidates join if the number is even, or in pairs up to the maximum, so
///   that it becomes odd; those of the zone with the fewest voters join first.
///   No pair joins if it gives one zone so many voters that its loss would end
///   the majority, unless mTolerated requires it, or if too few voters run to
///   be a majority without the pair.
/// - Where a zone has too many, a candidate of another zone joins, then one of
///   its voters is removed.
std::vector<std::string> NextVoters(const VoterPlanInput& aInput);

/// The candidates that should receive the log, so that they can replace voters
/// at once: a few, of the zones with the fewest voters.
std::vector<std::string> NextLearners(const VoterPlanInput& aInput);

/// The other voters that run and stay: they can lead.
std::vector<std::string> StayingVoters(const VoterPlanInput& aInput);

/// Whether a control that was asked to end may do so: it is no voter, or no
/// other voter stays, or nobody could take its place and the others do as well
/// with it as without it.
bool MayStop(const VoterPlanInput& aInput);

/// Whether a majority of the voters remains after the loss of any one zone.
/// Voters of unknown zones count as of a zone of their own each.
bool SurvivesZoneLoss(const std::vector<std::string>& aVoters,
                      const ControlDirectory& aDirectory);

}  // namespace spindleweir
