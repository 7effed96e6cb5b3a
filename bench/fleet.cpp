#include "bench/fleet.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include <filesystem>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/drivers/blocking_call.h"
#include "spindleweir/drivers/file_tools.h"
#include "standins/engine_standin.h"
#include "standins/platform_standin.h"
#include "standins/service_standin.h"

namespace spindleweir {

namespace {

constexpr Millis kPollPeriod = 5;
constexpr const char* kOperatorKey = "bench-operator";
constexpr const char* kClusterKey = "bench-cluster";
constexpr Millis kBeginLongest = 30000;

Endpoint Loopback() {
  return {"127.0.0.1", 0};
}

void Sleep(Millis aTime) {
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

}  // namespace

NodeThread::NodeThread(const Make& aMake)
    : mThread([this, aMake] { Run(aMake); }) {
  while (!mStarted) {
    Sleep(1);
  }
}

NodeThread::~NodeThread() {
  Kill();
}

void NodeThread::Run(const Make& aMake) {
  EventLoop loop;
  std::shared_ptr<void> object = aMake(loop, mAddress);
  const auto poll = loop.Every(kPollPeriod, [this, &loop] {
    std::vector<std::function<void()>> calls;
    {
      const std::lock_guard lock(mMutex);
      calls.swap(mCalls);
    }
    for (const std::function<void()>& call : calls) {
      call();
    }
    if (mStop) {
      loop.Stop();
    }
  });
  mStarted = true;
  loop.Run();
  object.reset();
}

void NodeThread::Post(std::function<void()> aCall) {
  const std::lock_guard lock(mMutex);
  mCalls.push_back(std::move(aCall));
}

void NodeThread::Kill() {
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

double NodeThread::CpuSeconds() const {
  clockid_t clock{};
  timespec time{};
  auto& thread = const_cast<std::thread&>(mThread);
  if (!mThread.joinable() ||
      pthread_getcpuclockid(thread.native_handle(), &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return 0;
  }
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

Fleet::Fleet(FleetOptions aOptions) : mOptions(std::move(aOptions)) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "spindleweir-bench.XXXXXX";
  mFolder = mkdtemp(pattern.data());
  mPlatform = std::make_unique<NodeThread>(
      [this](EventLoop& aLoop, Endpoint& aAddress) {
        auto platform = std::make_shared<PlatformStandin>(
            aLoop, PlatformStandinOptions{.mListen = Loopback(),
                                          .mFile = mFolder + "/vms.json"});
        aAddress = platform->Address();
        return platform;
      });
  for (int i = 0; i < mOptions.mEngines; i++) {
    const std::string name = "gpu-" + std::to_string(1000 + i);
    mEngineIndex[name] = i;
    StartEngine(name);
  }
  for (int i = 0; i < mOptions.mServices; i++) {
    mServices.push_back(std::make_unique<NodeThread>([i](EventLoop& aLoop,
                                                         Endpoint& aAddress) {
      auto service = std::make_shared<ServiceStandin>(
          aLoop, ServiceStandinOptions{.mVm = "kaunter-" + std::to_string(i),
                                       .mListen = Loopback()});
      aAddress = service->Address();
      return service;
    }));
  }
  for (int i = 0; i < mOptions.mControls; i++) {
    StartControl(i);
  }
  for (int i = 0; i < mOptions.mRouters; i++) {
    StartRouter(i);
  }
  WriteLists();
}

Fleet::~Fleet() {
  mRouters.clear();
  mControls.clear();
  mEngines.clear();
  std::error_code ec;
  std::filesystem::remove_all(mFolder, ec);
}

std::string Fleet::ZoneOf(int aIndex) const {
  return "zone-" + std::to_string(aIndex % mOptions.mZones);
}

void Fleet::StartEngine(const std::string& aEngine) {
  const int index = mEngineIndex.at(aEngine);
  // Every second engine of a zone is of the other kind.
  const bool slow = index / mOptions.mZones % 2 == 1;
  EngineStandinOptions options;
  options.mVm = aEngine;
  options.mZone = ZoneOf(index);
  options.mAccelerator = slow ? "l40s" : "a100";
  options.mListen = Loopback();
  options.mMemoryLayers = mOptions.mMemoryLayers;
  options.mLayerMicros =
      mOptions.mLayerMicros * (slow ? mOptions.mSlowKindFactor : 1);
  options.mBatch = mOptions.mBatch;
  options.mLoadMillis = 100;
  options.mReportLag = mOptions.mReportLag;
  mEngines[aEngine] = std::make_unique<NodeThread>(
      [options](EventLoop& aLoop, Endpoint& aAddress) {
        auto engine = std::make_shared<EngineStandin>(aLoop, options);
        aAddress = engine->Address();
        return engine;
      });
}

void Fleet::KillEngine(const std::string& aEngine) {
  mEngines.erase(aEngine);
}

void Fleet::StartControl(int aIndex) {
  ControlOptions options;
  options.mId = "control-" + std::to_string(aIndex);
  options.mZone = ZoneOf(aIndex);
  options.mRpcListen = Loopback();
  options.mOperatorListen = Loopback();
  options.mOperatorKey = kOperatorKey;
  options.mClusterKey = kClusterKey;
  options.mEntryVms = mFolder + "/entry_vms.json";
  options.mData = mFolder + "/" + options.mId;
  for (int i = 0; i < mOptions.mControls; i++) {
    options.mInitialVoters.push_back("control-" + std::to_string(i));
  }
  options.mPlatform = mPlatform->Address();
  Endpoint rpc;
  mControls.push_back(std::make_unique<NodeThread>(
      [options, &rpc](EventLoop& aLoop, Endpoint& aAddress) {
        auto daemon = std::make_shared<ControlDaemon>(aLoop, options);
        aAddress = daemon->OperatorAddress();
        rpc = daemon->RpcAddress();
        return daemon;
      }));
  mControlRpc.push_back(rpc);
  mControlOperator.push_back(mControls.back()->Address());
}

void Fleet::StartRouter(int aIndex) {
  RouterOptions options;
  options.mId = "router-" + std::to_string(aIndex);
  options.mZone = ZoneOf(aIndex);
  options.mListen = Loopback();
  options.mRpcListen = Loopback();
  options.mEntryVms = mFolder + "/entry_vms.json";
  options.mPlatform = mPlatform->Address();
  options.mClusterKey = kClusterKey;
  options.mMaximumInFlight = mOptions.mMaximumInFlight;
  options.mMaxLoads = 100;
  options.mChooseChain = mOptions.mChooseChain;
  if (mOptions.mOnConfiguration) {
    options.mOnConfiguration = [this, aIndex](std::int64_t aVersion) {
      mOptions.mOnConfiguration(aIndex, aVersion);
    };
  }
  Endpoint rpc;
  mRouters.push_back(std::make_unique<NodeThread>(
      [options, &rpc](EventLoop& aLoop, Endpoint& aAddress) {
        auto daemon = std::make_shared<RouterDaemon>(aLoop, options);
        aAddress = daemon->CallerAddress();
        rpc = daemon->RpcAddress();
        return daemon;
      }));
  mRouterRpc.push_back(rpc);
}

void Fleet::WriteLists() {
  Json::Value vms(Json::objectValue);
  vms["vms"] = Json::Value(Json::arrayValue);
  const auto add = [&vms](const std::string& aVm, const std::string& aZone,
                          const std::string& aService,
                          const Endpoint& aServer) {
    Json::Value vm(Json::objectValue);
    vm["vm"] = aVm;
    vm["zone"] = aZone;
    vm["service"] = aService;
    vm["address"] = aServer.Text();
    vms["vms"].append(vm);
  };
  for (const auto& [name, engine] : mEngines) {
    add(name, ZoneOf(mEngineIndex[name]), "", engine->Address());
  }
  for (std::size_t i = 0; i < mServices.size(); i++) {
    add("kaunter-" + std::to_string(i), ZoneOf(static_cast<int>(i)),
        "kaunter-api", mServices[i]->Address());
  }
  ReplaceFile(mFolder + "/vms.json", DumpJson(vms));
  Json::Value rows(Json::arrayValue);
  const auto addRow = [this, &rows](const std::string& aRole,
                                    std::size_t aIndex, const Endpoint& aRpc,
                                    const Endpoint& aOperator) {
    Json::Value row(Json::objectValue);
    row["id"] = aRole + "-" + std::to_string(aIndex);
    row["role"] = aRole;
    row["zone"] = ZoneOf(static_cast<int>(aIndex));
    row["address"] = aRpc.Text();
    if (aOperator.mPort != 0) {
      row["operator"] = aOperator.Text();
    }
    rows.append(row);
  };
  for (std::size_t i = 0; i < mControlRpc.size(); i++) {
    addRow("control", i, mControlRpc[i], mControlOperator[i]);
  }
  for (std::size_t i = 0; i < mRouterRpc.size(); i++) {
    addRow("router", i, mRouterRpc[i], {});
  }
  ReplaceFile(mFolder + "/entry_vms.json", DumpJson(rows));
}

HttpResult Fleet::Fetch(const Endpoint& aServer, const std::string& aMethod,
                        const std::string& aPath, const std::string& aBody,
                        const std::string& aKey) {
  HttpCallOptions options;
  options.mServer = aServer;
  options.mMethod = aMethod;
  options.mPath = aPath;
  options.mBody = aBody;
  options.mHeaders = {{"Authorization", "Bearer " + aKey}};
  options.mTimeout = 5000;
  return CallAndWait(std::move(options));
}

HttpResult Fleet::Operator(const std::string& aMethod, const std::string& aPath,
                           const std::string& aBody) {
  HttpResult result;
  for (const Millis end = SteadyNow() + kBeginLongest; SteadyNow() < end;) {
    for (const Endpoint& control : mControlOperator) {
      result = Fetch(control, aMethod, aPath, aBody, kOperatorKey);
      if (result.mComplete && result.mStatus != 307 && result.mStatus != 503) {
        return result;
      }
    }
    Sleep(20);
  }
  return result;
}

std::string Fleet::KeyOf(int aWorkspace) {
  return "workspace-key-" + std::to_string(aWorkspace);
}

std::string Fleet::IntentText(const std::string& aCommandId) const {
  Json::Value body(Json::objectValue);
  body["command_id"] = aCommandId;
  Json::Value& intent = body["intent"];
  for (int i = 0; i < mOptions.mWorkspaces; i++) {
    Json::Value workspace(Json::objectValue);
    workspace["name"] = "workspace-" + std::to_string(i);
    workspace["key"] = KeyOf(i);
    workspace["max_concurrent"] = mOptions.mMaximumConcurrent;
    workspace["requests_per_second"] = 1e6;
    intent["workspaces"].append(workspace);
  }
  intent["models"][0]["name"] = "quill";
  intent["models"][0]["layers"] = mOptions.mLayers;
  intent["services"][0]["name"] = "kaunter-api";
  return DumpJson(body);
}

bool Fleet::Begin() {
  const HttpResult plan = Operator("POST", "/v1/intents", IntentText("begin"));
  if (plan.mStatus != 200) {
    return false;
  }
  const Json::Value answer = ParseJson(plan.mBody);
  for (const Json::Value& capacity : answer["plan"]["capacity"]) {
    mBound += capacity["tokens_per_second"].asDouble();
  }
  if (Operator("POST", "/v1/plans/plan-begin/confirm", "").mStatus != 200) {
    return false;
  }
  for (const Millis end = SteadyNow() + kBeginLongest; SteadyNow() < end;) {
    bool good = true;
    for (const auto& [name, engine] : mEngines) {
      const HttpResult report =
          Fetch(engine->Address(), "GET", "/v1/report", "");
      good =
          good && report.mBody.find("\"model\":\"quill\"") != std::string::npos;
    }
    for (const auto& router : mRouters) {
      good =
          good && Fetch(router->Address(), "GET", "/readyz", "").mStatus == 200;
    }
    if (good) {
      Sleep(700);
      return true;
    }
    Sleep(100);
  }
  return false;
}

void Fleet::Fault(const std::string& aEngine, const std::string& aBody) {
  Fetch(mEngines.at(aEngine)->Address(), "POST", "/v1/faults", aBody);
}

std::vector<std::string> Fleet::EngineNames() const {
  std::vector<std::string> names;
  for (const auto& [name, engine] : mEngines) {
    names.push_back(name);
  }
  return names;
}

double Fleet::CpuOfRouters() const {
  double sum = 0;
  for (const auto& router : mRouters) {
    sum += router->CpuSeconds();
  }
  return sum;
}

}  // namespace spindleweir
