/// Limits the engines that one path choice considers in large zones.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// The engines that one choice considers.
struct EngineSample {
  std::vector<const UpstreamRecord*> mEngines;
  /// Share of the local zone's engines that the sample has; 1: all.
  double mShare = 1;
};

/// The zones that a choice considers.
enum class SampleScope {
  kLocalZone,  ///< Sufficient if the local zone has many engines.
  kAllZones,   ///< If the local zone has no path.
};

/// Returns all engines if they are few. If the local zone has more than 128,
/// draws about 90 of them by layer, anew for each choice. With 1,000 engines in
/// a zone, a search through all of them took 34 % of a router's 0.12 cores, and
/// all routers found the same fast path; a sample has each engine in every
/// tenth choice only.
EngineSample SampleEngines(const std::vector<const UpstreamRecord*>& aEngines,
                           const std::string& aZone, SampleScope aScope,
                           const std::function<double()>& aRandom);

}  // namespace spindleweir
