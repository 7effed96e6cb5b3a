/// A planned stop of a relaying router, from the signal to the end.
#pragma once

#include <functional>
#include <memory>

#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// What it does with the requests that are under way.
struct PlannedStopHooks {
  std::function<int()> mOpenRequests;
  /// Ends them all: who has no answer yet gets one.
  std::function<void()> mEndRequests;
};

/// First callers that are still sent here are served, then idle connections are
/// closed, then the port, then all ends: once nothing is under way, and no
/// answer is still to be read, or when the grace is over.
class PlannedStop {
 public:
  PlannedStop(RelayContext& aContext, StreamServer& aServer,
              PlannedStopHooks aHooks);

  /// The signal came. Called again it changes nothing.
  void Begin();
  /// What is in flight so long after the signal is cut.
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
