#include "servers/placement/zone_cells.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Engines of a cell: zones of 33 to 43 are what the value of a placement was
/// measured on; 25 such cells take 50 ms of a core to place.
constexpr std::size_t kCellEngines = 40;
/// A cell holds the weights so many times at least, so that the loss of an
/// engine can be covered in it.
constexpr int kTimesHeld = 2;

}  // namespace

std::vector<Cards> DivideIntoCells(const EngineProfile& aProfile,
                                   const Cards& aCards) {
  int fit = 0;
  for (const Card& card : aCards) {
    fit += card.MostIn(kWeightShare);
  }
  const auto byWeights = static_cast<std::size_t>(
      fit / std::max(1, kTimesHeld * aProfile.mLayers));
  const std::size_t n = std::max<std::size_t>(
      1, std::min(aCards.size() / kCellEngines, byWeights));
  std::vector<Cards> cells(n);
  // In turn by speed: each cell gets its part of the fast ones.
  for (std::size_t i = 0; i < aCards.size(); i++) {
    cells[i % n].push_back(aCards[i]);
  }
  return cells;
}

}  // namespace spindleweir
