#include "spindleweir/daemons/joined_control.h"

#include <algorithm>
#include <iterator>

#include "daemons/control/layer_placer.h"
#include "daemons/control/retry_service.h"
#include "daemons/control/sync_service.h"
#include "daemons/rpc_meter.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxRpcBytes = 64 * 1024 * 1024;
constexpr int kDiskNameBytes = 8;
/// How long an operator's call waits until a leader is in contact. A call that
/// is redirected to a leader that was just killed fails there, and operators
/// back off for longer after each such failure; without an answer they retry
/// after one second.
constexpr Millis kLeaderWaitTimeout = 800;
constexpr Millis kLeaderPollInterval = 20;
/// Name of each disk at the first start, so that the first voters can derive
/// each other's ids from the seeds.
constexpr const char* kInitialDiskName = "first";

/// Returns the name of this disk, which is stored on it; an empty disk gets a
/// new one. Throws kDataCorrupt if the disk belongs to another address.
std::string DiskName(const ControlOptions& aOptions) {
  const std::string path = aOptions.mData + "/identity";
  const std::string wanted = aOptions.mRpcListen.Text() + "#";
  const std::string stored = ReadFile(path).value_or("");
  if (stored.starts_with(wanted)) {
    return stored.substr(wanted.size());
  }
  if (!stored.empty()) {
    throw Error(ResultCode::kDataCorrupt,
                path + " belongs to " + stored + ", not to " + wanted);
  }
  std::string name =
      aOptions.mFirstStart ? kInitialDiskName : RandomHex(kDiskNameBytes);
  ReplaceFile(path, wanted + name);
  return name;
}

/// Prepares the data folder and sets the id of this control and, at the first
/// start, the ids of the first voters.
ControlOptions PrepareIdentity(ControlOptions aOptions) {
  PrepareFolder(aOptions.mData);
  aOptions.mId = ControlId(aOptions.mRpcListen, DiskName(aOptions));
  aOptions.mInitialVoters.clear();
  if (aOptions.mFirstStart) {
    for (const Endpoint& seed : aOptions.mSeeds) {
      aOptions.mInitialVoters.push_back(ControlId(seed, kInitialDiskName));
    }
  }
  return aOptions;
}

OperatorAnswer Refusal(ResultCode aCode, std::string aMessage) {
  return {.mCode = aCode, .mMessage = std::move(aMessage)};
}

}  // namespace

/// The parts of a control, in the order of their construction.
struct JoinedControl::Parts {
  Parts(EventLoop& aLoop, ControlOptions aOptions)
      : mContext(aLoop, PrepareIdentity(std::move(aOptions))),
        mLog(mContext),
        mSync(mContext, mLog),
        mMeter(aLoop, mContext.mRpc, mContext.mCounters,
               {.mZone = mContext.mOptions.mZone,
                .mZoneOf =
                    [this](const Endpoint& aAddress) {
                      return mSync.Directory().ZoneAt(aAddress);
                    }}),
        mRetries(mContext,
                 {.mRouters = [this] { return mSync.Routers(); },
                  .mKnowsService =
                      [this](const std::string& aService) {
                        return mSync.Traffic().FindService(aService) != nullptr;
                      }}),
        mPlacer(mContext, mLog, mSync),
        mRpcServer(
            aLoop,
            {.mListen = mContext.mOptions.mRpcListen,
             .mMaximumBodyBytes = kMaxRpcBytes,
             .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
               mContext.mDispatcher.Handle(*aExchange);
             }}) {}

  /// An operator's call that waits until a leader is known.
  struct WaitingCall {
    std::function<void()> mRun;
    Millis mSince = 0;
  };

  /// Whether this control leads, or has recent contact with or a recent report
  /// of the leader.
  bool HasLeaderContact() const {
    return Votes() ? mLog.Raft().HasLeaderContact(SteadyNow())
                   : !mSync.ReportedLeader().empty();
  }

  bool Votes() const {
    const std::vector<std::string>& voters = mLog.Raft().Voters();
    return std::find(voters.begin(), voters.end(), mContext.mOptions.mId) !=
           voters.end();
  }

  /// Id of the leader, as far as is known; empty: unknown. A control that no
  /// longer votes has the leader of that time in its log.
  std::string KnownLeader() const {
    const std::string& leader = mLog.Raft().Leader();
    return Votes() && !leader.empty() ? leader : mSync.ReportedLeader();
  }

  /// Calls aRun once HasLeaderContact() holds, or after kLeaderWaitTimeout.
  void AwaitLeader(std::function<void()> aRun) {
    if (HasLeaderContact()) {
      aRun();
      return;
    }
    mWaitingCalls.push_back({std::move(aRun), SteadyNow()});
    PollLeader();
  }

  void PollLeader() {
    const Millis now = SteadyNow();
    const bool hasContact = HasLeaderContact();
    const auto firstReady = std::stable_partition(
        mWaitingCalls.begin(), mWaitingCalls.end(),
        [&](const WaitingCall& aItem) {
          return !hasContact && now - aItem.mSince < kLeaderWaitTimeout;
        });
    const std::vector<WaitingCall> ready(
        std::make_move_iterator(firstReady),
        std::make_move_iterator(mWaitingCalls.end()));
    mWaitingCalls.erase(firstReady, mWaitingCalls.end());
    mLeaderTimer = mWaitingCalls.empty()
                       ? nullptr
                       : mContext.mLoop.After(kLeaderPollInterval,
                                              [this] { PollLeader(); });
    for (const WaitingCall& item : ready) {
      LogLine(LogLevel::kInfo, "operator_waited")
          .Add("took_ms", static_cast<Json::Int64>(now - item.mSince))
          .Add("leader", mLog.Raft().Leader());
      item.mRun();
    }
  }

  /// The answer of a control that does not lead: names the leader, if known.
  OperatorAnswer NotLeader() const {
    const std::string leader = KnownLeader();
    const ControlInfo* info =
        leader.empty() ? nullptr : mSync.Directory().Find(leader);
    if (info == nullptr || leader == mContext.mOptions.mId) {
      return Refusal(ResultCode::kNoQuorum, "no leader is known");
    }
    OperatorAnswer answer =
        Refusal(ResultCode::kNotLeader, "another control leads");
    answer.mLeader = info->mOperator;
    return answer;
  }

  /// Publish() and Read() of JoinedControl, after the wait for a leader.
  void Publish(const std::string& aDocument, const OperatorDone& aDone);
  void Read(const OperatorDone& aDone);

  ControlContext mContext;
  ReplicatedConfiguration mLog;
  SyncService mSync;
  RpcMeter mMeter;
  RetryService mRetries;
  LayerPlacer mPlacer;
  std::vector<WaitingCall> mWaitingCalls;
  std::unique_ptr<Timer> mLeaderTimer;
  HttpServer mRpcServer;
};

JoinedControl::JoinedControl(EventLoop& aLoop, ControlOptions aOptions)
    : mParts(std::make_unique<Parts>(aLoop, std::move(aOptions))) {
  const ControlOptions& options = mParts->mContext.mOptions;
  LogLine(LogLevel::kInfo, "started")
      .Add("id", options.mId)
      .Add("zone", options.mZone)
      .Add("first_start", options.mFirstStart)
      .Add("version",
           static_cast<Json::Int64>(mParts->mSync.Traffic().mVersion));
}

JoinedControl::~JoinedControl() = default;

void JoinedControl::Publish(const std::string& aDocument,
                            const OperatorDone& aDone) {
  mParts->AwaitLeader([parts = mParts.get(), aDocument, aDone] {
    parts->Publish(aDocument, aDone);
  });
}

void JoinedControl::Parts::Publish(const std::string& aDocument,
                                   const OperatorDone& aDone) {
  if (!mLog.Raft().Leads()) {
    // The leader checks the document; parsing a large one here too is needless.
    aDone(NotLeader());
    return;
  }
  TrafficConfiguration configuration;
  try {
    configuration = mContext.mOptions.mDocuments.mRead(aDocument);
    CheckTrafficConfiguration(configuration);
  } catch (const Error& error) {
    LogLine(LogLevel::kWarning, "configuration_refused")
        .Add("code", static_cast<int>(error.Code()))
        .Add("why", error.what());
    aDone(Refusal(error.Code(), error.what()));
    return;
  }
  Command command;
  command.mKind = CommandKind::kPublish;
  command.mDigest = Sha256Hex(aDocument);
  command.mId = "publish-" + std::to_string(configuration.mVersion) + "-" +
                command.mDigest;
  command.mTrafficVersion = configuration.mVersion;
  command.mDocument = Pack(aDocument);
  mLog.Submit(command, [aDone](const CommandResult* aResult) {
    if (aResult == nullptr) {
      aDone(Refusal(ResultCode::kNoQuorum, "no majority confirmed in time"));
      return;
    }
    aDone(Refusal(static_cast<ResultCode>(aResult->mCode), aResult->mMessage));
  });
}

void JoinedControl::Read(const OperatorDone& aDone) {
  mParts->AwaitLeader([parts = mParts.get(), aDone] { parts->Read(aDone); });
}

void JoinedControl::Parts::Read(const OperatorDone& aDone) {
  if (!mLog.Raft().Leads()) {
    aDone(NotLeader());
    return;
  }
  mLog.ConfirmRead([this, aDone](bool aConfirmed) {
    const PublishedDocument& published = mLog.Machine().Published();
    if (!aConfirmed) {
      aDone(Refusal(ResultCode::kNoQuorum, "no majority confirmed in time"));
    } else if (published.mVersion == 0) {
      aDone(Refusal(ResultCode::kNotReady,
                    "no configuration has been accepted yet"));
    } else {
      aDone({.mDocument = Unpack(published.mDocument, kMaxUnpackedBytes)});
    }
  });
}

void JoinedControl::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                   const HeartbeatDone& aDone) {
  mParts->mSync.Upstreams().OnHeartbeat(aRecord, aDone);
}

void JoinedControl::Leave(const std::string& aInstance,
                          const HeartbeatDone& aDone, std::int64_t aStart) {
  mParts->mSync.Upstreams().ApplyLeave(aInstance, aDone, aStart);
}

void JoinedControl::OnInvalidHeartbeat(const std::string& aInstance,
                                       const Error& aWhy) {
  mParts->mContext.mInvalidMessages.Record("heartbeat", aInstance, aWhy);
}

void JoinedControl::SetSeeds(std::vector<Endpoint> aSeeds) {
  mParts->mSync.SetSeeds(std::move(aSeeds));
}

Counters& JoinedControl::OwnCounters() {
  return mParts->mContext.mCounters;
}

void JoinedControl::RefreshGauges() {
  Counters& counters = mParts->mContext.mCounters;
  const RaftNode& raft = mParts->mLog.Raft();
  counters.Set("leads", raft.Leads() ? 1 : 0);
  counters.Set("term", raft.Term());
  counters.Set("commit_index", raft.CommitIndex());
  counters.Set("voters", static_cast<std::int64_t>(raft.Voters().size()));
  counters.Set("disk_bytes",
               static_cast<std::int64_t>(mParts->mLog.DiskBytes()));
  const Millis confirmed = raft.ConfirmedAt();
  counters.Set("confirmed_ago_ms",
               confirmed < 0 ? -1 : SteadyNow() - confirmed);
  mParts->mSync.RefreshGauges();
  counters.Set("upstreams_known",
               static_cast<std::int64_t>(mParts->mSync.Registry().Size()));
}

void JoinedControl::Stop() {
  // Everything that was acknowledged is on the disk already.
  const LogLine line(LogLevel::kInfo, "stopped");
  mParts->mContext.mLoop.Stop();
}

}  // namespace spindleweir
