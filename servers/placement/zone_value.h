/// What a placement of a zone is worth: the share of the zone's demand that it
/// has room for, now and after the loss of any one engine.
#pragma once

#include <compare>
#include <vector>

#include "servers/placement/layer_cards.h"

namespace spindleweir {

/// The worth of one placement; the greater the better.
struct ZoneValue {
  int mHeld = 0;       ///< Layers that someone holds.
  double mServed = 0;  ///< 0 to 1.

  auto operator<=>(const ZoneValue&) const = default;
};

/// Tokens for which a zone should have room at each layer, where an engine is
/// built for as many; 0: not known, everything has room enough.
ZoneValue ValueOf(const EngineProfile& aProfile,
                  const std::vector<Holder>& aHolders);

}  // namespace spindleweir
