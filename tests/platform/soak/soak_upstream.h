/// An engine or a plain service of a soak, as the platform's are: it registers
/// itself, streams events, takes orders, leaves, and ends.
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
  std::vector<Endpoint> mControls;
  SoakRecord* mRecord = nullptr;
};

class SoakUpstream {
 public:
  SoakUpstream(EventLoop& aLoop, std::string aName,
               SoakUpstreamOptions aOptions);

  /// Ends at once, without a word, and starts again under another id.
  void Crash();
  /// Says that it leaves, serves on for a while, and is followed by another.
  void Leave();
  /// It asks for less for some seconds.
  void ReduceLoad(ReductionKind aKind);
  /// All such times, to be judged.
  const std::vector<SoakLoadReduction>& LoadReductions() const {
    return mLoadReductions;
  }
  /// The network to it fails in some way: 0 to 3. Its process runs on.
  void InjectLinkFault(int aKind);
  bool IsSteady() const { return mServer != nullptr && !mLeaving; }

  static constexpr int kLayers = 8;
  static constexpr Millis kEventInterval = 20;

 private:
  /// One stream that runs.
  struct Run {
    std::shared_ptr<StreamExchange> mExchange;
    std::string mId;
    int mNextEvent = 1;
    int mLastEvent = 0;
    bool mCountedLost = false;  ///< It is counted as lost.
  };

  void Start();
  void End();
  /// Counts what runs here as lost: its upstream ends, or says that it will.
  void CountLostRuns();
  void SendHeartbeat();
  void PostToControl(const std::string& aTarget, const std::string& aBody);
  void Handle(const std::shared_ptr<StreamExchange>& aExchange);
  /// What answers say beside their own: that it leaves, that it is in need.
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
  std::size_t mControl = 0;  ///< That was reached last.
  std::vector<Run> mRuns;
  std::vector<SoakLoadReduction> mLoadReductions;  ///< The last may still last.
  std::unique_ptr<StreamServer> mServer;
  std::unique_ptr<SoakLink> mLink;
  std::unique_ptr<StreamCall> mCall;
  std::unique_ptr<Timer> mHeartbeatTimer;
  std::unique_ptr<Timer> mEventTimer;
  std::unique_ptr<Timer> mEndTimer;
};

/// The body of a stream from one event to another.
std::string SoakEvents(const std::string& aId, int aFrom, int aTo);

}  // namespace spindleweir
