#include "tests/daemons/deployment.h"

#include <stdlib.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"
#include "standins/expected_answer.h"

namespace spindleweir {

namespace {

constexpr Millis kRunTimeout = 30000;
constexpr Millis kRunInterval = 3;
constexpr const char* kOperatorKey = "operator-key";
constexpr const char* kClusterKey = "cluster-key";

Endpoint Loopback() {
  return {"127.0.0.1", 0};
}

/// Parses the JSON objects in the text of an event stream.
std::vector<Json::Value> Events(const std::string& aStream) {
  std::vector<Json::Value> events;
  std::size_t at = 0;
  while (true) {
    const std::size_t begin = aStream.find("data: {", at);
    const std::size_t end = aStream.find("\n\n", begin);
    if (begin == std::string::npos || end == std::string::npos) {
      return events;
    }
    events.push_back(ParseJson(aStream.substr(begin + 6, end - begin - 6)));
    at = end;
  }
}

Json::Value ErrorOf(const CallerResult& aResult) {
  for (const Json::Value& event : Events(aResult.mStream)) {
    if (event.isMember("error")) {
      return event["error"];
    }
  }
  if (aResult.mHttp.mBody.starts_with("{")) {
    return ParseJson(aResult.mHttp.mBody)["error"];
  }
  return {};
}

}  // namespace

std::string CallerResult::Text() const {
  if (!mStream.empty()) {
    std::string text;
    for (const Json::Value& event : Events(mStream)) {
      text += event["choices"][0]["delta"]["content"].asString();
    }
    return text;
  }
  return mHttp.mBody.empty()
             ? ""
             : ParseJson(mHttp.mBody)["choices"][0]["message"]["content"]
                   .asString();
}

int CallerResult::ErrorCode() const {
  const Json::Value error = ErrorOf(*this);
  return error.isObject() ? error["code"].asInt() : 0;
}

std::string CallerResult::Ran() const {
  const Json::Value error = ErrorOf(*this);
  return error.isObject() ? error["ran"].asString() : "";
}

std::string CallerResult::RequestId() const {
  for (const Json::Value& event : Events(mStream)) {
    return event["id"].asString();
  }
  return mHttp.mBody.empty() ? "" : ParseJson(mHttp.mBody)["id"].asString();
}

Deployment::Deployment(DeploymentOptions aOptions)
    : mOptions(std::move(aOptions)), mClient(mLoop) {
  if (getenv("TEST_LOG") != nullptr) {
    StartLog(getenv("TEST_LOG"), "test");
  }
  mPlatform = std::make_unique<PlatformStandin>(
      mLoop, PlatformStandinOptions{.mListen = Loopback(),
                                    .mFile = mFolder.Path("vms.json")});
  for (int zone = 0; zone < mOptions.mZones; zone++) {
    for (int i = 0; i < mOptions.mEngines; i++) {
      StartEngine("gpu-" + std::to_string(zone) + "-" + std::to_string(i),
                  Zone(zone));
    }
    const std::string service = "kaunter-" + std::to_string(zone);
    mServices[service] = std::make_unique<ServiceStandin>(
        mLoop, ServiceStandinOptions{.mVm = service,
                                     .mListen = Loopback(),
                                     .mDelay = mOptions.mServiceDelay});
  }
  WritePlatform();
  mControls.resize(static_cast<std::size_t>(mOptions.mZones));
  mRouters.resize(static_cast<std::size_t>(mOptions.mZones) *
                  static_cast<std::size_t>(mOptions.mRouters));
  for (int i = 0; i < static_cast<int>(mControls.size()); i++) {
    StartControl(i, true);
  }
  for (int i = 0; i < static_cast<int>(mRouters.size()); i++) {
    StartRouter(i);
  }
  WriteEntryVms();
}

Deployment::~Deployment() = default;

void Deployment::StartEngine(const std::string& aVm, const std::string& aZone) {
  mEngineZones[aVm] = aZone;
  mEngines[aVm] = std::make_unique<EngineStandin>(
      mLoop, EngineStandinOptions{.mVm = aVm,
                                  .mZone = aZone,
                                  .mListen = Loopback(),
                                  .mMemoryLayers = 4,
                                  .mLayerMicros = 1000,
                                  .mLoadMillis = 50,
                                  .mRecord = mFolder.Path(aVm + ".record")});
}

void Deployment::StartControl(int aIndex, bool aFirst) {
  ControlOptions options;
  options.mId = "control-" + std::to_string(aIndex);
  options.mZone = Zone(aIndex);
  options.mRpcListen = Loopback();
  options.mOperatorListen = Loopback();
  options.mOperatorKey = kOperatorKey;
  options.mClusterKey = kClusterKey;
  options.mEntryVms = mFolder.Path("entry_vms.json");
  options.mData = mFolder.Path(options.mId);
  for (int i = 0; aFirst && i < static_cast<int>(mControls.size()); i++) {
    options.mInitialVoters.push_back("control-" + std::to_string(i));
  }
  options.mPlatform = mPlatform->Address();
  const auto index = static_cast<std::size_t>(aIndex);
  mControls[index] = std::make_unique<ControlDaemon>(mLoop, options);
  mDelays.resize(mControls.size());
  if (mOptions.mDelay) {
    mDelays[index] = std::make_unique<RpcDelay>(
        mLoop, mControls[index]->RpcAddress(), mOptions.mDelay);
  }
}

void Deployment::StartRouter(int aIndex) {
  RouterOptions options;
  options.mId = "router-" + std::to_string(aIndex);
  options.mZone = Zone(aIndex / mOptions.mRouters);
  options.mListen = Loopback();
  options.mRpcListen = Loopback();
  options.mEntryVms = mFolder.Path("entry_vms.json");
  options.mPlatform = mPlatform->Address();
  options.mClusterKey = kClusterKey;
  options.mStopUnready = mOptions.mStopUnready;
  if (mOptions.mLinkFailureOf) {
    options.mLinkFailureOf = [this, aIndex](const Endpoint& aServer) {
      return mOptions.mLinkFailureOf(aIndex, aServer);
    };
  }
  mRouters[static_cast<std::size_t>(aIndex)] =
      std::make_unique<RouterDaemon>(mLoop, options);
}

void Deployment::WritePlatform() {
  Json::Value list(Json::objectValue);
  const auto add = [this, &list](
                       const std::string& aVm, const std::string& aZone,
                       const std::string& aService, const Endpoint& aAddress) {
    Json::Value vm(Json::objectValue);
    vm["vm"] = aVm;
    vm["zone"] = aZone;
    vm["service"] = aService;
    vm["address"] = aAddress.Text();
    vm["leaving"] = std::find(mListedAsLeaving.begin(), mListedAsLeaving.end(),
                              aVm) != mListedAsLeaving.end();
    list["vms"].append(vm);
  };
  for (const auto& [vm, engine] : mEngines) {
    add(vm, mEngineZones[vm], "", engine->Address());
  }
  for (const auto& [vm, service] : mServices) {
    add(vm, "zone-" + vm.substr(vm.size() - 1), "kaunter-api",
        service->Address());
  }
  ReplaceFile(mFolder.Path("vms.json"), DumpJson(list));
}

void Deployment::WriteEntryVms() {
  Json::Value rows(Json::arrayValue);
  for (std::size_t i = 0; i < mControls.size(); i++) {
    Json::Value row(Json::objectValue);
    row["id"] = "control-" + std::to_string(i);
    row["role"] = "control";
    row["zone"] = Zone(static_cast<int>(i));
    row["address"] =
        mControls[i] ? mControls[i]->RpcAddress().Text() : "127.0.0.1:1";
    if (mDelays[i] != nullptr) {
      row["address"] = mDelays[i]->Address().Text();
    }
    row["operator"] =
        mControls[i] ? mControls[i]->OperatorAddress().Text() : "127.0.0.1:1";
    rows.append(row);
  }
  for (std::size_t i = 0; i < mRouters.size(); i++) {
    Json::Value row(Json::objectValue);
    row["id"] = "router-" + std::to_string(i);
    row["role"] = "router";
    row["zone"] = Zone(static_cast<int>(i) / mOptions.mRouters);
    row["address"] =
        mRouters[i] ? mRouters[i]->RpcAddress().Text() : "127.0.0.1:1";
    rows.append(row);
  }
  ReplaceFile(mFolder.Path("entry_vms.json"), DumpJson(rows));
}

bool Deployment::RunUntil(const std::function<bool()>& aCondition) {
  // The condition is evaluated outside the loop, so that it may run the loop.
  const Millis end = SteadyNow() + kRunTimeout;
  while (!aCondition()) {
    if (SteadyNow() > end) {
      return false;
    }
    RunFor(kRunInterval);
  }
  return true;
}

void Deployment::RunFor(Millis aTime) {
  const auto end = mLoop.After(aTime, [this] { mLoop.Stop(); });
  mLoop.Run();
}

void Deployment::BlockThread(Millis aTime) {
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

HttpResult Deployment::Fetch(const Endpoint& aServer,
                             const std::string& aMethod,
                             const std::string& aPath, const std::string& aBody,
                             const std::string& aKey) {
  HttpResult result;
  bool done = false;
  HttpCallOptions options;
  options.mServer = aServer;
  options.mMethod = aMethod;
  options.mPath = aPath;
  options.mBody = aBody;
  options.mHeaders = {{"Authorization", "Bearer " + aKey}};
  options.mTimeout = 5000;
  options.mOnDone = [&](const HttpResult& aResult) {
    result = aResult;
    done = true;
  };
  const auto call = mClient.Start(std::move(options));
  RunUntil([&done] { return done; });
  return result;
}

HttpResult Deployment::Operator(const std::string& aMethod,
                                const std::string& aPath,
                                const std::string& aBody) {
  HttpResult result;
  for (int tries = 0; tries < 100; tries++) {
    for (const std::unique_ptr<ControlDaemon>& control : mControls) {
      if (control == nullptr) {
        continue;
      }
      result = Fetch(control->OperatorAddress(), aMethod, aPath, aBody,
                     kOperatorKey);
      const bool unhandled =
          !result.mComplete || result.mStatus == 307 || result.mStatus == 503;
      if (!unhandled) {
        return result;
      }
    }
    RunFor(50);
  }
  return result;
}

std::string Deployment::IntentBody(const std::string& aCommandId) {
  return R"({"command_id":")" + aCommandId + R"(","intent":{"workspaces":[
    {"name":"travellers","key":"traveller-key"},
    {"name":"crews","key":"crew-key-0001","max_concurrent":4}],
    "models":[{"name":"pembantu-lm","layers":12}],
    "services":[{"name":"kaunter-api","repeatable":false}]}})";
}

void Deployment::Begin() {
  cr_assert(RunUntil([this] {
    const HttpResult state = Operator("GET", "/v1/state");
    std::size_t known = 0;
    for (std::size_t at = state.mBody.find("layer_micros");
         at != std::string::npos;
         at = state.mBody.find("layer_micros", at + 1)) {
      known++;
    }
    return known == mEngines.size();
  }));
  const HttpResult plan = Operator("POST", "/v1/intents", IntentBody("first"));
  cr_assert(plan.mStatus == 200, "%s", plan.mBody.c_str());
  const HttpResult confirmed = Operator("POST", "/v1/plans/plan-first/confirm");
  cr_assert(confirmed.mStatus == 200, "%s", confirmed.mBody.c_str());
  for (std::size_t i = 0; i < mRouters.size(); i++) {
    cr_assert(RunUntil([this, i] {
      const auto answer = Chat(static_cast<int>(i), "hello", 1, false);
      RunUntil([&answer] { return answer->mDone; });
      return answer->mHttp.mStatus == 200;
    }));
  }
  // All engines are loaded before a test starts, so that spare engines exist.
  cr_assert(RunUntil([this] {
    const std::string state = Operator("GET", "/v1/state").mBody;
    return state.find("\"model\":\"\"") == std::string::npos &&
           state.find("\"loading\":true") == std::string::npos;
  }));
}

std::shared_ptr<CallerResult> Deployment::Send(
    int aRouter, const std::string& aMethod, const std::string& aPath,
    const std::string& aBody, std::vector<HttpHeader> aHeaders) {
  auto result = std::make_shared<CallerResult>();
  HttpCallOptions options;
  options.mServer =
      mRouters[static_cast<std::size_t>(aRouter)]->CallerAddress();
  options.mMethod = aMethod;
  options.mPath = aPath;
  options.mBody = aBody;
  options.mHeaders = std::move(aHeaders);
  options.mTimeout = kRunTimeout;
  options.mNewConnection = true;
  options.mOnDone = [result](const HttpResult& aResult) {
    result->mHttp = aResult;
    result->mDone = true;
  };
  const bool streamed = aBody.find("\"stream\":true") != std::string::npos;
  if (streamed) {
    options.mOnData = [result](std::string_view aBytes) {
      result->mStream += aBytes;
    };
  }
  result->mCall = mClient.Start(std::move(options));
  return result;
}

std::shared_ptr<CallerResult> Deployment::Chat(
    int aRouter, const std::string& aPrompt, int aTokens, bool aStream,
    std::vector<HttpHeader> aHeaders) {
  Json::Value body(Json::objectValue);
  body["model"] = "pembantu-lm";
  body["max_tokens"] = aTokens;
  body["stream"] = aStream;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = aPrompt;
  aHeaders.push_back({"Authorization", std::string("Bearer ") + kTestKey});
  return Send(aRouter, "POST", "/v1/chat/completions", DumpJson(body),
              std::move(aHeaders));
}

std::string Deployment::Expected(const std::string& aPrompt, int aTokens) {
  return ExpectedAnswer("user: " + aPrompt + "\n", kTestLayers, aTokens);
}

void Deployment::InjectFault(const std::string& aEngine,
                             const std::string& aBody) {
  cr_assert(Fetch(mEngines.at(aEngine)->Address(), "POST", "/v1/faults", aBody)
                .mStatus == 200);
}

int Deployment::Metric(int aRouter, const std::string& aName) {
  const std::string text =
      Fetch(mRouters[static_cast<std::size_t>(aRouter)]->CallerAddress(), "GET",
            "/metrics")
          .mBody;
  const std::size_t at = text.find("\nspindleweir_" + aName + " ");
  return at == std::string::npos
             ? 0
             : std::stoi(text.substr(at + aName.size() + 14));
}

int Deployment::ServiceRuns() {
  int runs = 0;
  for (const auto& [vm, service] : mServices) {
    runs += ParseJson(Fetch(service->Address(), "GET", "/runs").mBody)["runs"]
                .asInt();
  }
  return runs;
}

std::vector<std::string> Deployment::EnginesOf(const std::string& aRequest) {
  std::vector<std::string> engines;
  HttpResult found;
  RunUntil([&] {
    found = Operator("GET", "/v1/receipts/" + aRequest);
    return found.mStatus == 200;
  });
  const Json::Value receipt = ParseJson(found.mBody);
  for (const Json::Value& attempt : receipt["attempts"]) {
    for (const Json::Value& stage : attempt["stages"]) {
      engines.push_back(stage["engine"].asString());
    }
  }
  return engines;
}

}  // namespace spindleweir
