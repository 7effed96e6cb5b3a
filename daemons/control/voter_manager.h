/// Keeps the voters of the replicated log in step with the controls that run,
/// lets a control that was asked to end hand over first, and logs who should
/// elect a leader while there is none.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemons/control/control_context.h"
#include "daemons/control/replicated_configuration.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/voter_changes.h"

namespace spindleweir {

struct VoterManagerHooks {
  /// Returns the ids of the other controls that are in contact.
  std::function<std::vector<std::string>()> mReachable;
  /// Returns whether the controls in contact were told that this one ends.
  std::function<bool()> mHasToldOthers;
};

/// The voters as one control sees them.
class VoterManager {
 public:
  VoterManager(ControlContext& aContext, ReplicatedConfiguration& aLog,
               const ControlDirectory& aDirectory, VoterManagerHooks aHooks);

  /// This control was asked to end: calls aEnd once it has handed over, or
  /// after mStopTimeout of the options.
  void Stop(std::function<void()> aEnd);
  bool IsStopping() const { return mChanges.IsStopping(); }
  /// Steady time; -1: not asked to end.
  Millis StoppingSince() const { return mChanges.StoppingSince(); }

 private:
  void Step();
  /// Ends this control, if it was asked to and may.
  void EndIfDone();
  /// Logs, at an interval, what an election here rests on while this control
  /// knows no leader.
  void LogMissingLeader();

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  const ControlDirectory& mDirectory;
  VoterManagerHooks mHooks;
  VoterChanges mChanges;
  std::function<void()> mEnd;       ///< Set once this control was asked to end.
  Millis mLeaderMissingSince = -1;  ///< -1: a leader is known.
  Millis mMissingLoggedAt = -1;     ///< Last log line on that; -1: none.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
