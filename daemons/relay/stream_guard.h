/// Watches the streams of a router and moves them off upstreams that died,
/// stand still or leave.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/servers/streams/stall_detector.h"

namespace spindleweir {

/// Why a stream should go on without an upstream.
enum class MoveReason {
  kLeaving,      ///< It serves on for some time.
  kUnreachable,  ///< It takes no connection: it is lost.
  kStalled,      ///< Streams that pass it do not come on.
  kRestarted,    ///< It started again and knows nothing of them.
  kSlow,         ///< Streams that pass it are late, or will be.
};

/// What the guard needs of a stream.
class GuardedStream {
 public:
  virtual ~GuardedStream() = default;
  /// Goes on without these instances, where it uses one of them.
  virtual void MoveOff(const std::set<std::string>& aInstances,
                       MoveReason aReason) = 0;
  /// Goes on without slow engines, where that is sooner. Returns whether it
  /// looked for another path, which takes its time.
  virtual bool MoveOffSlow(Millis aNow) = 0;
  /// The first instance of its path; empty: none at present.
  virtual std::string FirstInstance() const = 0;
};

/// One per router.
class StreamGuard {
 public:
  explicit StreamGuard(RelayContext& aContext);

  /// Begins to watch a stream; the key is valid until Remove.
  StreamKey Add(GuardedStream* aStream);
  void Remove(StreamKey aKey);
  StallDetector& Detector() { return mStallDetector; }
  /// Moves streams off incarnations that were followed by others. To be called
  /// once all news that came together are taken, and before new streams begin.
  void MoveOffRestarted();
  /// An attempt was lost at an instance: finds out whether it crashed.
  void OnAttemptLost(LostAttempt aAttempt);
  /// An event of a stream came.
  void OnEvent(StreamKey aKey, Millis aNow);

 private:
  void Step();
  void UpdateSlowdowns(Millis aNow);
  void EvaluateSlowdowns(Millis aNow);
  void MoveOffSlow(Millis aNow);
  /// Whether this process itself was late since then.
  bool WasLateSince(Millis aSince) const { return mLateAt >= aSince; }
  void Probe(const std::string& aInstance);
  void ProbeEnded(const std::string& aInstance, bool aConnected);
  /// Looks at an instance, unless that is under way or was just done.
  void ProbeIfDue(const std::string& aInstance, Millis aNow);
  /// An instance crashed: counts it for the requests that it may be by.
  void CountCrash(const std::string& aInstance);
  void PollState(const std::string& aInstance);
  void ApplyState(const std::string& aInstance, const EngineState& aState);
  void MoveStreamsOff(const std::set<std::string>& aInstances,
                      MoveReason aReason);
  void MoveOffLeaving();
  /// Nothing is kept of instances that the registry has forgotten: each start
  /// of a replica may bring a new one.
  void ForgetUnknown();

  /// A check at one instance.
  struct InstanceCheck {
    std::unique_ptr<StreamCall> mCall;
    Millis mAt = -1;
    std::int64_t mStart = 0;  ///< Of the incarnation that is looked at.
    std::string mBody;
  };

  RelayContext& mContext;
  StallDetector mStallDetector;
  std::map<StreamKey, GuardedStream*> mStreams;
  std::map<std::string, InstanceCheck> mProbes;
  std::map<std::string, InstanceCheck> mStates;
  std::set<std::string> mHandledLeaving;  ///< Leaving ones that were handled.
  std::int64_t mCheckedRevision = 0;      ///< Revision of the registry.
  StreamKey mNextKey = 1;
  Millis mSteppedAt = 0;
  Millis mLateAt = -1;  ///< When this process last was late itself.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
