/// What a router told of its work lately, so that it can take it out of the
/// sum of all that comes back.
#pragma once

#include <cstdint>
#include <deque>

#include "spindleweir/servers/routing/load_book.h"

namespace spindleweir {

/// Kept by the router; each thing told has a number, from 1.
class ToldLoads {
 public:
  /// Notes what is told now; returns its number.
  std::int64_t Tell(LoadShares aShares);
  /// A sum without what was told under a number; 0, or one that is not
  /// remembered any more: nothing is taken out.
  LoadShares OthersIn(LoadShares aSum, std::int64_t aNumber) const;

 private:
  struct Told {
    std::int64_t mNumber = 0;
    LoadShares mShares;
  };

  std::deque<Told> mTold;  ///< Oldest first.
  std::int64_t mNext = 1;
};

}  // namespace spindleweir
