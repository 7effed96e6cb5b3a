/// Keeps the requests that are barred on this control's disk: they must not be
/// run again because all processes were stopped.
#pragma once

#include <cstdint>
#include <string>

#include "spindleweir/servers/limits/crash_ledger.h"

namespace spindleweir {

/// One file, replaced as a whole. Every control writes it, one that leads too:
/// with the disks of as many as may be lost, the others still have it.
class CrashStore {
 public:
  explicit CrashStore(std::string aPath) : mPath(std::move(aPath)) {}

  /// Takes what the file has; one that is torn, or none, is nothing.
  void Load(CrashLedger& aLedger, Millis aNow,
            const InvalidRowHook& aOnInvalidRow);
  /// Writes the file where other requests are barred than it says. A disk that
  /// refuses is tried again two seconds later.
  void Save(const CrashLedger& aLedger, Millis aNow);

 private:
  std::string mPath;
  std::int64_t mSavedRevision =
      0;  ///< The revision of the verdicts that it has.
  Millis mFailedAt = -1;
};

}  // namespace spindleweir
