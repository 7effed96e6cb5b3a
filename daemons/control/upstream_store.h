/// Stores the upstreams that are ready on this control's disk, so that they are
/// known after a stop of all processes before they report again.
#pragma once

#include <cstdint>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/drivers/file_replacement.h"
#include "spindleweir/servers/membership/upstream_check.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// One file, which each save replaces as a whole. Its content is not
/// authoritative: routers use it until heartbeats confirm an upstream or its
/// silence removes it. This is safe since requests name the incarnation that is
/// to run them.
class UpstreamStore {
 public:
  explicit UpstreamStore(std::string aPath,
                         ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)), mReplace(std::move(aReplace)) {}

  /// Merges the upstreams of the file into aRegistry, as last seen at aNow, and
  /// returns their number. Ignores a missing or torn file; aOnInvalidRow is
  /// called for each row that cannot be used.
  std::size_t Load(UpstreamRegistry& aRegistry, Millis aNow,
                   const InvalidRowHook& aOnInvalidRow = {}) const;
  /// Writes the file if the registry has changed since the last save, at most
  /// every two seconds and not while it is being written. A failed write is
  /// retried then.
  void Save(const UpstreamRegistry& aRegistry, Millis aNow);

 private:
  void OnSaved(std::int64_t aRevision, const std::optional<Error>& aError);

  std::string mPath;
  ReplaceHook mReplace;
  bool mIsSaving = false;
  std::int64_t mSavedRevision = 0;  ///< Registry revision of the file.
  Millis mLastAttemptAt = -1;
};

}  // namespace spindleweir
