#include "spindleweir/servers/routing/reported_loads.h"

namespace spindleweir {

namespace {

/// A returned sum lags behind by a few answers at most.
constexpr std::size_t kMaxStoredReports = 4;

}  // namespace

std::int64_t ReportedLoads::Record(LoadShares aShares) {
  const std::int64_t number = mNextSequence++;
  mEntries.push_back({number, std::move(aShares)});
  if (mEntries.size() > kMaxStoredReports) {
    mEntries.pop_front();
  }
  return number;
}

LoadShares ReportedLoads::SubtractReported(LoadShares aSum,
                                           std::int64_t aSequence) const {
  for (const Entry& entry : mEntries) {
    if (entry.mSequence != aSequence) {
      continue;
    }
    for (const auto& [instance, share] : entry.mShares) {
      const auto it = aSum.find(instance);
      if (it != aSum.end()) {
        it->second.Add(share, -1);
      }
    }
  }
  return aSum;
}

}  // namespace spindleweir
