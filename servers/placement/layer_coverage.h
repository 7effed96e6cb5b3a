/// Engines whose layers are planned, and how many of them hold each layer.
#pragma once

#include <vector>

#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Share of an engine's memory for weights; the rest holds requests. Pipelines
/// of few fast engines complete a request sooner and free its memory earlier,
/// which is worth more than the request memory of longer pipelines.
constexpr double kWeightShare = 0.72;
/// Maximum share for weights, used if the engines couldn't form a complete
/// pipeline otherwise.
constexpr double kMaxWeightShare = 0.85;

/// An engine whose layers are being planned.
struct CandidateEngine {
  const UpstreamRecord* mRecord = nullptr;
  const AcceleratorKind* mKind = nullptr;
  int mMaxLayers = 0;  ///< Layers that fit into its memory.

  /// Layers that fit into a share of the memory.
  int MaxLayersInShare(double aShare) const {
    return static_cast<int>(mMaxLayers * aShare);
  }
};

using CandidateEngines = std::vector<CandidateEngine>;

/// An engine with the layers that it holds or is assigned.
struct PlacedEngine {
  CandidateEngine mCandidate;
  LayerRange mLayers;
};

/// How many engines hold each layer.
class LayerCoverage {
 public:
  explicit LayerCoverage(int aLayers)
      : mCounts(static_cast<std::size_t>(aLayers), 0) {}

  void Add(const LayerRange& aLayers);
  /// Whether each of the layers is held by at least aTimes engines.
  bool Holds(const LayerRange& aLayers, int aTimes) const;
  /// The first range of layers that no engine holds; empty if there is none.
  LayerRange FirstGap() const;
  /// All ranges of layers that no engine holds.
  std::vector<LayerRange> Gaps() const;
  /// The number of changes between held and missing layers along the model: a
  /// path through the zone crosses to another zone, or back, this many times.
  int CountEdges() const;

 private:
  std::vector<int> mCounts;
};

}  // namespace spindleweir
