/// What a router told of its work lately, so that it can take it out of the
/// sum of all that comes back.
#pragma once

#include <cstdint>
#include <deque>

#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

/// Kept by the router; each thing told has a number, from 1.
class ReportedLoads {
 public:
  /// Notes what is told now; returns its number.
  std::int64_t Record(LoadShares aShares);
  /// A sum without what was told under a number; 0, or one that is not
  /// remembered any more: nothing is taken out.
  LoadShares SubtractReported(LoadShares aSum, std::int64_t aSequence) const;

 private:
  struct Entry {
    std::int64_t mSequence = 0;
    LoadShares mShares;
  };

  std::deque<Entry> mEntries;  ///< Oldest first.
  std::int64_t mNextSequence = 1;
};

}  // namespace spindleweir
