/// The accepted configuration on a control process: the replicated log, the
/// state it builds, the answers to those who wait for a commit, and the
/// spreading of what was accepted.
#pragma once

#include <sigc++/signal.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemons/control/control_context.h"
#include "spindleweir/drivers/raft_disk_storage.h"
#include "spindleweir/servers/configuration/configuration_machine.h"
#include "spindleweir/servers/consensus/raft_node.h"

namespace spindleweir {

/// Told what a command came to; nullptr where that is not known: no majority,
/// or this process does not lead any more.
using CommandDone = std::function<void(const CommandResult*)>;

/// One voter with its state.
class ReplicatedConfiguration {
 public:
  explicit ReplicatedConfiguration(ControlContext& aContext);

  /// Proposes a command; aDone is called once.
  void Submit(const Command& aCommand, CommandDone aDone);
  /// Calls aDone(true) once the state here is proved to be the newest.
  void ConfirmRead(std::function<void(bool)> aDone);
  /// Replaces the voters by one; false where it cannot be now.
  bool ChangeVoters(const std::vector<std::string>& aVoters);

  const ConfigurationMachine& Machine() const { return mMachine; }
  ConfigurationMachine& Machine() { return mMachine; }
  const RaftNode& Raft() const { return *mRaft; }
  std::size_t DiskBytes() const { return mStorage->Bytes(); }
  /// Emitted once a leader, this process or another, may promise.
  sigc::signal<void>& SignalTermCommitted() { return mSignalTermCommitted; }

 private:
  struct PendingCommand {
    std::vector<CommandDone> mDone;
    Millis mSince = 0;
  };

  /// Begins anew from what is on the disk, as a restart would.
  void Open();
  void ReopenAfterFailure();
  void Send(const RaftMessage& aMessage);
  std::optional<Endpoint> AddressOf(const std::string& aId) const;
  void Apply(const LogEntry& aEntry);
  void Tick();
  /// Tells where a leader may promise since.
  void UpdateLeader();
  void FailPending();
  void PushToRouters();

  ControlContext& mContext;
  std::unique_ptr<RaftDiskStorage> mStorage;
  ConfigurationMachine mMachine;
  std::unique_ptr<RaftNode> mRaft;
  std::map<std::string, PendingCommand> mPendingCommands;  ///< By command id.
  ConfigurationRequest mLastPushed;  ///< What the routers were last told.
  std::string mLoggedLeader;
  std::int64_t mTermWithCommit = 0;  ///< Whose leader was told of.
  sigc::signal<void> mSignalTermCommitted;
  Millis mFailedAt = -1;  ///< When the storage failed; -1: it did not.
  std::unique_ptr<Timer> mTimer;
  std::unique_ptr<Timer> mPushTimer;
};

}  // namespace spindleweir
