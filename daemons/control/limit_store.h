/// Stores the limits that upstreams advertised on this control's disk, so that
/// routers keep to them after all processes have been stopped.
#pragma once

#include <string>

#include "spindleweir/drivers/file_replacement.h"
#include "spindleweir/servers/limits/recent_limits.h"

namespace spindleweir {

/// One file, which each save replaces as a whole. Every control writes it, the
/// leader too: if as many disks are lost as the deployment tolerates, the
/// remaining ones still have it. It is written when the limits change, which
/// upstreams without trouble never do.
class LimitStore {
 public:
  explicit LimitStore(std::string aPath, ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)), mReplace(std::move(aReplace)) {}

  /// The stored limits, however old; none if the file is missing or invalid.
  RecentLimits::Thousandths Load();
  /// Writes the limits if the file has others, at most twice a second and not
  /// while it is being written. A failed write is retried after two seconds.
  void Save(const RecentLimits::Thousandths& aLimits, Millis aNow);

 private:
  std::string mPath;
  ReplaceHook mReplace;
  RecentLimits::Thousandths mStored;  ///< What the file has.
  bool mIsSaving = false;
  Millis mNextSaveAt = 0;
};

}  // namespace spindleweir
