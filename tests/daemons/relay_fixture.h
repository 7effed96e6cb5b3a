/// A router and a control that found each other by seeds, between scripted
/// upstreams and callers, in one loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "spindleweir/daemons/joined_control.h"
#include "spindleweir/daemons/relay_router.h"
#include "spindleweir/drivers/stream_client.h"
#include "standins/scripted_upstream.h"
#include "tests/test_tools.h"

namespace spindleweir {

/// How long a request is kept at a start: long enough for any machine, and
/// short where nothing is to come.
inline constexpr Millis kLongWarmUp = 30000;
inline constexpr Millis kShortWarmUp = 50;

/// Where the router says that it takes heartbeats.
inline constexpr const char* kCollectorAddress = "127.0.0.1:7";

/// What a caller got.
struct Answer {
  StreamEnd mEnd = StreamEnd::kNotSent;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

/// A request that is under way, with what has come of its answer.
struct OpenCall {
  std::unique_ptr<StreamCall> mCall;
  Answer mAnswer;
  bool mEnded = false;
};

/// What a caller's request says of itself.
struct CallInput {
  std::string mTarget;
  std::string mId;
  std::string mKey = "key";
  Millis mDeadline =
      0;  ///< Milliseconds that its caller has left; 0: not said.
};

/// A port that is free, at an address of loopback that is this process's own.
Endpoint FreeEndpoint();
/// Routes /pay/, /look/ and /stream/ to the service "counter".
TrafficConfiguration Traffic(std::int64_t aVersion);
std::string Document(const TrafficConfiguration& aTraffic);

/// How many routers one takes to be there.
std::int64_t KnownRouters(RelayRouter& aRouter);

/// The system under test.
struct RelayFixture {
  explicit RelayFixture(Millis aWarmUp = kShortWarmUp,
                        RetryAllowanceOptions aRetries = {},
                        int aMaxLocalHeartbeats = 50);

  /// A control on the disk that is there, empty at first.
  void StartControl();
  /// A router that knows nothing yet.
  void StartRouter();
  /// One more beside it.
  std::unique_ptr<RelayRouter> MakeRouter(const std::string& aId);

  /// False where it does not come true within the loop's bound.
  bool RunUntil(const std::function<bool()>& aCondition);

  /// Sends a configuration until there is a leader to take it.
  OperatorAnswer Publish(const std::string& aDocument);

  /// The newest document that control holds.
  OperatorAnswer Read();

  void Wait(Millis aTime);

  /// Routers that tell control of themselves once; they do nothing else.
  void ReportRouters(int aCount);

  /// A heartbeat, until it is acknowledged.
  void SendHeartbeat(const ScriptedUpstream& aUpstream, UpstreamState aState);
  void SendHeartbeat(UpstreamRecord aRecord);

  /// A configuration with a service "model" of eight layers, for /stream/.
  void PublishModel();
  /// The same with an engine that holds all layers and gets calls.
  void BeginEngine(const ScriptedUpstream& aEngine);
  /// Calls until this engine got one.
  void AwaitCall(const ScriptedUpstream& aEngine);
  /// One more engine.
  void SendEngineHeartbeat(const ScriptedUpstream& aEngine,
                           LayerRange aLayers = {0, 8},
                           UpstreamState aState = UpstreamState::kReady);

  /// A request with the next id, until its answer ends. aDeadline: what its
  /// caller says that it has left, in milliseconds; 0: nothing.
  Answer Call(const std::string& aTarget, const std::string& aKey = "key",
              Millis aDeadline = 0);
  /// The same at another router than the first.
  Answer CallAt(const RelayRouter& aRouter, const std::string& aTarget,
                const std::string& aKey = "key", Millis aDeadline = 0);

  /// Begins a request at a router, which ends on its own.
  std::unique_ptr<OpenCall> OpenAt(const RelayRouter& aRouter,
                                   const CallInput& aFacts);
  /// The same at the first router.
  std::unique_ptr<OpenCall> Open(const std::string& aTarget,
                                 const std::string& aId);
  /// Whichever upstream runs the next request first cuts it, the other one
  /// serves it, for as long as the timer is there.
  std::unique_ptr<Timer> CutNextOnce();

  /// The id of the last request.
  std::string Last() const { return "r" + std::to_string(mRequest); }
  int RunsOfLast() const { return mA.Runs(Last()) + mB.Runs(Last()); }

  /// A configuration in force, both upstreams known.
  void Begin();

  TemporaryFolder mFolder;
  EventLoop mLoop;
  ScriptedUpstream mA;
  ScriptedUpstream mB;
  Endpoint mSeed;
  std::unique_ptr<JoinedControl> mControl;
  std::unique_ptr<RelayRouter> mRouter;
  std::int64_t mSequence = 0;
  int mRequest = 0;
  Millis mStartWait;
  RetryAllowanceOptions mRetries;
  int mSlots = 6;                ///< Of each upstream.
  std::size_t mMemoryBytes = 0;  ///< Of routers that are started from now on.
  Millis mStopGrace = 2000;      ///< The same.
  int mMaxLocalHeartbeats;  ///< Heartbeats a second that control takes itself.
  int mDocumentsRead = 0;   ///< By control.
};

}  // namespace spindleweir
