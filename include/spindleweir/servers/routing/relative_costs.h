/// Relative prices of resources in an installation. They are settings, so that
/// decisions that trade one resource for another fit each installation.
#pragma once

namespace spindleweir {

/// 1: the price of a typical installation; 0: the resource is free.
struct RelativeCosts {
  /// Of one byte transferred between availability zones.
  double mInterZoneByte = 1;
};

}  // namespace spindleweir
