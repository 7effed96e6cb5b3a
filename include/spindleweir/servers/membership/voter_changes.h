/// Carries out the voter plan on one control: as the leader it gives candidates
/// the log and changes the voters one step at a time; as a control that was
/// asked to end it hands over its place and its leadership first.
#pragma once

#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/consensus/raft_node.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/voter_plan.h"

namespace spindleweir {

struct VoterChangesOptions {
  std::string mSelf;
  /// How long a new machine may take until the deployment counts on it.
  Millis mCatchUp = 4000;
  /// Disks that may be lost at once.
  std::size_t mTolerated = 1;
  /// Controls that hold the log without being voters.
  std::size_t mMaxLearners = 4;
  /// How long a control that was asked to end may wait for its hand-over.
  Millis mStopTimeout = 4000;
};

/// The caller calls Step() regularly and passes in the time.
class VoterChanges {
 public:
  VoterChanges(VoterChangesOptions aOptions, Millis aNow);

  /// Takes the next step that is due. Returns the voters that it proposed;
  /// empty: none.
  std::vector<std::string> Step(RaftNode& aRaft,
                                const ControlDirectory& aDirectory,
                                Millis aNow);

  /// This control was asked to end.
  void BeginStop(Millis aNow);
  bool IsStopping() const { return mStoppingSince >= 0; }
  Millis StoppingSince() const { return mStoppingSince; }
  /// Whether a control that was asked to end may do so now. aToldOthers: the
  /// others know that it ends.
  bool MayEnd(const RaftNode& aRaft, const ControlDirectory& aDirectory,
              bool aToldOthers, Millis aNow) const;

 private:
  VoterPlanInput InputOf(const RaftNode& aRaft,
                         const ControlDirectory& aDirectory) const;

  VoterChangesOptions mOptions;
  Millis mNow;
  Millis mWatchingSince;  ///< Began to watch the others, or stood still.
  Millis mStoppingSince = -1;
};

}  // namespace spindleweir
