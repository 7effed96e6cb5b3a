#include "spindleweir/servers/routing/reported_loads.h"

namespace spindleweir {

namespace {

/// What comes back has at most what was told a few answers ago.
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
  for (const Entry& told : mEntries) {
    if (told.mSequence != aSequence) {
      continue;
    }
    for (const auto& [instance, share] : told.mShares) {
      const auto it = aSum.find(instance);
      if (it != aSum.end()) {
        it->second.Add(share, -1);
      }
    }
  }
  return aSum;
}

}  // namespace spindleweir
