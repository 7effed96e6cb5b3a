/// What things cost an installation beside each other: settings, so that a
/// decision that trades one for the other fits any of them.
#pragma once

namespace spindleweir {

/// 1 is an installation where the price counts as a rule; 0: it costs nothing.
struct RelativeCosts {
  /// Of a byte between availability zones.
  double mInterZoneByte = 1;
};

}  // namespace spindleweir
