#include "spindleweir/servers/routing/told_loads.h"

namespace spindleweir {

namespace {

/// What comes back has at most what was told a few answers ago.
constexpr std::size_t kToldKept = 4;

}  // namespace

std::int64_t ToldLoads::Tell(LoadShares aShares) {
  const std::int64_t number = mNext++;
  mTold.push_back({number, std::move(aShares)});
  if (mTold.size() > kToldKept) {
    mTold.pop_front();
  }
  return number;
}

LoadShares ToldLoads::OthersIn(LoadShares aSum, std::int64_t aNumber) const {
  for (const Told& told : mTold) {
    if (told.mNumber != aNumber) {
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
