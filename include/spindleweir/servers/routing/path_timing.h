/// How fast a stream should come by a path, by the engine model, the loads and
/// the paces that are known: what its events are judged against.
#pragma once

#include "spindleweir/servers/routing/layer_path.h"

namespace spindleweir {

/// Milliseconds by the model.
struct PathTiming {
  double mFirstTokenMillis = 0;  ///< To the first token.
  double mTokenMillis = 0;       ///< From one token to the next.
};

/// Parts whose engine the question doesn't list are left out.
PathTiming EstimateTiming(const PathQuery& aQuery, const LayerPath& aPath);

/// What a route wants of a stream.
struct StreamTargets {
  Millis mFirstEvent = 0;  ///< To the first event; 0: any.
  Millis mPause = 0;       ///< Between events; 0: any.
};

/// How long an event may be waited for before the path is suspected.
struct StreamStallTimeouts {
  Millis mFirstEvent = 0;
  Millis mGap = 0;
};

/// aTokens: of one event.
StreamStallTimeouts StallTimeoutsOf(const PathTiming& aTiming, double aTokens,
                                    const StreamTargets& aTargets);

/// Whether a stream should leave a path for one that comes at another pace.
bool IsMoveWorthwhile(const PathTiming& aCurrent, const PathTiming& aOther);

/// Whether events of a path come too late, or nearly so.
bool IsTooSlow(const PathTiming& aTiming, double aTokens,
               const StreamTargets& aTargets);

}  // namespace spindleweir
