#include "daemons/control/joined_services.h"

#include <algorithm>
#include <iterator>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

/// How long an operator's call waits until a leader is in contact. A call that
/// is redirected to a leader that was just killed fails there, and operators
/// back off for longer after each such failure; without an answer they retry
/// after one second.
constexpr Millis kLeaderWaitTimeout = 800;
constexpr Millis kLeaderPollInterval = 20;

OperatorAnswer Refusal(ResultCode aCode, std::string aMessage) {
  return {.mCode = aCode, .mMessage = std::move(aMessage)};
}

}  // namespace

JoinedServices::JoinedServices(EventLoop& aLoop, ControlOptions aOptions,
                               OpenRaftLog aLog, Counters& aCounters,
                               StorageState& aStorage)
    : mContext(aLoop, std::move(aOptions), aCounters, aStorage),
      mLog(mContext, std::move(aLog)),
      mSync(mContext, mLog),
      mMeter(aLoop, mContext.mRpc, mContext.mCounters,
             {.mZone = mContext.mOptions.mZone,
              .mZoneOf =
                  [this](const Endpoint& aAddress) {
                    return mSync.Directory().ZoneAt(aAddress);
                  }}),
      mRetries(mContext, {.mVoters = [this] { return Voters(); },
                          .mServices =
                              [this] {
                                std::vector<std::string> names;
                                for (const TrafficService& service :
                                     mSync.Traffic().mServices) {
                                  names.push_back(service.mName);
                                }
                                return names;
                              }}),
      mPlacer(mContext, mLog, mSync) {
  LogStarted();
}

void JoinedServices::LogStarted() {
  const ControlOptions& options = mContext.mOptions;
  LogLine(LogLevel::kInfo, "started")
      .Add("id", options.mId)
      .Add("zone", options.mZone)
      .Add("first_start", options.mFirstStart)
      .Add("version", static_cast<Json::Int64>(mSync.Traffic().mVersion))
      .Add("voters", ListOf(mLog.Raft().Voters()))
      .Add("term", static_cast<Json::Int64>(mLog.Raft().Term()))
      .Add("index", static_cast<Json::Int64>(mLog.Raft().LastIndex()));
}

bool JoinedServices::HasLeaderContact() const {
  return Votes() ? mLog.Raft().HasLeaderContact(SteadyNow())
                 : !mSync.ReportedLeader().empty();
}

VoterState JoinedServices::Voters() const {
  return {.mVoters = static_cast<int>(mLog.Raft().Voters().size()),
          .mIsVoter = Votes(),
          .mHasLeaderContact = mLog.Raft().HasLeaderContact(SteadyNow())};
}

bool JoinedServices::Votes() const {
  const std::vector<std::string>& voters = mLog.Raft().Voters();
  return std::find(voters.begin(), voters.end(), mContext.mOptions.mId) !=
         voters.end();
}

std::string JoinedServices::KnownLeader() const {
  const std::string& leader = mLog.Raft().Leader();
  return Votes() && !leader.empty() ? leader : mSync.ReportedLeader();
}

void JoinedServices::AwaitLeader(std::function<void()> aRun) {
  if (HasLeaderContact()) {
    aRun();
    return;
  }
  mWaitingCalls.push_back({std::move(aRun), SteadyNow()});
  PollLeader();
}

void JoinedServices::PollLeader() {
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
  mLeaderTimer =
      mWaitingCalls.empty()
          ? nullptr
          : mContext.mLoop.After(kLeaderPollInterval, [this] { PollLeader(); });
  for (const WaitingCall& item : ready) {
    LogLine(LogLevel::kInfo, "operator_waited")
        .Add("took_ms", static_cast<Json::Int64>(now - item.mSince))
        .Add("leader", mLog.Raft().Leader());
    item.mRun();
  }
}

OperatorAnswer JoinedServices::NotLeader() const {
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

void JoinedServices::Publish(const std::string& aDocument,
                             const OperatorDone& aDone) {
  AwaitLeader([this, aDocument, aDone] { PublishNow(aDocument, aDone); });
}

void JoinedServices::PublishNow(const std::string& aDocument,
                                const OperatorDone& aDone) {
  if (!mLog.Raft().Leads()) {
    // The leader checks the document; parsing a large one here too is needless.
    aDone(NotLeader());
    return;
  }
  TrafficConfiguration configuration;
  try {
    const DocumentProtocol& documents = mContext.mOptions.mDocuments;
    configuration = documents.mRead(aDocument);
    if (documents.mCheckNew) {
      documents.mCheckNew(aDocument);
    }
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

void JoinedServices::Read(const OperatorDone& aDone) {
  AwaitLeader([this, aDone] { ReadNow(aDone); });
}

void JoinedServices::ReadNow(const OperatorDone& aDone) {
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

void JoinedServices::SetSeeds(std::vector<Endpoint> aSeeds) {
  mSync.SetSeeds(std::move(aSeeds));
}

void JoinedServices::RefreshGauges() {
  Counters& counters = mContext.mCounters;
  const RaftNode& raft = mLog.Raft();
  counters.Set("leads", raft.Leads() ? 1 : 0);
  counters.Set("term", raft.Term());
  counters.Set("commit_index", raft.CommitIndex());
  counters.Set("voters", static_cast<std::int64_t>(raft.Voters().size()));
  counters.Set("disk_bytes", static_cast<std::int64_t>(mLog.DiskBytes()));
  const Millis confirmed = raft.ConfirmedAt();
  counters.Set("confirmed_ago_ms",
               confirmed < 0 ? -1 : SteadyNow() - confirmed);
  mSync.RefreshGauges();
  mRetries.RefreshGauges();
  counters.Set("upstreams_known",
               static_cast<std::int64_t>(mSync.Registry().Size()));
}

}  // namespace spindleweir
