#include "servers/placement/zone_value.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// How much what is served now counts beside what is served after a loss.
constexpr double kNow = 0.5;

/// Tokens for which an engine has room at each of its layers.
double RoomOf(const EngineProfile& aProfile, const HolderClass& aClass) {
  const int n = aClass.mLayers.Count();
  return n <= 0 ? 0
                : EngineModel(aProfile, *aClass.mKind).RequestCapacity(n) / n;
}

}  // namespace

std::vector<HolderClass> ClassesOf(const std::vector<Holder>& aHolders) {
  std::vector<HolderClass> classes;
  for (const Holder& holder : aHolders) {
    const auto it = std::find_if(classes.begin(), classes.end(),
                                 [&holder](const HolderClass& aClass) {
                                   return aClass.mKind == holder.mCard.mKind &&
                                          aClass.mLayers == holder.mLayers;
                                 });
    if (it != classes.end()) {
      it->mCount++;
    } else {
      classes.push_back({holder.mCard.mKind, holder.mLayers, 1});
    }
  }
  return classes;
}

ZoneValue ValueOf(const EngineProfile& aProfile,
                  const std::vector<HolderClass>& aClasses) {
  const auto layers = static_cast<std::size_t>(aProfile.mLayers);
  std::vector<double> room(layers, 0.0);
  std::vector<int> holders(layers, 0);
  int engines = 0;
  for (const HolderClass& own : aClasses) {
    const double brought = RoomOf(aProfile, own) * own.mCount;
    engines += own.mCount;
    for (int i = own.mLayers.mFrom; i < own.mLayers.mTo; i++) {
      room[static_cast<std::size_t>(i)] += brought;
      holders[static_cast<std::size_t>(i)] += own.mCount;
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
  for (const HolderClass& own : aClasses) {
    const double lost = RoomOf(aProfile, own);
    double without = now;
    for (int i = own.mLayers.mFrom; i < own.mLayers.mTo; i++) {
      const auto at = static_cast<std::size_t>(i);
      const double left = holders[at] > 1 ? served(room[at] - lost) : 0;
      without = std::min(without, left);
    }
    after += without * own.mCount;
  }
  value.mServed = kNow * now + (1 - kNow) * after /
                                   static_cast<double>(std::max(1, engines));
  return value;
}

ZoneValue ValueOf(const EngineProfile& aProfile,
                  const std::vector<Holder>& aHolders) {
  return ValueOf(aProfile, ClassesOf(aHolders));
}

}  // namespace spindleweir
