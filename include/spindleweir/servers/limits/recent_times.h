/// Remembers when something last happened to each of a bounded number of names.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The names that were recorded first are forgotten first.
class RecentTimes {
 public:
  explicit RecentTimes(std::size_t aMaxNames) : mMaxNames(aMaxNames) {}

  /// Records the time unless a later one is known.
  void Record(const std::string& aName, Millis aAt);
  std::optional<Millis> Find(const std::string& aName) const;

 private:
  std::size_t mMaxNames;
  std::unordered_map<std::string, Millis> mTimes;
  std::deque<std::string> mOrder;  ///< The oldest first.
};

}  // namespace spindleweir
