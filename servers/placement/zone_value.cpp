#include "servers/placement/zone_value.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// How much what is served now counts beside what is served after a loss.
constexpr double kNow = 0.5;

/// Tokens for which an engine has room at each of its layers.
double RoomOf(const EngineProfile& aProfile, const Holder& aHolder) {
  const int n = aHolder.mLayers.Count();
  return n <= 0 ? 0 : EngineModel(aProfile, *aHolder.mCard.mKind).Room(n) / n;
}

}  // namespace

ZoneValue ValueOf(const EngineProfile& aProfile,
                  const std::vector<Holder>& aHolders) {
  const auto layers = static_cast<std::size_t>(aProfile.mLayers);
  std::vector<double> room(layers, 0.0);
  std::vector<int> holders(layers, 0);
  for (const Holder& holder : aHolders) {
    const double own = RoomOf(aProfile, holder);
    for (int i = holder.mLayers.mFrom; i < holder.mLayers.mTo; i++) {
      room[static_cast<std::size_t>(i)] += own;
      holders[static_cast<std::size_t>(i)]++;
    }
  }
  const auto served = [&aProfile](double aRoom) {
    const double wanted = aProfile.mCapacityTokens;
    return wanted <= 0 ? 1 : std::clamp(aRoom / wanted, 0.0, 1.0);
  };
  ZoneValue value;
  double now = 1;
  for (std::size_t i = 0; i < layers; i++) {
    if (holders[i] > 0) {
      value.mHeld++;
      now = std::min(now, served(room[i]));
    }
  }
  double after = 0;
  for (const Holder& holder : aHolders) {
    const double own = RoomOf(aProfile, holder);
    double without = now;
    for (int i = holder.mLayers.mFrom; i < holder.mLayers.mTo; i++) {
      const auto at = static_cast<std::size_t>(i);
      const double left = holders[at] > 1 ? served(room[at] - own) : 0;
      without = std::min(without, left);
    }
    after += without;
  }
  const auto n = static_cast<double>(std::max<std::size_t>(1, aHolders.size()));
  value.mServed = kNow * now + (1 - kNow) * after / n;
  return value;
}

}  // namespace spindleweir
