#include "daemons/control/operator_api.h"

#include <algorithm>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"
#include "spindleweir/servers/configuration/intent_check.h"
#include "spindleweir/servers/placement/placement_planner.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kCommandIdBytes = 12;
constexpr std::size_t kMaxCommandIdLength = 128;

/// The body of POST /v1/intents.
struct IntentBody {
  std::string mCommandId;
  std::int64_t mBaseVersion = -1;  ///< -1: the current one.
  Intent mIntent;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("command_id", mCommandId);
    aCodec.Field("base_version", mBaseVersion);
    aCodec.Required("intent", mIntent);
  }
};

/// The body of POST /v1/plans/{id}/confirm, which may be empty.
struct ConfirmBody {
  std::string mCommandId;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("command_id", mCommandId);
  }
};

/// The body of POST /v1/vms/{vm}/drain, which may be empty.
struct DrainBody {
  std::string mCommandId;
  bool mDrain = true;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("command_id", mCommandId);
    aCodec.Field("drain", mDrain);
  }
};

/// The body of POST /v1/voters.
struct VotersBody {
  std::vector<std::string> mVoters;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("voters", mVoters);
  }
};

template <class T>
T ReadBody(const HttpExchange& aExchange) {
  return aExchange.Body().empty()
             ? T{}
             : FromJson<T>(ParseJson(aExchange.Body()), true);
}

void CheckCommandId(std::string& aId) {
  if (aId.empty()) {
    aId = RandomHex(kCommandIdBytes);
  }
  if (aId.size() > kMaxCommandIdLength) {
    throw Error(ResultCode::kBadField,
                "command_id must have at most 128 characters");
  }
}

/// Returns the one segment between a prefix and a suffix of a path; empty if
/// the path does not match or has several segments there.
std::string PathSegment(const std::string& aPath, std::string_view aPrefix,
                        std::string_view aSuffix) {
  const bool match = aPath.starts_with(aPrefix) && aPath.ends_with(aSuffix) &&
                     aPath.size() > aPrefix.size() + aSuffix.size();
  if (!match) {
    return "";
  }
  std::string middle = aPath.substr(
      aPrefix.size(), aPath.size() - aPrefix.size() - aSuffix.size());
  return middle.find('/') == std::string::npos ? middle : "";
}

}  // namespace

OperatorApi::OperatorApi(ControlContext& aContext,
                         ReplicatedConfiguration& aLog, Inventory& aInventory,
                         ReceiptService& aReceipts, ClaimService& aClaims)
    : mContext(aContext),
      mLog(aLog),
      mInventory(aInventory),
      mReceipts(aReceipts),
      mClaims(aClaims) {}

void OperatorApi::Handle(const std::shared_ptr<HttpExchange>& aExchange) {
  try {
    Route(aExchange);
  } catch (const Error& error) {
    ReplyError(*aExchange, {.mCode = error.Code(), .mMessage = error.what()});
  }
}

void OperatorApi::Route(const Exchange& aExchange) {
  const std::string& path = aExchange->Path();
  if (path == "/healthz") {
    RequireMethod(*aExchange, "GET");
    aExchange->Reply(kHttpOk, "text/plain", "ok\n");
    return;
  }
  if (path == "/readyz") {
    RequireMethod(*aExchange, "GET");
    RequireStorage();
    aExchange->Reply(kHttpOk, "text/plain", "ready\n");
    return;
  }
  if (path == "/metrics") {
    RequireMethod(*aExchange, "GET");
    mContext.mCounters.Set("claims", static_cast<std::int64_t>(mClaims.Size()));
    mContext.mCounters.Set("claims_abstain", mClaims.Abstains() ? 1 : 0);
    mContext.mCounters.Set("receipts",
                           static_cast<std::int64_t>(mReceipts.Size()));
    mContext.mCounters.Set("log_bytes",
                           static_cast<std::int64_t>(mLog.DiskBytes()));
    mContext.mCounters.Set("rpc_sent_bytes", mContext.mRpc.SentBytes());
    aExchange->Reply(kHttpOk, "text/plain; version=0.0.4",
                     mContext.mCounters.Text());
    return;
  }
  if (aExchange->BearerKey() != mContext.mOptions.mOperatorKey) {
    throw Error(ResultCode::kUnauthorized, "the operator key is not known");
  }
  const std::string confirmed = PathSegment(path, "/v1/plans/", "/confirm");
  const std::string shown = PathSegment(path, "/v1/plans/", "");
  const std::string request = PathSegment(path, "/v1/receipts/", "");
  const std::string vm = PathSegment(path, "/v1/vms/", "/drain");
  if (path == "/v1/intents") {
    RequireMethod(*aExchange, "POST");
    PlanIntent(aExchange);
  } else if (!confirmed.empty()) {
    RequireMethod(*aExchange, "POST");
    ConfirmPlan(aExchange, confirmed);
  } else if (!shown.empty()) {
    RequireMethod(*aExchange, "GET");
    ShowPlan(aExchange, shown);
  } else if (path == "/v1/configuration") {
    RequireMethod(*aExchange, "GET");
    ShowConfiguration(aExchange);
  } else if (path == "/v1/configuration/local") {
    RequireMethod(*aExchange, "GET");
    ShowLocalConfiguration(aExchange);
  } else if (path == "/v1/state") {
    RequireMethod(*aExchange, "GET");
    ShowState(aExchange);
  } else if (!request.empty()) {
    RequireMethod(*aExchange, "GET");
    ShowReceipt(aExchange, request);
  } else if (!vm.empty()) {
    RequireMethod(*aExchange, "POST");
    DrainVm(aExchange, vm);
  } else if (path == "/v1/voters") {
    RequireMethod(*aExchange, "POST");
    ChangeVoters(aExchange);
  } else {
    throw Error(ResultCode::kNotFound, "no path " + path);
  }
}

void OperatorApi::RequireStorage() const {
  if (mContext.mStorage.Failed()) {
    throw Error(ResultCode::kStorageFailed, "the disk of this VM failed");
  }
}

void OperatorApi::RequireLeader(const Exchange& aExchange) {
  if (mLog.Raft().Failed()) {
    throw Error(ResultCode::kStorageFailed, "the disk of this VM failed");
  }
  if (mLog.Raft().Leads()) {
    return;
  }
  const EntryVm* leader =
      mContext.mEntryVms.Current().Find(mLog.Raft().Leader());
  const bool self = mLog.Raft().Leader() == mContext.mOptions.mId;
  if (leader == nullptr || self || leader->mOperator.mPort == 0) {
    throw Error(ResultCode::kNoQuorum,
                "no leader is known here; nothing was changed");
  }
  aExchange->AddHeader(
      "Location", "http://" + leader->mOperator.Text() + aExchange->Path());
  throw Error(ResultCode::kNotLeader, "the leader is " + leader->mId);
}

void OperatorApi::PlanIntent(const Exchange& aExchange) {
  RequireLeader(aExchange);
  auto body = FromJson<IntentBody>(ParseJson(aExchange->Body()), true);
  CheckCommandId(body.mCommandId);
  Command command;
  command.mId = body.mCommandId;
  command.mDigest = Sha256Hex("intent\n" + aExchange->Body());
  command.mKind = CommandKind::kPlan;
  command.mLeaderWallTime = WallNow();
  if (mLog.Machine().FindResult(command.mId) != nullptr) {
    // A resent command: the log returns the result of the first one.
    SubmitCommand(aExchange, command);
    return;
  }
  CheckIntentAndHashKeys(body.mIntent);
  const Configuration& current = mLog.Machine().Current();
  if (body.mBaseVersion >= 0 && body.mBaseVersion != current.mVersion) {
    throw Error(ResultCode::kVersionConflict,
                "base_version is " + std::to_string(body.mBaseVersion) +
                    "; the current version is " +
                    std::to_string(current.mVersion));
  }
  if (!mInventory.Complete()) {
    throw Error(ResultCode::kNotReady,
                "some engines have not reported to this control yet");
  }
  const std::vector<EngineReport> engines = mInventory.Engines();
  std::set<std::string> unusable = mInventory.Leaving();
  unusable.insert(current.mDrained.begin(), current.mDrained.end());
  command.mPlan = MakePlan({.mIntent = body.mIntent,
                            .mCurrent = current,
                            .mEngines = engines,
                            .mUnusable = unusable});
  command.mPlan.mId = "plan-" + command.mId;
  command.mPlan.mBaseVersion = current.mVersion;
  command.mPlan.mExpiresWall =
      command.mLeaderWallTime + mContext.mOptions.mPlanLifetime;
  LogLine(LogLevel::kInfo, "placement")
      .Add("plan", command.mPlan.mId)
      .Add("engines", static_cast<int>(engines.size()))
      .Add("unusable", static_cast<int>(unusable.size()))
      .Add("stages", static_cast<int>(command.mPlan.mPlacement.size()))
      .Add("changes", static_cast<int>(command.mPlan.mChanges.size()))
      .Add("short", static_cast<int>(command.mPlan.mWarnings.size()))
      .Add("forbidden",
           static_cast<int>(command.mPlan.mRejectionReasons.size()));
  SubmitCommand(aExchange, command);
}

void OperatorApi::ConfirmPlan(const Exchange& aExchange,
                              const std::string& aPlanId) {
  RequireLeader(aExchange);
  auto body = ReadBody<ConfirmBody>(*aExchange);
  CheckCommandId(body.mCommandId);
  Command command;
  command.mId = body.mCommandId;
  command.mDigest = Sha256Hex("confirm\n" + aPlanId);
  command.mKind = CommandKind::kConfirm;
  command.mLeaderWallTime = WallNow();
  command.mPlanId = aPlanId;
  SubmitCommand(aExchange, command);
}

void OperatorApi::DrainVm(const Exchange& aExchange, const std::string& aVm) {
  RequireLeader(aExchange);
  auto body = ReadBody<DrainBody>(*aExchange);
  CheckCommandId(body.mCommandId);
  if (body.mDrain && !mInventory.KnowsVm(aVm)) {
    throw Error(ResultCode::kUnknownVm, "no VM " + aVm);
  }
  Command command;
  command.mId = body.mCommandId;
  command.mDigest = Sha256Hex((body.mDrain ? "drain\n" : "undrain\n") + aVm);
  command.mKind = CommandKind::kDrain;
  command.mLeaderWallTime = WallNow();
  command.mVm = aVm;
  command.mDrain = body.mDrain;
  SubmitCommand(aExchange, command);
}

void OperatorApi::ChangeVoters(const Exchange& aExchange) {
  RequireLeader(aExchange);
  const auto body = ReadBody<VotersBody>(*aExchange);
  for (const std::string& id : body.mVoters) {
    const EntryVm* vm = mContext.mEntryVms.Current().Find(id);
    if (vm == nullptr || vm->mRole != EntryRole::kControl) {
      throw Error(ResultCode::kUnknownVm, "no control process " + id);
    }
  }
  if (!mLog.ChangeVoters(body.mVoters)) {
    throw Error(ResultCode::kVersionConflict,
                "only one voter can be added or removed at a time, and each "
                "change must have completed before the next");
  }
  Json::Value answer(Json::objectValue);
  answer["proposed"] = ToJson(body)["voters"];
  ReplyJson(*aExchange, kHttpOk, answer);
}

void OperatorApi::SubmitCommand(const Exchange& aExchange,
                                const Command& aCommand) {
  mLog.Submit(aCommand, [this, aExchange](const CommandResult* aResult) {
    if (aResult == nullptr) {
      ReplyError(*aExchange,
                 {.mCode = ResultCode::kNoQuorum, .mRetryAfter = 1000});
      return;
    }
    ReplyResult(aExchange, *aResult);
  });
}

void OperatorApi::ReplyResult(const Exchange& aExchange,
                              const CommandResult& aResult) {
  const auto code = static_cast<ResultCode>(aResult.mCode);
  if (code != ResultCode::kOk) {
    Json::Value body = ErrorBody({.mCode = code, .mMessage = aResult.mMessage});
    body["command_id"] = aResult.mId;
    body["version"] = static_cast<Json::Int64>(aResult.mVersion);
    ReplyJson(*aExchange, InfoOf(code).mHttpStatus, body);
    return;
  }
  Json::Value body(Json::objectValue);
  body["command_id"] = aResult.mId;
  body["version"] = static_cast<Json::Int64>(aResult.mVersion);
  if (const Plan* plan = mLog.Machine().FindPlan(aResult.mPlanId)) {
    body["plan"] = ToJson(*plan);
  }
  ReplyJson(*aExchange, kHttpOk, body);
}

void OperatorApi::ShowPlan(const Exchange& aExchange,
                           const std::string& aPlanId) {
  const Plan* plan = mLog.Machine().FindPlan(aPlanId);
  if (plan == nullptr) {
    // A recent plan may not have been replicated to this control yet.
    RequireLeader(aExchange);
    throw Error(ResultCode::kPlanNotFound, "no plan " + aPlanId);
  }
  ReplyJson(*aExchange, kHttpOk, ToJson(*plan));
}

void OperatorApi::ShowConfiguration(const Exchange& aExchange) {
  RequireLeader(aExchange);
  mLog.ConfirmRead([this, aExchange](bool aConfirmed) {
    if (!aConfirmed) {
      ReplyError(*aExchange, {.mCode = ResultCode::kNoQuorum,
                              .mMessage = "no majority confirmed the read"});
      return;
    }
    ReplyJson(*aExchange, kHttpOk, ToJson(mLog.Machine().Current()));
  });
}

void OperatorApi::ShowLocalConfiguration(const Exchange& aExchange) {
  ReplyJson(*aExchange, kHttpOk, ToJson(mLog.Machine().Current()));
}

void OperatorApi::ShowState(const Exchange& aExchange) {
  Json::Value state = mInventory.State();
  const RaftNode& raft = mLog.Raft();
  Json::Value& control = state["control"];
  control["id"] = mContext.mOptions.mId;
  control["leader"] = raft.Leader();
  control["term"] = static_cast<Json::Int64>(raft.Term());
  control["commit_index"] = static_cast<Json::Int64>(raft.CommitIndex());
  control["last_index"] = static_cast<Json::Int64>(raft.LastIndex());
  control["storage_failed"] = mContext.mStorage.Failed();
  control["claims_abstain"] = mClaims.Abstains();
  control["claims"] = static_cast<Json::UInt64>(mClaims.Size());
  control["receipts"] = static_cast<Json::UInt64>(mReceipts.Size());
  control["voters"] = Json::Value(Json::arrayValue);
  for (const std::string& voter : raft.Voters()) {
    control["voters"].append(voter);
  }
  state["configuration_version"] =
      static_cast<Json::Int64>(mLog.Machine().Current().mVersion);
  ReplyJson(*aExchange, kHttpOk, state);
}

void OperatorApi::ShowReceipt(const Exchange& aExchange,
                              const std::string& aRequest) {
  mReceipts.Find(aRequest, [aExchange, aRequest](const Receipt* aReceipt) {
    if (aReceipt == nullptr) {
      ReplyError(*aExchange, {.mCode = ResultCode::kReceiptNotFound,
                              .mMessage = "no receipt of " + aRequest});
      return;
    }
    ReplyJson(*aExchange, kHttpOk, ToJson(*aReceipt));
  });
}

}  // namespace spindleweir
