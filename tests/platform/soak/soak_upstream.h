/// An engine or a plain service of a soak, behaving as the platform's do: it
/// registers itself, streams events, applies orders, leaves and ends.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "tests/platform/soak/soak_link.h"
#include "tests/platform/soak/soak_load_reduction.h"
#include "tests/platform/soak/soak_record.h"

namespace spindleweir {

struct SoakUpstreamOptions {
  std::string mService;
  std::string mZone;
  bool mEngine = false;
  bool mFails = false;  ///< It runs each request and answers with an error.
  std::vector<Endpoint> mControls;
  SoakRecord* mRecord = nullptr;
};

class SoakUpstream {
 public:
  SoakUpstream(EventLoop& aLoop, std::string aName,
               SoakUpstreamOptions aOptions);

  /// Ends at once without notice, and restarts under another id.
  void Crash();
  /// Announces that it leaves, goes on serving for kLeaveDuration, and is
  /// replaced by a new instance.
  void Leave();
  /// Sends its heartbeats to these controls from now on.
  void SetControls(std::vector<Endpoint> aControls);
  /// Asks for less load for some seconds.
  void ReduceLoad(ReductionKind aKind);
  /// All such periods, for checking.
  const std::vector<SoakLoadReduction>& LoadReductions() const {
    return mLoadReductions;
  }
  /// Makes its network fail: 0 resets connections, 1 pauses answers, 2 pauses
  /// both directions, 3 slows them. The upstream goes on running.
  void InjectLinkFault(int aKind);
  bool IsSteady() const { return mServer != nullptr && !mLeaving; }
  /// Number of streams that it has ended and that its network holds back.
  std::size_t UndeliveredAnswers() const;

  static constexpr int kLayers = 8;
  static constexpr Millis kEventInterval = 20;

 private:
  /// A running stream.
  struct Run {
    std::shared_ptr<StreamExchange> mExchange;
    std::string mId;
    int mNextEvent = 1;
    int mLastEvent = 0;
    bool mCountedLost = false;  ///< Counted as lost.
    bool mEnded = false;        ///< All of its answer has been written.
    /// Its network has passed on that answer, or its router has left.
    bool mDelivered = false;

    /// Whether its router, which has not left, lacks a part of the answer.
    bool IsOpen() const {
      return mEnded ? !mDelivered && !mCountedLost : !mExchange->Closed();
    }
  };

  /// Which runs an event ends.
  enum class LostRuns {
    kUnfinished,  ///< Those still being written: it announces that it leaves.
    kOpen,        ///< All open ones: it ends, or its network fails.
  };

  void Start();
  void End();
  /// Counts these runs as lost, each once.
  void CountLostRuns(LostRuns aRuns);
  /// The network has passed on the whole answer to a request, or the router has
  /// left; aBytes: the request's last bytes.
  void RecordDelivery(const std::string& aBytes);
  /// Counts a request as lost that the network held back for too long; aBytes:
  /// what it held.
  void CountHeldRequest(const std::string& aBytes);
  void SendHeartbeat();
  void PostToControl(const std::string& aTarget, const std::string& aBody);
  void Handle(const std::shared_ptr<StreamExchange>& aExchange);
  /// Adds the headers for leaving and for a request of less load.
  HttpHeaders WithNotices(const SoakRequest& aRequest, HttpHeaders aHeaders);
  void RunRequest(const std::shared_ptr<StreamExchange>& aExchange);
  void HandleOrder(StreamExchange& aExchange);
  void HandleReport(StreamExchange& aExchange);
  void WriteEvents();

  EventLoop& mLoop;
  std::string mName;
  SoakUpstreamOptions mOptions;
  std::string mInstance;
  int mStarts = 0;
  std::int64_t mSequence = 0;
  std::int64_t mStartedAt = 0;
  int mFrom = 0;
  int mTo = 0;
  int mOrders = 0;
  bool mLeaving = false;
  std::size_t mControl = 0;  ///< Index of the control in use.
  std::vector<Run> mRuns;
  std::vector<SoakLoadReduction>
      mLoadReductions;  ///< The last one may be active.
  std::unique_ptr<StreamServer> mServer;
  std::unique_ptr<SoakLink> mLink;
  std::unique_ptr<StreamCall> mCall;
  std::unique_ptr<Timer> mHeartbeatTimer;
  std::unique_ptr<Timer> mEventTimer;
  std::unique_ptr<Timer> mEndTimer;
};

/// Returns the body of a stream from event aFrom to event aTo, inclusive.
std::string SoakEvents(const std::string& aId, int aFrom, int aTo);

}  // namespace spindleweir
