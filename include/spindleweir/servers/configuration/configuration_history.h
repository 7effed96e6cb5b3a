/// The configuration that a process has in force, with the last changes to it,
/// so that others can catch up by those instead of by the whole.
#pragma once

#include <deque>
#include <vector>

#include "spindleweir/servers/configuration/configuration_change.h"

namespace spindleweir {

/// Asks for what is newer than the asker's configuration.
struct ConfigurationRequest {
  std::int64_t mVersion = 0;
  std::string mHash;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Required("hash", mHash);
  }
};

/// The changes since, oldest first, or the whole where they are not known. A
/// whole carries the SHA-256 of its content against damage on the way.
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

/// What became of news.
enum class ConfigurationUpdateResult {
  kApplied,       ///< A greater version is in force now.
  kStale,         ///< Nothing newer in it.
  kGap,           ///< Versions are missing before it: ask for them.
  kFork,          ///< Another content of a version that is in force: an alarm.
  kHashMismatch,  ///< A hash is not right.
};

/// Takes greater versions only.
class ConfigurationHistory {
 public:
  ConfigurationUpdateResult ApplyUpdate(const ConfigurationUpdate& aUpdate);
  ConfigurationUpdate UpdateFor(const ConfigurationRequest& aRequest) const;
  ConfigurationRequest MakeRequest() const {
    return {mCurrent.mVersion, mCurrent.mHash};
  }
  const Configuration& Current() const { return mCurrent; }

 private:
  ConfigurationUpdateResult ApplyFull(const ConfigurationUpdate& aUpdate);
  ConfigurationUpdateResult ApplyChanges(const ConfigurationUpdate& aUpdate);

  Configuration mCurrent;
  std::deque<ConfigurationChange> mChanges;  ///< The last ones, bounded.
};

}  // namespace spindleweir
