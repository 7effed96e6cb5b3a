/// A small deployment in one event loop: routers, control processes and
/// stand-ins, each with its own sockets on the loopback interface.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "spindleweir/daemons/control_daemon.h"
#include "spindleweir/daemons/router_daemon.h"
#include "spindleweir/drivers/http_client.h"
#include "standins/engine_standin.h"
#include "standins/platform_standin.h"
#include "standins/service_standin.h"
#include "tests/daemons/rpc_delay.h"
#include "tests/test_tools.h"

namespace spindleweir {

/// The processes to start.
struct DeploymentOptions {
  int mZones = 3;
  int mEngines = 6;  ///< Per zone.
  int mRouters = 1;  ///< Per zone.
  Millis mServiceDelay = 5;
  Millis mStopUnready = 100;
  /// If set, all RPC messages to control processes pass through it.
  RpcDelayHook mDelay;
  /// If set, how connections of a router, given by its index, fail.
  std::function<LinkFailure(int aRouter, const Endpoint&)> mLinkFailureOf;
};

/// The state and result of a caller's request.
struct CallerResult {
  bool mDone = false;
  HttpResult mHttp;
  std::string mStream;  ///< Stream data received so far.
  std::unique_ptr<HttpCall> mCall;

  /// The text of the answer, streamed or not.
  std::string Text() const;
  /// The result code in an error answer or error event; 0 if there is none.
  int ErrorCode() const;
  /// The "ran" field of an error: yes, no or unknown; empty without an error.
  std::string Ran() const;
  std::string RequestId() const;
};

inline constexpr int kTestLayers = 12;
inline constexpr const char* kTestKey = "traveller-key";

class Deployment {
 public:
  explicit Deployment(DeploymentOptions aOptions = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Runs the loop until the condition holds; returns false after 30 s.
  bool RunUntil(const std::function<bool()>& aCondition);
  void RunFor(Millis aTime);
  /// Blocks the thread and so all processes of the deployment, as a machine
  /// does that grants them no processor time.
  static void BlockThread(Millis aTime);

  /// Submits and confirms the default intent, and waits until every router
  /// answers completions and every engine has loaded a model.
  void Begin();
  /// aFirst: first start of the deployment, which sets the initial voters.
  void StartControl(int aIndex, bool aFirst = false);
  void StartRouter(int aIndex);
  void StartEngine(const std::string& aVm, const std::string& aZone);
  void WritePlatform();
  void WriteEntryVms();
  /// VMs that the platform's list reports as leaving.
  std::vector<std::string> mListedAsLeaving;

  /// Sends an operator's request to the control processes in turn until one
  /// handles it.
  HttpResult Operator(const std::string& aMethod, const std::string& aPath,
                      const std::string& aBody = "");
  /// The default intent as a request body.
  static std::string IntentBody(const std::string& aCommandId);

  std::shared_ptr<CallerResult> Chat(int aRouter, const std::string& aPrompt,
                                     int aTokens, bool aStream,
                                     std::vector<HttpHeader> aHeaders = {});
  std::shared_ptr<CallerResult> Send(int aRouter, const std::string& aMethod,
                                     const std::string& aPath,
                                     const std::string& aBody,
                                     std::vector<HttpHeader> aHeaders);
  /// The correct answer to a prompt of Chat().
  static std::string Expected(const std::string& aPrompt, int aTokens);
  HttpResult Fetch(const Endpoint& aServer, const std::string& aMethod,
                   const std::string& aPath, const std::string& aBody = "",
                   const std::string& aKey = "");
  void InjectFault(const std::string& aEngine, const std::string& aBody);
  /// A counter or gauge of a router from /metrics; 0 if it is not listed.
  int Metric(int aRouter, const std::string& aName);
  int ServiceRuns();
  static std::string Zone(int aIndex) {
    return "zone-" + std::to_string(aIndex);
  }
  /// Engines that ran the request's stages, in the order of its attempts.
  std::vector<std::string> EnginesOf(const std::string& aRequest);

  EventLoop mLoop;
  TemporaryFolder mFolder;
  DeploymentOptions mOptions;
  HttpClient mClient;
  std::unique_ptr<PlatformStandin> mPlatform;
  std::map<std::string, std::unique_ptr<EngineStandin>> mEngines;
  std::map<std::string, std::string> mEngineZones;
  std::map<std::string, std::unique_ptr<ServiceStandin>> mServices;
  std::vector<std::unique_ptr<ControlDaemon>> mControls;
  std::vector<std::unique_ptr<RouterDaemon>> mRouters;
  std::vector<std::unique_ptr<RpcDelay>>
      mDelays;  ///< By index of the control process.
};

}  // namespace spindleweir
