#include "servers/placement/layer_coverage.h"

#include <algorithm>

namespace spindleweir {

void LayerCoverage::Add(const LayerRange& aLayers) {
  const int end = std::min(aLayers.mTo, static_cast<int>(mCounts.size()));
  for (int i = std::max(0, aLayers.mFrom); i < end; i++) {
    mCounts[static_cast<std::size_t>(i)]++;
  }
}

bool LayerCoverage::Holds(const LayerRange& aLayers, int aTimes) const {
  for (int i = aLayers.mFrom; i < aLayers.mTo; i++) {
    if (mCounts[static_cast<std::size_t>(i)] < aTimes) {
      return false;
    }
  }
  return true;
}

LayerRange LayerCoverage::FirstGap() const {
  const std::vector<LayerRange> gaps = Gaps();
  return gaps.empty() ? LayerRange{} : gaps.front();
}

std::vector<LayerRange> LayerCoverage::Gaps() const {
  std::vector<LayerRange> gaps;
  for (std::size_t i = 0; i < mCounts.size(); i++) {
    const int layer = static_cast<int>(i);
    if (mCounts[i] > 0) {
      continue;
    }
    if (gaps.empty() || gaps.back().mTo != layer) {
      gaps.push_back({layer, layer});
    }
    gaps.back().mTo = layer + 1;
  }
  return gaps;
}

int LayerCoverage::CountEdges() const {
  int edges = 0;
  for (std::size_t i = 1; i < mCounts.size(); i++) {
    edges += (mCounts[i - 1] > 0) != (mCounts[i] > 0) ? 1 : 0;
  }
  return edges;
}

}  // namespace spindleweir
