/// A deployment for measurements: every process of ours and every stand-in
/// has a thread and an event loop of its own, and talks over loopback.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "spindleweir/daemons/control_daemon.h"
#include "spindleweir/daemons/router_daemon.h"
#include "spindleweir/drivers/http_client.h"

namespace spindleweir {

/// A thread that runs one object in a loop of its own.
class NodeThread {
 public:
  /// aMake builds the object in the thread and gives its address.
  using Make = std::function<std::shared_ptr<void>(EventLoop&, Endpoint&)>;

  explicit NodeThread(const Make& aMake);
  ~NodeThread();
  NodeThread(const NodeThread&) = delete;
  NodeThread& operator=(const NodeThread&) = delete;

  const Endpoint& Address() const { return mAddress; }
  /// Processor time of the thread so far.
  double CpuSeconds() const;
  /// Runs a call in the thread's loop.
  void Post(std::function<void()> aCall);
  /// Ends the loop; the object goes without any goodbye.
  void Kill();

 private:
  void Run(const Make& aMake);

  Endpoint mAddress;
  std::atomic<bool> mStarted{false};
  std::atomic<bool> mStop{false};
  std::mutex mMutex;
  std::vector<std::function<void()>> mCalls;
  std::thread mThread;
};

/// What to start.
struct FleetOptions {
  int mZones = 1;
  int mRouters = 1;  ///< Over all zones.
  int mEngines = 6;  ///< Over all zones.
  int mControls = 1;
  int mServices = 1;
  int mLayers = 12;
  int mMemoryLayers = 4;
  double mLayerMicros = 5000;
  double mSlowKindFactor = 1;  ///< Every second engine is slower by this.
  int mBatch = 4;
  Millis mReportLag = 0;
  int mWorkspaces = 10;
  int mMaximumConcurrent = 100000;  ///< Of each workspace.
  int mMaximumInFlight = 512;       ///< Of each router.
  decltype(RouterOptions::mChooseChain) mChooseChain = ChooseChain;
  std::function<void(int, std::int64_t)>
      mOnConfiguration;  ///< Router, version.
};

class Fleet {
 public:
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// States and confirms the intent and waits until all engines are loaded
  /// and all routers are ready. False where that does not come to pass.
  bool Begin();
  /// An operator's request to whichever control process leads.
  HttpResult Operator(const std::string& aMethod, const std::string& aPath,
                      const std::string& aBody);
  HttpResult Fetch(const Endpoint& aServer, const std::string& aMethod,
                   const std::string& aPath, const std::string& aBody,
                   const std::string& aKey = "");
  void Fault(const std::string& aEngine, const std::string& aBody);
  void KillEngine(const std::string& aEngine);
  void StartEngine(const std::string& aEngine);
  void WriteLists();
  std::string IntentText(const std::string& aCommandId) const;
  static std::string KeyOf(int aWorkspace);
  /// Tokens a second that the hardware allows, by the accepted plan.
  double Bound() const { return mBound; }
  std::vector<std::string> EngineNames() const;
  double CpuOfRouters() const;

  FleetOptions mOptions;
  std::map<std::string, std::unique_ptr<NodeThread>> mEngines;
  std::vector<std::unique_ptr<NodeThread>> mServices;
  std::vector<std::unique_ptr<NodeThread>> mControls;
  std::vector<std::unique_ptr<NodeThread>> mRouters;
  std::vector<std::shared_ptr<ControlDaemon>> mControlDaemons;
  std::vector<Endpoint> mRouterRpc;

 private:
  std::string ZoneOf(int aIndex) const;
  void StartControl(int aIndex);
  void StartRouter(int aIndex);

  std::string mFolder;
  std::unique_ptr<NodeThread> mPlatform;
  std::map<std::string, int> mEngineIndex;
  std::vector<Endpoint> mControlRpc;
  std::vector<Endpoint> mControlOperator;
  double mBound = 0;
};

}  // namespace spindleweir
