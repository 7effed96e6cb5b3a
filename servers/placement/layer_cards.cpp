#include "servers/placement/layer_cards.h"

#include <algorithm>

namespace spindleweir {

void LayerCover::Add(const LayerRange& aLayers) {
  const int end = std::min(aLayers.mTo, static_cast<int>(mCounts.size()));
  for (int i = std::max(0, aLayers.mFrom); i < end; i++) {
    mCounts[static_cast<std::size_t>(i)]++;
  }
}

bool LayerCover::Holds(const LayerRange& aLayers, int aTimes) const {
  for (int i = aLayers.mFrom; i < aLayers.mTo; i++) {
    if (mCounts[static_cast<std::size_t>(i)] < aTimes) {
      return false;
    }
  }
  return true;
}

LayerRange LayerCover::FirstHole() const {
  const std::vector<LayerRange> holes = Holes();
  return holes.empty() ? LayerRange{} : holes.front();
}

std::vector<LayerRange> LayerCover::Holes() const {
  std::vector<LayerRange> holes;
  for (std::size_t i = 0; i < mCounts.size(); i++) {
    const int layer = static_cast<int>(i);
    if (mCounts[i] > 0) {
      continue;
    }
    if (holes.empty() || holes.back().mTo != layer) {
      holes.push_back({layer, layer});
    }
    holes.back().mTo = layer + 1;
  }
  return holes;
}

int LayerCover::Edges() const {
  int edges = 0;
  for (std::size_t i = 1; i < mCounts.size(); i++) {
    edges += (mCounts[i - 1] > 0) != (mCounts[i] > 0) ? 1 : 0;
  }
  return edges;
}

}  // namespace spindleweir
