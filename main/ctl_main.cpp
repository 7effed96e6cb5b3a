/// spindleweirctl: the operators' command line.
#include <gflags/gflags.h>
#include <unistd.h>

#include <fstream>
#include <iostream>

#include "main/ctl_client.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/file_tools.h"
#include "spindleweir/servers/explain/loss_report.h"
#include "spindleweir/servers/explain/request_report.h"

DEFINE_string(control, "", "operator addresses of control, comma-separated");
DEFINE_string(operator_key, "", "bearer key of the operators");
DEFINE_string(command_id, "",
              "id of the command; a retry with the same id is executed once");
DEFINE_int64(base_version, -1, "version that the intent builds on");
DEFINE_int32(timeout_ms, 15000, "milliseconds for an answer, with retries");
DEFINE_string(
    logs, "",
    "log files of processes, comma-separated, for explain and losses");
DEFINE_int32(late_first_ms, 500,
             "losses: milliseconds after which a first event is late");
DEFINE_int32(late_pause_ms, 200,
             "losses: milliseconds after which a pause is late");
DEFINE_bool(json, false, "print the answer as JSON");

namespace spindleweir {
namespace {

constexpr int kExitRefused = 1;
constexpr int kExitUnreachable = 3;
constexpr int kHttpOk = 200;
constexpr int kCommandIdBytes = 12;

constexpr const char* kUsage =
    "spindleweirctl [flags] COMMAND\n\n"
    "  intent FILE        submit an intent (- reads standard input)\n"
    "  plan ID            show a plan\n"
    "  confirm ID         put a plan in force\n"
    "  configuration      show the accepted configuration\n"
    "  state              show leader, routers and upstreams\n"
    "  explain REQUEST    show the receipt of a request; with --logs:\n"
    "                     its events and outcome in the logs of all processes\n"
    "  losses             with --logs: how many requests were lost or late,\n"
    "                     by cause, zone, route and second\n"
    "  drain VM           send a VM no new work\n"
    "  undrain VM         send a drained VM work again\n"
    "  voters ID,ID,...   replace the voters, one at a time\n\n"
    "Exit codes: 0 done, 1 refused, 2 invalid usage, 3 control unreachable.";

/// The HTTP request of a command line.
struct CtlRequest {
  std::string mMethod;
  std::string mPath;
  Json::Value mBody;
};

std::string ReadInput(const std::string& aFile) {
  if (aFile == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  const auto text = ReadFile(aFile);
  if (!text.has_value()) {
    throw Error(ResultCode::kBadSetting, "cannot read " + aFile);
  }
  return *text;
}

Json::Value CommandBody() {
  Json::Value body(Json::objectValue);
  body["command_id"] =
      FLAGS_command_id.empty() ? RandomHex(kCommandIdBytes) : FLAGS_command_id;
  return body;
}

CtlRequest IntentRequest(const std::string& aFile) {
  CtlRequest request{"POST", "/v1/intents", CommandBody()};
  request.mBody["intent"] = ParseJson(ReadInput(aFile));
  if (FLAGS_base_version >= 0) {
    request.mBody["base_version"] =
        static_cast<Json::Int64>(FLAGS_base_version);
  }
  return request;
}

CtlRequest VotersRequest(const std::string& aIds) {
  CtlRequest request{"POST", "/v1/voters", Json::Value(Json::objectValue)};
  for (const std::string& id : SplitList(aIds)) {
    request.mBody["voters"].append(id);
  }
  return request;
}

CtlRequest DrainRequest(const std::string& aVm, bool aDrain) {
  CtlRequest request{"POST", "/v1/vms/" + aVm + "/drain", CommandBody()};
  request.mBody["drain"] = aDrain;
  return request;
}

CtlRequest ReadCommand(const std::vector<std::string>& aArguments) {
  const std::string command = aArguments.empty() ? "" : aArguments[0];
  if (command == "configuration" && aArguments.size() == 1) {
    return {"GET", "/v1/configuration", {}};
  }
  if (command == "state" && aArguments.size() == 1) {
    return {"GET", "/v1/state", {}};
  }
  if (aArguments.size() != 2) {
    throw Error(ResultCode::kBadSetting,
                "missing or unknown command, or wrong number of arguments; "
                "see --help");
  }
  const std::string& argument = aArguments[1];
  if (command == "intent") {
    return IntentRequest(argument);
  }
  if (command == "plan") {
    return {"GET", "/v1/plans/" + argument, {}};
  }
  if (command == "confirm") {
    return {"POST", "/v1/plans/" + argument + "/confirm", CommandBody()};
  }
  if (command == "explain") {
    return {"GET", "/v1/receipts/" + argument, {}};
  }
  if (command == "drain" || command == "undrain") {
    return DrainRequest(argument, command == "drain");
  }
  if (command == "voters") {
    return VotersRequest(argument);
  }
  throw Error(ResultCode::kBadSetting,
              "unknown command " + command + "; see --help");
}

void PrintStage(const Json::Value& aStage) {
  std::cout << aStage["engine"].asString() << " (" << aStage["zone"].asString()
            << ")";
  if (aStage["last"].asInt() > 0) {
    std::cout << " " << aStage["model"].asString() << " layers ["
              << aStage["first"].asInt() << "," << aStage["last"].asInt()
              << ")";
  }
}

void PrintPlan(const Json::Value& aPlan) {
  std::cout << "plan " << aPlan["id"].asString() << " on version "
            << aPlan["base_version"].asInt64() << "\n";
  for (const Json::Value& change : aPlan["changes"]) {
    std::cout << "  " << change["action"].asString() << " ";
    PrintStage(change["stage"]);
    std::cout << "\n";
  }
  for (const Json::Value& item : aPlan["capacity"]) {
    std::cout << "  capacity " << item["model"].asString() << " in "
              << item["zone"].asString() << ": "
              << static_cast<int>(item["tokens_per_second"].asDouble())
              << " tokens/s over " << item["stages"].asInt() << " stages"
              << (item["survives_one_loss"].asBool() ? ", survives one loss"
                                                     : "")
              << "\n";
  }
  for (const Json::Value& line : aPlan["short"]) {
    std::cout << "  short: " << line.asString() << "\n";
  }
  for (const Json::Value& line : aPlan["forbidden"]) {
    std::cout << "  forbidden: " << line.asString() << "\n";
  }
}

void PrintReceipt(const Json::Value& aReceipt) {
  std::cout << "request " << aReceipt["request"].asString() << " of workspace "
            << aReceipt["workspace"].asString() << " for "
            << aReceipt["target"].asString() << "\n  router "
            << aReceipt["router"].asString() << " in "
            << aReceipt["zone"].asString() << ", configuration version "
            << aReceipt["configuration_version"].asInt64() << "\n  ran "
            << aReceipt["ran"].asString() << ", code "
            << aReceipt["code"].asInt() << ", " << aReceipt["tokens"].asInt()
            << " tokens in " << aReceipt["took_ms"].asInt64() << " ms\n";
  for (const Json::Value& attempt : aReceipt["attempts"]) {
    std::cout << "  attempt " << attempt["attempt"].asInt() << " from token "
              << attempt["first_token"].asInt() << ", "
              << attempt["ended"].asString() << "\n";
    for (const Json::Value& stage : attempt["stages"]) {
      std::cout << "    ";
      PrintStage(stage);
      std::cout << "\n";
    }
  }
}

void Print(const std::string& aCommand, const Json::Value& aBody) {
  if (FLAGS_json || aCommand == "configuration" || aCommand == "state" ||
      aCommand == "voters") {
    std::cout << DumpJson(aBody) << "\n";
  } else if (aCommand == "explain") {
    PrintReceipt(aBody);
  } else if (aCommand == "intent") {
    PrintPlan(aBody["plan"]);
  } else if (aCommand == "plan") {
    PrintPlan(aBody);
  } else {
    std::cout << "version " << aBody["version"].asInt64() << " is in force\n";
  }
}

void ForEachLogLine(const std::function<void(const std::string&)>& aOnLine) {
  for (const std::string& path : SplitList(FLAGS_logs)) {
    std::ifstream in(path);
    if (!in) {
      throw Error(ResultCode::kBadSetting, "--logs: cannot read " + path);
    }
    for (std::string line; std::getline(in, line);) {
      aOnLine(line);
    }
  }
}

void PrintCounts(const char* aTitle, const std::vector<LossCount>& aCounts) {
  std::cout << aTitle << "\n";
  for (const LossCount& count : aCounts) {
    std::cout << "  " << count.mCount << "  " << count.mName << "\n";
  }
}

/// Prints lost and late requests by cause and place, from the logs alone.
int LossesFromLogs() {
  LossReport report(
      {.mFirstEventMs = FLAGS_late_first_ms, .mPauseMs = FLAGS_late_pause_ms});
  ForEachLogLine(
      [&report](const std::string& aLine) { report.AddLine(aLine); });
  const LossSummary summary = report.Summary();
  std::cout << summary.mRequests << " requests\n";
  PrintCounts("by cause", summary.mCauses);
  PrintCounts("by zone", summary.mZones);
  PrintCounts("by route", summary.mRoutes);
  PrintCounts("by second", summary.mTimes);
  PrintCounts("beliefs about upstreams", summary.mAvoidReasons);
  return summary.mRequests > 0 ? 0 : kExitRefused;
}

/// Prints the events and outcome of a request from the logs alone.
int ExplainFromLogs(const std::string& aRequest) {
  ReportBuilder builder;
  ForEachLogLine(
      [&builder](const std::string& aLine) { builder.AddLine(aLine); });
  const RequestReport report = builder.Build(aRequest);
  for (const std::string& line : report.mLines) {
    std::cout << line << "\n";
  }
  std::cout << "cause: " << report.mCause << "\n";
  return report.mFound ? 0 : kExitRefused;
}

int Run(const std::vector<std::string>& aArguments) {
  const bool explains = aArguments.size() == 2 && aArguments[0] == "explain";
  if (explains && !FLAGS_logs.empty()) {
    return ExplainFromLogs(aArguments[1]);
  }
  if (aArguments.size() == 1 && aArguments[0] == "losses") {
    RequireSetting(FLAGS_logs, "--logs");
    return LossesFromLogs();
  }
  const CtlRequest request = ReadCommand(aArguments);
  RequireSetting(FLAGS_control, "--control");
  RequireSetting(FLAGS_operator_key, "--operator_key");
  std::vector<Endpoint> controls;
  for (const std::string& text : SplitList(FLAGS_control)) {
    controls.push_back(ParseEndpoint(text, "--control"));
  }
  CtlClient client(controls, FLAGS_operator_key, FLAGS_timeout_ms);
  const CtlAnswer answer =
      client.Call(request.mMethod, request.mPath, request.mBody);
  if (answer.mStatus == 0) {
    std::cerr << "no control process answered\n";
    return kExitUnreachable;
  }
  if (answer.mStatus != kHttpOk) {
    std::cerr << DumpJson(answer.mBody) << "\n";
    return kExitRefused;
  }
  Print(aArguments[0], answer.mBody);
  return 0;
}

}  // namespace
}  // namespace spindleweir

int main(int aArgc, char** aArgv) {
  return spindleweir::RunProgram(aArgc, aArgv, spindleweir::kUsage,
                                 spindleweir::Run);
}
