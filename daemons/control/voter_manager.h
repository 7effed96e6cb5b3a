/// Keeps the voters of the replicated log in step with the controls that run:
/// on the leader it carries out the voter plan, one step at a time, and on each
/// control it logs who should elect a leader while there is none.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemons/control/control_context.h"
#include "daemons/control/replicated_configuration.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

/// The voters as one control sees them.
class VoterManager {
 public:
  /// aReachable: returns the ids of the other controls that are in contact.
  VoterManager(ControlContext& aContext, ReplicatedConfiguration& aLog,
               const ControlDirectory& aDirectory,
               std::function<std::vector<std::string>()> aReachable);

 private:
  void Step();
  void ChangeVoters();
  /// Logs, at an interval, what an election here rests on while this control
  /// knows no leader.
  void LogMissingLeader();

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  const ControlDirectory& mDirectory;
  std::function<std::vector<std::string>()> mReachable;
  Millis mLeaderMissingSince = -1;  ///< -1: a leader is known.
  Millis mMissingLoggedAt = -1;     ///< Last log line on that; -1: none.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
