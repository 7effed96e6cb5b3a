/// Which engines one choice looks at where there are very many.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// The engines of one choice.
struct EngineSample {
  std::vector<const UpstreamRecord*> mEngines;
  /// The part of its own zone's engines that it has; 1: all.
  double mShare = 1;
};

/// How far a choice looks.
enum class SampleScope {
  kLocalZone,  ///< Enough where the own zone has many engines.
  kAllZones,   ///< Where no path was found there.
};

/// All engines where they are few. Where the own zone has more than 128, about
/// 90 of them drawn anew for each choice, by layers: at 1,000 a zone a search
/// through all took a router with 0.12 cores 34 % of them, and all routers
/// found the same fast path, while a sample has each engine in every tenth
/// choice only.
EngineSample SampleEngines(const std::vector<const UpstreamRecord*>& aEngines,
                           const std::string& aZone, SampleScope aReach,
                           const std::function<double()>& aRandom);

}  // namespace spindleweir
