/// What a placement of a zone is worth: the share of the zone's demand that it
/// has room for, now and after the loss of any one engine.
#pragma once

#include <vector>

#include "servers/placement/layer_cards.h"

namespace spindleweir {

/// The worth of one placement; the greater the better.
struct ZoneValue {
  int mHeld = 0;       ///< Layers that someone holds.
  double mServed = 0;  ///< 0 to 1.

  bool operator==(const ZoneValue&) const = default;
  bool operator>(const ZoneValue& aOther) const {
    return mHeld != aOther.mHeld ? mHeld > aOther.mHeld
                                 : mServed > aOther.mServed;
  }
};

/// Holders that are alike for what a zone is worth.
struct HolderClass {
  const AcceleratorKind* mKind = nullptr;
  LayerRange mLayers;
  int mCount = 0;
};

/// The holders by what they are and hold. Large zones hold the same ranges many
/// times: 1,000 engines fall into about 40 classes, and all that judges a zone
/// goes by these.
std::vector<HolderClass> ClassesOf(const std::vector<Holder>& aHolders);

/// The demand is the tokens at once that the profile says an engine is built
/// for; where it says none, there is room enough everywhere.
ZoneValue ValueOf(const EngineProfile& aProfile,
                  const std::vector<HolderClass>& aClasses);
ZoneValue ValueOf(const EngineProfile& aProfile,
                  const std::vector<Holder>& aHolders);

}  // namespace spindleweir
