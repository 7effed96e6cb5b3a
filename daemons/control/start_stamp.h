/// Data that a control stores on its disk for its next start, next to the list
/// of upstreams: when the list was last known to be current, and the number of
/// routers.
#pragma once

#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/drivers/file_replacement.h"

namespace spindleweir {

/// Data that the previous run of a control stored.
struct PreviousRun {
  /// Number of routers that share the engines' prefill capacity. A router that
  /// starts at the same time as all others needs it at once, but it takes the
  /// routers up to half a second to poll control.
  int mRouters = 0;
  /// Whether the stored list of upstreams is recent enough to be used. A leader
  /// does not write it: the list of a control that had led for 30 s restored
  /// six engines that had left, and they refused a fifth of the requests in the
  /// first three seconds.
  bool mUpstreamsFresh = false;
};

/// One file. If it is lost, the next start takes longer; nothing else is lost.
class StartStamp {
 public:
  explicit StartStamp(std::string aPath, ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)), mReplace(std::move(aReplace)) {}

  /// Returns zero routers and a list that is not fresh if the file is missing
  /// or invalid. aWallNow: wall-clock time in milliseconds.
  PreviousRun Load(Millis aWallNow) const;
  /// Writes the number of routers and the time, at most every five seconds
  /// and not while it is being written.
  /// aNow: time of the steady clock.
  void Save(int aRouters, Millis aWallNow, Millis aNow);

 private:
  std::string mPath;
  ReplaceHook mReplace;
  bool mIsSaving = false;
  Millis mLastAttemptAt = -1;
};

}  // namespace spindleweir
