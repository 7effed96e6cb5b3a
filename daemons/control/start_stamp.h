/// What a control keeps on its disk for the next start beside its upstreams:
/// when they were true, and how many routers there were.
#pragma once

#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What was kept.
struct PreviousRun {
  /// Routers that share what engines read. A router that starts with all others
  /// must know them at once; they ask control within half a second only.
  int mRouters = 0;
  /// The list of upstreams beside it was kept so lately that it may be used. A
  /// leader does not write: the list of one that led for 30 s brought back six
  /// engines that had left, and a fifth of the requests of the first three
  /// seconds was refused at them.
  bool mUpstreamsFresh = false;
};

/// One file. What is lost of it costs time at a start, nothing else.
class StartStamp {
 public:
  explicit StartStamp(std::string aPath) : mPath(std::move(aPath)) {}

  /// aWallNow: the time of day, in milliseconds.
  PreviousRun Load(Millis aWallNow) const;
  /// Writes both every few seconds. aNow: of the steady clock.
  void Save(int aRouters, Millis aWallNow, Millis aNow);

 private:
  std::string mPath;
  Millis mLastAttemptAt = -1;
};

}  // namespace spindleweir
