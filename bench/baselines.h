/// Other ways to choose a chain, to compare ours with.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "spindleweir/servers/routing/chain_chooser.h"

namespace spindleweir {

using ChainChooser = std::function<ChainChoice(std::span<const ChainCandidate>,
                                               const ChainQuery&)>;

/// A chooser with its name.
struct NamedChooser {
  std::string mName;
  ChainChooser mChoose;
};

/// Ours and the baselines: random, round robin, fixed pipelines, least in
/// flight.
std::vector<NamedChooser> AllChoosers();

}  // namespace spindleweir
