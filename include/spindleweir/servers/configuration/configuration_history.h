/// The current configuration of a process and the last changes to it, so that
/// other processes can be sent changes instead of the full configuration.
#pragma once

#include <deque>
#include <vector>

#include "spindleweir/servers/configuration/configuration_change.h"

namespace spindleweir {

/// Requests what is newer than the requester's configuration.
struct ConfigurationRequest {
  std::int64_t mVersion = 0;
  std::string mHash;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Required("hash", mHash);
  }
};

/// The changes since a version, oldest first, or the full configuration if
/// those are not stored. A full configuration comes with the SHA-256 of its
/// content, to detect corruption in transit.
struct ConfigurationUpdate {
  std::vector<ConfigurationChange> mChanges;
  bool mIsFull = false;
  Configuration mFull;
  std::string mFullDigest;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("changes", mChanges);
    aCodec.Required("is_whole", mIsFull);
    if (mIsFull) {
      aCodec.Required("whole", mFull);
      aCodec.Required("whole_digest", mFullDigest);
    }
  }
};

/// Result of applying an update.
enum class ConfigurationUpdateResult {
  kApplied,       ///< A newer version is in force.
  kStale,         ///< The update has nothing newer.
  kGap,           ///< Versions before the update are missing; request them.
  kFork,          ///< Different content of the version in force: an alarm.
  kHashMismatch,  ///< A hash does not match its content.
};

/// Applies newer versions only.
class ConfigurationHistory {
 public:
  ConfigurationUpdateResult ApplyUpdate(const ConfigurationUpdate& aUpdate);
  /// The update for a requester; empty if it has the current or a newer
  /// version.
  ConfigurationUpdate UpdateFor(const ConfigurationRequest& aRequest) const;
  /// Requests what is newer than Current().
  ConfigurationRequest MakeRequest() const {
    return {mCurrent.mVersion, mCurrent.mHash};
  }
  const Configuration& Current() const { return mCurrent; }

 private:
  ConfigurationUpdateResult ApplyFull(const ConfigurationUpdate& aUpdate);
  ConfigurationUpdateResult ApplyChanges(const ConfigurationUpdate& aUpdate);

  Configuration mCurrent;
  std::deque<ConfigurationChange> mChanges;  ///< The last ones, oldest first.
};

}  // namespace spindleweir
