/// Estimates how fast the tokens of a stream arrive on a path, from the engine
/// model, the known loads and the slowdown factors. The stall timeouts of the
/// stream's events derive from it.
#pragma once

#include "spindleweir/servers/routing/layer_path.h"

namespace spindleweir {

/// Estimated times in milliseconds.
struct PathTiming {
  double mFirstTokenMillis = 0;  ///< To the first token.
  double mTokenMillis = 0;       ///< From one token to the next.
};

/// Estimates the timing of aPath. Stages whose engine is not in the query's
/// list are left out.
PathTiming EstimateTiming(const PathQuery& aQuery, const LayerPath& aPath);

/// Latency targets that a route sets for a stream.
struct StreamTargets {
  Millis mFirstEvent = 0;  ///< To the first event; 0: any.
  Millis mPause = 0;       ///< Between events; 0: any.
};

/// Time without an event after which the path is suspected.
struct StreamStallTimeouts {
  Millis mFirstEvent = 0;
  Millis mGap = 0;
};

/// aTokens: tokens per event.
StreamStallTimeouts StallTimeoutsOf(const PathTiming& aTiming, double aTokens,
                                    const StreamTargets& aTargets);

/// Whether aOther is enough faster than the current path to move a stream to
/// it.
bool IsMoveWorthwhile(const PathTiming& aCurrent, const PathTiming& aOther);

/// Whether the expected time between events exceeds the targets, or nearly so.
bool IsTooSlow(const PathTiming& aTiming, double aTokens,
               const StreamTargets& aTargets);

}  // namespace spindleweir
