/// A planned stop of a relaying router, from the signal to the end.
#pragma once

#include <functional>
#include <memory>

#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// Hooks for the requests in flight.
struct PlannedStopHooks {
  std::function<int()> mOpenRequests;
  /// Ends all requests; those without an answer get one.
  std::function<void()> mEndRequests;
};

/// Callers that the balancer still sends here are served first. Then idle
/// connections are closed, then the listener. The loop stops once no request is
/// in flight and all answers have been read, or when the grace is over.
class PlannedStop {
 public:
  PlannedStop(RelayContext& aContext, StreamServer& aServer,
              PlannedStopHooks aHooks);

  /// Begins the stop. Further calls have no effect.
  void Begin();
  /// Time from the signal after which requests in flight are cut.
  static Millis GraceOf(const RelayOptions& aOptions);

 private:
  void Step();
  void End();

  RelayContext& mContext;
  StreamServer& mServer;
  PlannedStopHooks mHooks;
  Millis mBegunAt = 0;
  bool mListens = true;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
