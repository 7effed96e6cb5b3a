#include "servers/placement/layer_pipelines.h"

#include <cmath>

namespace spindleweir {

namespace {

/// Assigns aLayers layers to the engines of a pipeline in proportion to their
/// memory.
void AssignPipeline(const CandidateEngines& aPipeline, int aLayers,
                    std::vector<LayerOrder>& aOut) {
  double total = 0;
  for (const CandidateEngine& engine : aPipeline) {
    total += engine.mMaxLayers;
  }
  double sum = 0;
  int from = 0;
  for (const CandidateEngine& engine : aPipeline) {
    sum += engine.mMaxLayers;
    const int to = static_cast<int>(std::lround(aLayers * sum / total));
    if (to > from) {
      aOut.push_back({engine.mRecord->mInstance, {from, to}});
    }
    from = to;
  }
}

/// Removes from aEngines the fastest ones that together hold all layers within
/// the weight share, and returns them; empty if the engines can't hold all
/// layers.
CandidateEngines TakePipeline(CandidateEngines& aEngines, int aLayers) {
  for (double share : {kWeightShare, kMaxWeightShare}) {
    double held = 0;
    std::size_t n = 0;
    while (n < aEngines.size() && held < aLayers) {
      held += aEngines[n].mMaxLayers * share;
      n++;
    }
    if (held >= aLayers) {
      const auto end = aEngines.begin() + static_cast<std::ptrdiff_t>(n);
      CandidateEngines pipeline(aEngines.begin(), end);
      aEngines.erase(aEngines.begin(), end);
      return pipeline;
    }
  }
  return {};
}

}  // namespace

std::vector<LayerOrder> PlanPipelines(const CandidateEngines& aEngines,
                                      int aLayers) {
  std::vector<LayerOrder> orders;
  CandidateEngines left = aEngines;
  for (CandidateEngines pipeline = TakePipeline(left, aLayers);
       !pipeline.empty(); pipeline = TakePipeline(left, aLayers)) {
    AssignPipeline(pipeline, aLayers, orders);
  }
  return orders;
}

}  // namespace spindleweir
