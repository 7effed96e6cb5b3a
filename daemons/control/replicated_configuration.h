/// The accepted configuration on a control process: the replicated log, the
/// state machine that it drives, the callers that wait for a commit, and the
/// push of accepted versions to routers.
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

/// Name of the replicated log in the data folder.
inline constexpr const char* kRaftLogFile = "raft.log";

/// Called with the result of a command; nullptr if it is unknown: there is no
/// majority, or this process no longer leads.
using CommandDone = std::function<void(const CommandResult*)>;

/// One member of the replicated log, with its storage and state machine.
class ReplicatedConfiguration {
 public:
  ReplicatedConfiguration(ControlContext& aContext, OpenRaftLog aLog);

  /// Proposes a command; aDone is called once.
  void Submit(const Command& aCommand, CommandDone aDone);
  /// Calls aDone(true) once a majority has confirmed that the state here is the
  /// newest; aDone(false) if it cannot be confirmed.
  void ConfirmRead(std::function<void(bool)> aDone);
  /// Proposes a set of voters that differs by one from the current set; false
  /// if that is not possible now.
  bool ChangeVoters(const std::vector<std::string>& aVoters);

  const ConfigurationMachine& Machine() const { return mMachine; }
  ConfigurationMachine& Machine() { return mMachine; }
  const RaftNode& Raft() const { return *mRaft; }
  RaftNode& Raft() { return *mRaft; }
  std::size_t DiskBytes() const { return mStorage->Bytes(); }
  /// Emitted once per term, when its leader (this process or another) has
  /// committed an entry of the term and may confirm reads.
  sigc::signal<void>& SignalTermCommitted() { return mSignalTermCommitted; }

 private:
  struct PendingCommand {
    std::vector<CommandDone> mDone;
    Millis mSince = 0;
  };

  /// Rebuilds the state from a log that was read, as a restart does.
  void Use(OpenRaftLog aLog);
  /// Writes of the log have become durable, or have failed.
  void OnStorageProgress();
  /// Fails the pending commands and opens the log anew every
  /// kStorageRetryInterval, until the disk accepts that.
  void ReopenAfterFailure();
  /// Logs and counts the candidacies of this voter that have failed.
  void CountFailedElections();
  void Send(const RaftMessage& aMessage);
  std::optional<Endpoint> AddressOf(const std::string& aId) const;
  void Apply(const LogEntry& aEntry);
  void Tick();
  /// Logs a new leader; logs and emits the first commit of a term.
  void UpdateLeader();
  void FailPending();
  /// Sends the changes since the last push to the routers of this zone; a
  /// leader sends them to all routers.
  void PushToRouters();

  ControlContext& mContext;
  std::unique_ptr<RaftDiskStorage> mStorage;
  ConfigurationMachine mMachine;
  std::unique_ptr<RaftNode> mRaft;
  std::map<std::string, PendingCommand> mPendingCommands;  ///< By command id.
  ConfigurationRequest mLastPushed;  ///< The version that was last pushed.
  std::string mLoggedLeader;
  std::int64_t mTermWithCommit = 0;  ///< Last term that the signal was for.
  sigc::signal<void> mSignalTermCommitted;
  Millis mFailedAt = -1;  ///< Last failure of the storage; -1: it works.
  bool mIsReopening = false;
  std::unique_ptr<DiskThread> mReopenThread;  ///< Since the first failure.
  std::int64_t mFailedElections = 0;          ///< Those that were logged.
  std::unique_ptr<Timer> mTimer;
  std::unique_ptr<Timer> mPushTimer;
};

}  // namespace spindleweir
