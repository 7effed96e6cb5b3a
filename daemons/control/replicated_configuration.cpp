#include "daemons/control/replicated_configuration.h"

#include <random>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

namespace {

constexpr Millis kTickInterval = 20;
constexpr Millis kRaftTimeout = 1000;
constexpr Millis kPushTimeout = 1000;
constexpr Millis kHeartbeatsPerTimeout = 5;
constexpr std::size_t kSnapshotThresholdBytes = 1024 * 1024;

}  // namespace

ReplicatedConfiguration::ReplicatedConfiguration(ControlContext& aContext,
                                                 OpenRaftLog aLog)
    : mContext(aContext) {
  Use(std::move(aLog));
  mContext.mDispatcher.On(
      rpc_method::kRaft, [this](const Json::Value& aMessage) {
        mRaft->Receive(FromJson<RaftMessage>(aMessage), SteadyNow());
        UpdateLeader();
        return Json::Value(Json::objectValue);
      });
  mContext.mDispatcher.On(rpc_method::kGetConfiguration,
                          [this](const Json::Value& aMessage) {
                            return ToJson(mMachine.History().UpdateFor(
                                FromJson<ConfigurationRequest>(aMessage)));
                          });
  mMachine.SignalAccepted().connect([this](const Configuration&) {
    // A restart applies many versions at once; only the newest is pushed.
    mPushTimer = mContext.mLoop.After(0, [this] { PushToRouters(); });
  });
  mTimer = mContext.mLoop.Every(kTickInterval, [this] { Tick(); });
}

void ReplicatedConfiguration::Use(OpenRaftLog aLog) {
  const ControlOptions& options = mContext.mOptions;
  auto storage = std::make_unique<RaftDiskStorage>(
      mContext.mLoop, std::move(aLog),
      LogWriterHooks{.mOnProgress = [this] { OnStorageProgress(); },
                     .mOnSynced =
                         [this](Millis aTook) {
                           mContext.mStorage.OnSynced(kRaftLogFile, aTook);
                         }});
  RaftOptions raft;
  raft.mId = options.mId;
  raft.mElectionTimeout = options.mElectionTimeout;
  raft.mHeartbeatInterval = options.mElectionTimeout / kHeartbeatsPerTimeout;
  raft.mSnapshotThresholdBytes = kSnapshotThresholdBytes;
  // Not from the clock, which may return to the time of an earlier start.
  raft.mSeed = std::random_device()();
  raft.mStorage = storage.get();
  raft.mSend = [this](const RaftMessage& aMessage) { Send(aMessage); };
  raft.mApply = [this](const LogEntry& aEntry) { Apply(aEntry); };
  raft.mMakeSnapshot = [this] { return mMachine.Save(); };
  raft.mInstallSnapshot = [this](const std::string& aData) {
    mMachine.Restore(aData);
  };
  mRaft = std::make_unique<RaftNode>(std::move(raft), SteadyNow());
  mStorage = std::move(storage);
}

void ReplicatedConfiguration::OnStorageProgress() {
  mRaft->OnStorageProgress(SteadyNow());
  UpdateLeader();
}

void ReplicatedConfiguration::ReopenAfterFailure() {
  const Millis now = SteadyNow();
  if (mFailedAt < 0) {
    mFailedAt = now;
    mContext.mStorage.OnFailed(kRaftLogFile, "a write or sync failed");
    FailPending();
    return;
  }
  if (mIsReopening || !mStorage->IsIdle() ||
      now - mFailedAt < kStorageRetryInterval) {
    return;
  }
  mFailedAt = now;
  mIsReopening = true;
  const auto log = std::make_shared<std::optional<OpenRaftLog>>();
  if (mReopenThread == nullptr) {
    mReopenThread = std::make_unique<DiskThread>(mContext.mLoop);
  }
  mReopenThread->Run(
      [log, path = mContext.mOptions.mData + "/" + kRaftLogFile,
       voters = mContext.mOptions.mInitialVoters] {
        log->emplace(path, voters);
      },
      [this, log](const DiskResult& aResult) {
        mIsReopening = false;
        if (aResult.mError.has_value()) {
          mContext.mStorage.OnFailed(kRaftLogFile, aResult.mError->what());
          return;
        }
        mFailedAt = -1;
        Use(std::move(**log));
        mContext.mStorage.OnUsable(kRaftLogFile);
      });
}

void ReplicatedConfiguration::Send(const RaftMessage& aMessage) {
  const std::optional<Endpoint> peer = AddressOf(aMessage.mTo);
  if (peer.has_value()) {
    mContext.mRpc.Call(*peer, rpc_method::kRaft, ToJson(aMessage), kRaftTimeout,
                       [this, to = aMessage.mTo,
                        began = SteadyNow()](const RpcResult& aResult) {
                         if (!aResult.mOk) {
                           mRaft->OnSendFailed(to, SteadyNow() - began);
                         }
                       });
  }
}

std::optional<Endpoint> ReplicatedConfiguration::AddressOf(
    const std::string& aId) const {
  if (mContext.Joins()) {
    return AddressOfControl(aId);
  }
  const EntryVm* peer = mContext.mEntryVms.Current().Find(aId);
  return peer == nullptr ? std::nullopt : std::optional(peer->mAddress);
}

void ReplicatedConfiguration::Tick() {
  // An election cannot succeed before the addresses of the others are known.
  if (!mContext.Joins() && mContext.mEntryVms.Current().All().empty()) {
    return;
  }
  if (mRaft->Failed()) {
    ReopenAfterFailure();
    return;
  }
  mRaft->Tick(SteadyNow());
  UpdateLeader();
  if (mRaft->Role() != RaftRole::kLeader) {
    FailPending();
    return;
  }
  const Millis now = SteadyNow();
  for (auto it = mPendingCommands.begin(); it != mPendingCommands.end();) {
    if (now - it->second.mSince < mContext.mOptions.mCommitTimeout) {
      ++it;
      continue;
    }
    const PendingCommand late = std::move(it->second);
    it = mPendingCommands.erase(it);
    for (const CommandDone& done : late.mDone) {
      done(nullptr);
    }
  }
}

void ReplicatedConfiguration::CountFailedElections() {
  const std::int64_t failed = mRaft->FailedElections();
  if (failed > mFailedElections) {
    mContext.mCounters.Add("elections_failed", {}, failed - mFailedElections);
    LogLine(LogLevel::kInfo, "election_failed")
        .Add("term", static_cast<Json::Int64>(mRaft->Term()))
        .Add("failed", static_cast<Json::Int64>(failed));
  }
  // A log that was opened again counts from zero.
  mFailedElections = failed;
}

void ReplicatedConfiguration::UpdateLeader() {
  CountFailedElections();
  if (mRaft->Leader() != mLoggedLeader) {
    mLoggedLeader = mRaft->Leader();
    LogLine(LogLevel::kInfo, "leader")
        .Add("leader", mLoggedLeader)
        .Add("term", static_cast<Json::Int64>(mRaft->Term()));
  }
  if (mRaft->HasCommitInTerm() && mTermWithCommit != mRaft->Term()) {
    mTermWithCommit = mRaft->Term();
    LogLine(LogLevel::kInfo, "leader_settled")
        .Add("leader", mLoggedLeader)
        .Add("term", static_cast<Json::Int64>(mTermWithCommit))
        .Add("index", static_cast<Json::Int64>(mRaft->CommitIndex()));
    mSignalTermCommitted.emit();
  }
}

void ReplicatedConfiguration::FailPending() {
  const std::map<std::string, PendingCommand> waiting =
      std::move(mPendingCommands);
  mPendingCommands.clear();
  for (const auto& [id, item] : waiting) {
    for (const CommandDone& done : item.mDone) {
      done(nullptr);
    }
  }
}

void ReplicatedConfiguration::Submit(const Command& aCommand,
                                     CommandDone aDone) {
  PendingCommand& waiting = mPendingCommands[aCommand.mId];
  waiting.mDone.push_back(std::move(aDone));
  waiting.mSince = SteadyNow();
  if (mRaft->Propose(DumpJson(ToJson(aCommand))) == 0) {
    FailPending();
  }
}

void ReplicatedConfiguration::Apply(const LogEntry& aEntry) {
  const auto command = FromJson<Command>(ParseJson(aEntry.mPayload));
  const std::int64_t before = mMachine.Current().mVersion;
  const CommandResult result = mMachine.Apply(command);
  LogLine(LogLevel::kInfo, "command")
      .Add("command", command.mId)
      .Add("index", static_cast<Json::Int64>(aEntry.mIndex))
      .Add("code", result.mCode)
      .Add("plan", result.mPlanId)
      .Add("version", static_cast<Json::Int64>(result.mVersion))
      .Add("accepted", mMachine.Current().mVersion > before);
  const auto it = mPendingCommands.find(command.mId);
  if (it == mPendingCommands.end()) {
    return;
  }
  const PendingCommand waiting = std::move(it->second);
  mPendingCommands.erase(it);
  for (const CommandDone& done : waiting.mDone) {
    done(&result);
  }
}

void ReplicatedConfiguration::ConfirmRead(std::function<void(bool)> aDone) {
  mRaft->ConfirmRead(std::move(aDone));
}

bool ReplicatedConfiguration::ChangeVoters(
    const std::vector<std::string>& aVoters) {
  return mRaft->ProposeVoters(aVoters) != 0;
}

void ReplicatedConfiguration::PushToRouters() {
  const Configuration& configuration = mMachine.Current();
  mContext.mCounters.Set("configuration_version", configuration.mVersion);
  const EntryVms& vms = mContext.mEntryVms.Current();
  const bool leads = mRaft != nullptr && mRaft->Role() == RaftRole::kLeader;
  // Only the changes since the last push; a router that lacks more polls.
  const Json::Value message = ToJson(mMachine.History().UpdateFor(mLastPushed));
  mLastPushed = mMachine.History().MakeRequest();
  for (const EntryVm& router : vms.OfRole(EntryRole::kRouter)) {
    // A control serves the routers of its zone. The leader, which has each
    // version first, also pushes to all the others.
    if (leads || router.mZone == mContext.mOptions.mZone) {
      mContext.mRpc.Call(router.mAddress, rpc_method::kPushConfiguration,
                         message, kPushTimeout, nullptr);
    }
  }
}

}  // namespace spindleweir
