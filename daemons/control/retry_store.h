/// The retries that a control may have granted, on its disk, and among how many
/// voters the limit was divided.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "spindleweir/drivers/file_replacement.h"

namespace spindleweir {

/// One file. If it is lost or unreadable, the next process doesn't know what
/// this one granted.
class RetryStore {
 public:
  using Numbers = std::map<std::string, int>;  ///< By service: see RetryPool.

  struct Content {
    Numbers mNumbers;
    int mVoters = 0;  ///< See PoolShare::RecentVoters(); 0: not known.
  };

  explicit RetryStore(std::string aPath, ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)), mReplace(std::move(aReplace)) {}

  /// What was stored; none if the file is missing or invalid.
  std::optional<Content> Load() const;
  /// Stores the content. aDone: whether it is durable. One call at a time.
  void Save(const Content& aContent, std::function<void(bool)> aDone);

 private:
  std::string mPath;
  ReplaceHook mReplace;
};

}  // namespace spindleweir
