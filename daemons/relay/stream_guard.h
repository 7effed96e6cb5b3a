/// Watches the streams of a router and moves them off upstreams that have
/// crashed, are stalled or are leaving.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemons/relay/link_check.h"
#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/servers/streams/stall_detector.h"

namespace spindleweir {

/// Why a stream should continue without an upstream.
enum class MoveReason {
  kLeaving,      ///< It continues to serve for some time.
  kUnreachable,  ///< It accepts no connection: it is lost.
  kStalled,      ///< Streams through it make no progress.
  kRestarted,    ///< It restarted and has lost its streams.
  kSlow,         ///< Streams through it are late, or will be.
  /// This router's own connections to it are lost; other routers reach it.
  kLinkLost,
};

/// Interface of a stream to the guard.
class GuardedStream {
 public:
  virtual ~GuardedStream() = default;
  /// Continues without these instances, if the stream uses one of them.
  virtual void MoveOff(const std::set<std::string>& aInstances,
                       MoveReason aReason) = 0;
  /// Continues without slow engines if that is faster. Returns whether the
  /// stream searched for another path, which is expensive.
  virtual bool MoveOffSlow(Millis aNow) = 0;
  /// The first instance of the path; empty if there is none at present.
  virtual std::string FirstInstance() const = 0;
};

/// What another router found out about an instance.
enum class ForwarderFinding {
  kReached,
  kUnreachable,
  kRefused,  ///< Unreachable, and it refused the connection.
  kNone,     ///< It did not answer, or could not know.
};

/// How a probe of this router's own ended.
enum class ProbeOutcome {
  kConnected,
  kRefused,
  kNoAnswer,  ///< In time.
};

/// One per router. Not thread-safe.
class StreamGuard {
 public:
  explicit StreamGuard(RelayContext& aContext);

  /// Starts to watch a stream; the key is valid until Remove.
  StreamKey Add(GuardedStream* aStream);
  void Remove(StreamKey aKey);
  StallDetector& Detector() { return mStallDetector; }
  /// Moves streams off incarnations that were replaced by new ones. To be
  /// called once all updates that arrived together are applied, before new
  /// streams begin.
  void MoveOffRestarted();
  /// Called when an attempt was lost at an instance: finds out whether the
  /// instance crashed.
  void OnAttemptLost(LostAttempt aAttempt);
  /// Called when an event of a stream arrived.
  void OnEvent(StreamKey aKey, Millis aNow);
  /// Whether this process itself was delayed since then.
  bool WasLateSince(Millis aSince) const { return mLateAt >= aSince; }

 private:
  void Step();
  /// Limits new connections while this process gets too little processor time.
  /// aGap: between this step and the one before.
  void LimitConnections(Millis aGap, Millis aNow);
  void UpdateSlowdowns(Millis aNow);
  void EvaluateSlowdowns(Millis aNow);
  void MoveOffSlow(Millis aNow);
  void Probe(const std::string& aInstance);
  void ProbeEnded(const std::string& aInstance, ProbeOutcome aOutcome);
  /// Asks other routers, one after the other, whether they reach an instance
  /// that this one doesn't. aRefused: the instance refused this router's
  /// connection.
  void ProbeByForwarders(const std::string& aInstance, bool aRefused);
  void ProbeByNextForwarder(const std::string& aInstance, bool aRefused);
  void ForwarderProbeEnded(const std::string& aInstance,
                           ForwarderFinding aFinding, bool aRefused);
  /// No other router answered: blames the instance if this router connects to
  /// another one now.
  void BlameIfLinked(const std::string& aInstance, bool aRefused);
  /// No router reaches the instance.
  void OnUnreachable(const std::string& aInstance, bool aRefused);
  /// Probes an instance, unless a probe is in progress or was done recently.
  void ProbeIfDue(const std::string& aInstance, Millis aNow);
  /// Counts a crash of the instance against the requests that may have caused
  /// it.
  void CountCrash(const std::string& aInstance);
  void PollState(const std::string& aInstance);
  void ApplyState(const std::string& aInstance, const EngineState& aState);
  void MoveStreamsOff(const std::set<std::string>& aInstances,
                      MoveReason aReason);
  void MoveOffLeaving();
  /// Drops state of instances that the registry no longer knows: each start of
  /// a replica may bring a new instance name.
  void ForgetUnknown();

  /// A probe of an instance, or a poll of its state.
  struct InstanceCheck {
    std::unique_ptr<StreamCall> mCall;
    std::unique_ptr<LinkCheck> mLinkCheck;
    /// Addresses of other routers: the one asked last, then those to be asked.
    std::vector<std::string> mForwarders;
    Millis mAt = -1;
    std::int64_t mStart = 0;  ///< Of the incarnation that is checked.
    std::string mBody;
  };

  RelayContext& mContext;
  StallDetector mStallDetector;
  std::map<StreamKey, GuardedStream*> mStreams;
  std::map<std::string, InstanceCheck> mProbes;
  std::map<std::string, InstanceCheck> mStates;
  /// Leaving instances whose streams were moved.
  std::set<std::string> mHandledLeaving;
  /// Registry revision at the last check for leaving instances.
  std::int64_t mCheckedRevision = 0;
  StreamKey mNextKey = 1;
  Millis mSteppedAt = 0;
  Millis mLateAt = -1;  ///< When a delay of this process was last noticed.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
