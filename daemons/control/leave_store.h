/// Stores the upstreams that leave or are gone on this control's disk, so that
/// none of them gets new work after a stop of all processes.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/drivers/file_replacement.h"
#include "spindleweir/servers/membership/upstream_check.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// One file with all that the registry has, which each save replaces as a
/// whole: the registry drops them after a minute, so there are few. Leaves that
/// come while the file is being written share the next write. Every control
/// writes it, the leader too: acknowledgements wait for it.
class LeaveStore {
 public:
  /// Called once: whether the leave is durable here.
  using StoredHook = std::function<void(bool aIsDurable)>;

  /// aRegistry must exist for as long as this object.
  LeaveStore(std::string aPath, const UpstreamRegistry& aRegistry,
             ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)),
        mRegistry(aRegistry),
        mReplace(std::move(aReplace)) {}

  /// Merges the upstreams of the file into aRegistry and returns their number.
  /// Those that were not seen for a minute are left out, as are all of a
  /// missing or torn file; aOnInvalidRow is called for each row that cannot be
  /// used. aWallNow: wall-clock time in milliseconds.
  std::size_t Load(UpstreamRegistry& aRegistry, Millis aNow, Millis aWallNow,
                   const InvalidRowHook& aOnInvalidRow = {}) const;
  /// Calls aDone once the leaves of these upstreams are durable, or could not
  /// be written; at once if they are durable already or none of them leaves.
  void Store(const std::vector<std::string>& aInstances, StoredHook aDone);
  /// Writes what is not durable yet, at most every two seconds: leaves that
  /// this control was told of later, or that its disk did not accept.
  void Save(Millis aNow);

 private:
  /// An upstream's instance and start.
  using Key = std::pair<std::string, std::int64_t>;

  bool IsStored(const UpstreamRecord& aRecord) const;
  /// Whether an upstream leaves, and the file does not have it.
  bool IsMissing(const std::string& aInstance) const;
  void Write();
  void OnWritten(std::set<Key> aKeys, const std::vector<StoredHook>& aWaiting,
                 const std::optional<Error>& aError);

  std::string mPath;
  const UpstreamRegistry& mRegistry;
  ReplaceHook mReplace;
  bool mIsSaving = false;
  std::set<Key> mStored;             ///< What the file has.
  std::vector<StoredHook> mWaiting;  ///< For the next write.
  std::int64_t mSavedRevision = 0;   ///< Registry revision of the last save.
  Millis mLastSaveAt = -1;
};

}  // namespace spindleweir
