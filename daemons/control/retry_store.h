/// The retries that a control may have granted, on its disk.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "spindleweir/drivers/file_replacement.h"

namespace spindleweir {

/// One file with a number for each service: see RetryPool. If it is lost or
/// unreadable, the next process doesn't know what this one granted.
class RetryStore {
 public:
  using Numbers = std::map<std::string, int>;  ///< By service.

  explicit RetryStore(std::string aPath, ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)), mReplace(std::move(aReplace)) {}

  /// What was stored; none if the file is missing or invalid.
  std::optional<Numbers> Load() const;
  /// Stores the numbers. aDone: whether they are durable. One call at a time.
  void Save(const Numbers& aNumbers, std::function<void(bool)> aDone);

 private:
  std::string mPath;
  ReplaceHook mReplace;
};

}  // namespace spindleweir
