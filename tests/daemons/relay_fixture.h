/// Test fixture: a router and a control that find each other by seeds, with
/// scripted upstreams and callers, in one event loop.
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

class RawUpstream;

/// How long a starting router holds requests that it can't serve yet. Long: the
/// missing data arrives on any machine; short: for tests in which none arrives.
inline constexpr Millis kLongWarmUp = 30000;
inline constexpr Millis kShortWarmUp = 50;

/// Address at which the router claims to collect heartbeats.
inline constexpr const char* kCollectorAddress = "127.0.0.1:7";

/// The answer that a caller received.
struct Answer {
  StreamEnd mEnd = StreamEnd::kNotSent;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

/// A request in progress, with the part of its answer received so far.
struct OpenCall {
  std::unique_ptr<StreamCall> mCall;
  Answer mAnswer;
  bool mEnded = false;
};

/// Parameters of a caller's request.
struct CallInput {
  std::string mTarget;
  std::string mId;
  std::string mKey = "key";
  Millis mDeadline = 0;  ///< Time that the caller waits; 0: not given.
  std::string mParts;    ///< Shared parts of its prompt, separated by commas.
};

/// Returns a free port at a loopback address that only this process uses; never
/// the same one twice.
Endpoint FreeEndpoint();
/// Routes /pay/, /look/ and /stream/ to the service "counter".
TrafficConfiguration Traffic(std::int64_t aVersion);
std::string Document(const TrafficConfiguration& aTraffic);

/// The number of routers that aRouter counts.
std::int64_t KnownRouters(RelayRouter& aRouter);

/// The processes under test and what they are connected to.
struct RelayFixture {
  explicit RelayFixture(
      Millis aWarmUp = kShortWarmUp, RetryLimits aRetries = {},
      int aMaxLocalHeartbeats = 50,
      std::size_t aMaxLearners = ControlOptions().mMaxLearners);

  /// Starts a control on the fixture's data folder, which is empty at first.
  void StartControl();
  /// Starts a control that doesn't vote beside it.
  std::unique_ptr<JoinedControl> MakeOtherControl(const Endpoint& aListen,
                                                  const std::string& aZone);
  /// Starts a router without any data.
  void StartRouter();
  /// Starts one more router.
  std::unique_ptr<RelayRouter> MakeRouter(
      const std::string& aId, StartCallHook aStartCall = &StartStreamCall,
      const std::string& aZone = "z");

  /// Runs the loop until aCondition holds; false if the loop's time limit
  /// passes first.
  bool RunUntil(const std::function<bool()>& aCondition);

  /// Sends a configuration until a leader accepts or refuses it.
  OperatorAnswer Publish(const std::string& aDocument);

  /// Reads the newest document that control holds.
  OperatorAnswer Read();

  void Wait(Millis aTime);

  /// Simulates aCount routers that report to control once and do nothing else.
  void ReportRouters(int aCount);

  /// Sends a heartbeat to control and waits until it is acknowledged.
  void SendHeartbeat(const ScriptedUpstream& aUpstream, UpstreamState aState);
  void SendHeartbeat(UpstreamRecord aRecord);

  /// Publishes a configuration with a service "model" of eight layers, for
  /// /stream/.
  void PublishModel();
  /// The same, then adds an engine that holds all layers and waits until it
  /// gets calls.
  void BeginEngine(const ScriptedUpstream& aEngine);
  /// Sends calls until this engine has received one.
  void AwaitCall(const ScriptedUpstream& aEngine);
  /// Sends an engine's heartbeat to control.
  void SendEngineHeartbeat(const ScriptedUpstream& aEngine,
                           LayerRange aLayers = {0, 8},
                           UpstreamState aState = UpstreamState::kReady);

  /// Sends a request with the next id and waits until its answer ends.
  /// aDeadline: time that the caller waits, in milliseconds; 0: not given.
  Answer Call(const std::string& aTarget, const std::string& aKey = "key",
              Millis aDeadline = 0);
  /// The same at any router.
  Answer CallAt(RelayRouter& aRouter, const std::string& aTarget,
                const std::string& aKey = "key", Millis aDeadline = 0);
  /// Sends a request and waits until its answer ends. A router that has no
  /// processor time closes new connections unread; the caller then connects
  /// again, as callers do.
  Answer CallUntilRead(RelayRouter& aRouter, const CallInput& aFacts);

  /// Starts a request at a router without waiting for its end.
  std::unique_ptr<OpenCall> OpenAt(const RelayRouter& aRouter,
                                   const CallInput& aFacts);
  /// The same at the first router.
  std::unique_ptr<OpenCall> Open(const std::string& aTarget,
                                 const std::string& aId);
  /// The upstream that runs the next request first cuts it, the other one
  /// serves it, as long as the returned timer exists.
  std::unique_ptr<Timer> CutNextOnce();

  /// The id of the last request.
  std::string Last() const { return "r" + std::to_string(mRequest); }
  int RunsOfLast() const { return mA.Runs(Last()) + mB.Runs(Last()); }

  /// Publishes a configuration and waits until both upstreams get calls.
  void Begin();
  /// The same with this upstream alone.
  void BeginRaw(const RawUpstream& aUpstream);

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
  RetryLimits mRetries;
  int mSlots = 6;                ///< Of each upstream's heartbeats.
  std::size_t mMemoryBytes = 0;  ///< Of routers started from now on.
  std::size_t mDescriptors = 0;  ///< The same.
  Millis mStopGrace = 2000;      ///< The same.
  /// Where the router started last forwards calls of others.
  Endpoint mForwarding;
  int mMaxLocalHeartbeats;   ///< Per second, of control.
  std::size_t mMaxLearners;  ///< Of control.
  int mDocumentsRead = 0;    ///< Documents that control has parsed.
};

}  // namespace spindleweir
