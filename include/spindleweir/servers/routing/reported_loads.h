/// Stores the load reports that a router sent recently, so that it can subtract
/// its own load from the sum that control returns.
#pragma once

#include <cstdint>
#include <deque>

#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

/// Recent reports of one router. Each has a sequence number, from 1.
class ReportedLoads {
 public:
  /// Stores a report that is about to be sent; returns its sequence number.
  std::int64_t Record(LoadShares aShares);
  /// Returns aSum without the report with this sequence number. Subtracts
  /// nothing if the number is 0 or the report is no longer stored.
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
