/// Which files of a control's data folder the disk does not accept, as
/// operators see it: gauge, log, readiness.
#pragma once

#include <set>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/counters.h"

namespace spindleweir {

/// Interval at which a control tries again to write what its disk did not
/// accept. A control is to be back within 2 s of its disk, elections included.
inline constexpr Millis kStorageRetryInterval = 500;

/// The files whose last write or sync failed. The gauge storage_failed is 1 as
/// long as there are any.
class StorageState {
 public:
  StorageState(Counters& aCounters, std::string aFolder);

  /// Counts how long a write with its sync took; logs a slow one.
  void OnSynced(const std::string& aFile, Millis aTook);
  /// Logs the failure: as an error the first time, then as a warning.
  void OnFailed(const std::string& aFile, const std::string& aWhy);
  /// Logs that the file is durable, if it had failed.
  void OnUsable(const std::string& aFile);
  bool Failed() const { return !mFailed.empty(); }

 private:
  Counters& mCounters;
  std::string mFolder;
  std::set<std::string> mFailed;
};

}  // namespace spindleweir
