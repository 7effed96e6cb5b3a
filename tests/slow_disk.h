/// A disk whose syncs take long, as the program of a test sees it: fsync and
/// fdatasync of the C library wait.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// While it exists, each sync of the program takes a time drawn anew, in the
/// thread that syncs. At most one exists at a time, and longer than all threads
/// that sync.
class SlowDisk {
 public:
  explicit SlowDisk(unsigned aSeed);
  ~SlowDisk();
  SlowDisk(const SlowDisk&) = delete;
  SlowDisk& operator=(const SlowDisk&) = delete;

  /// Syncs that begin from now on take from aShortest to aLongest more than
  /// the real ones. Before the first call they take no longer.
  void SetSyncTime(Millis aShortest, Millis aLongest);
};

}  // namespace spindleweir
