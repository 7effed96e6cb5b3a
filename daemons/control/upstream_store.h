/// Keeps the upstreams that are ready on this control's disk, so that after a
/// stop of all processes they are known before they report again.
#pragma once

#include <cstdint>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/upstream_check.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// One file, replaced as a whole. What it says is no promise: it is a start
/// for routers, whose requests name the incarnation that is to run them, until
/// heartbeats confirm or silence drops it.
class UpstreamStore {
 public:
  explicit UpstreamStore(std::string aPath) : mPath(std::move(aPath)) {}

  /// Takes what the file has, as heard now; a file that is torn, or none, is
  /// nothing, and a row that cannot be used is left out. Returns how many
  /// upstreams that were.
  std::size_t Load(UpstreamRegistry& aRegistry, Millis aNow,
                   const InvalidRowHook& aOnInvalidRow = {}) const;
  /// Writes the file where the registry changed since, at most each two
  /// seconds. A disk that refuses is tried again then.
  void Save(const UpstreamRegistry& aRegistry, Millis aNow);

 private:
  std::string mPath;
  std::int64_t mSavedRevision = 0;  ///< Registry revision of the file.
  Millis mLastAttemptAt = -1;
};

}  // namespace spindleweir
