/// The configuration that a process has in force, with the last changes to it,
/// so that others can catch up by those instead of by the whole.
#pragma once

#include <deque>
#include <vector>

#include "spindleweir/servers/configuration/configuration_change.h"

namespace spindleweir {

/// Asks for what is newer than the asker's configuration.
struct ConfigurationQuestion {
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
struct ConfigurationNews {
  std::vector<ConfigurationChange> mChanges;
  bool mIsWhole = false;
  Configuration mWhole;
  std::string mWholeDigest;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("changes", mChanges);
    aCodec.Required("is_whole", mIsWhole);
    if (mIsWhole) {
      aCodec.Required("whole", mWhole);
      aCodec.Required("whole_digest", mWholeDigest);
    }
  }
};

/// What became of news.
enum class NewsVerdict {
  kTaken,    ///< A greater version is in force now.
  kOld,      ///< Nothing newer in it.
  kGap,      ///< Versions are missing before it: ask for them.
  kFork,     ///< Another content of a version that is in force: an alarm.
  kDamaged,  ///< A hash is not right.
};

/// Takes greater versions only.
class ConfigurationHistory {
 public:
  NewsVerdict Take(const ConfigurationNews& aNews);
  ConfigurationNews Answer(const ConfigurationQuestion& aQuestion) const;
  ConfigurationQuestion Question() const {
    return {mCurrent.mVersion, mCurrent.mHash};
  }
  const Configuration& Current() const { return mCurrent; }

 private:
  NewsVerdict TakeWhole(const ConfigurationNews& aNews);
  NewsVerdict TakeChanges(const ConfigurationNews& aNews);

  Configuration mCurrent;
  std::deque<ConfigurationChange> mChanges;  ///< The last ones, bounded.
};

}  // namespace spindleweir
