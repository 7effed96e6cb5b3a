/// A small deployment in one event loop: routers, control processes and
/// stand-ins, each with sockets of its own on loopback.
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

/// What to start.
struct DeploymentOptions {
  int mZones = 3;
  int mEngines = 6;  ///< A zone.
  int mRouters = 1;  ///< A zone.
  Millis mServiceDelay = 5;
  Millis mStopUnready = 100;
  /// Where set, all messages to controls pass it.
  RpcDelayHook mDelay;
};

/// What became of a caller's request.
struct CallerResult {
  bool mDone = false;
  HttpResult mHttp;
  std::string mStream;  ///< What was streamed so far.
  std::unique_ptr<HttpCall> mCall;

  /// The text of the answer, streamed or whole.
  std::string Text() const;
  /// The number in an error answer or error event; 0 where there is none.
  int ErrorCode() const;
  /// What an error says of running.
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

  /// Runs the loop until the condition holds; false after a long time.
  bool RunUntil(const std::function<bool()>& aCondition);
  void RunFor(Millis aTime);
  /// Nothing runs for so long, as where the machine gives no processor time.
  static void BlockThread(Millis aTime);

  /// Starts everything, states the usual intent, confirms it, and waits until
  /// every router answers completions.
  void Begin();
  /// aFirst: the first start of the deployment.
  void StartControl(int aIndex, bool aFirst = false);
  void StartRouter(int aIndex);
  void StartEngine(const std::string& aVm, const std::string& aZone);
  void WritePlatform();
  void WriteEntryVms();
  /// VMs that the platform's list calls leaving.
  std::vector<std::string> mListedLeaving;

  /// An operator's request, sent to one control and redirected to the leader.
  HttpResult Operator(const std::string& aMethod, const std::string& aPath,
                      const std::string& aBody = "");
  /// The usual intent as a request body.
  static std::string IntentBody(const std::string& aCommandId);

  std::shared_ptr<CallerResult> Chat(int aRouter, const std::string& aPrompt,
                                     int aTokens, bool aStream,
                                     std::vector<HttpHeader> aHeaders = {});
  std::shared_ptr<CallerResult> Send(int aRouter, const std::string& aMethod,
                                     const std::string& aPath,
                                     const std::string& aBody,
                                     std::vector<HttpHeader> aHeaders);
  /// What the answer to a prompt of Chat() must be.
  static std::string Expected(const std::string& aPrompt, int aTokens);
  HttpResult Fetch(const Endpoint& aServer, const std::string& aMethod,
                   const std::string& aPath, const std::string& aBody = "",
                   const std::string& aKey = "");
  void Fault(const std::string& aEngine, const std::string& aBody);
  /// A counter or gauge of a router, as /metrics shows it.
  int Metric(int aRouter, const std::string& aName);
  int ServiceRuns();
  static std::string Zone(int aIndex) {
    return "zone-" + std::to_string(aIndex);
  }
  /// Engines that worked on the request, in the order of its attempts.
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
  std::vector<std::unique_ptr<RpcDelay>> mDelays;  ///< By control.
};

}  // namespace spindleweir
