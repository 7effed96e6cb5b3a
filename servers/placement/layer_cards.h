/// Engines under planning, and how often each layer is held by them.
#pragma once

#include <vector>

#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// The share of an engine's memory that weights take; the rest holds requests.
/// Rows of few fast engines serve a request so soon that its memory is free
/// again early, which is worth more than the room of longer rows.
constexpr double kWeightShare = 0.72;
/// The most that weights may take where a row would not be whole otherwise.
constexpr double kMostWeightShare = 0.85;

/// An engine under planning.
struct Card {
  const UpstreamRecord* mRecord = nullptr;
  const AcceleratorKind* mKind = nullptr;
  int mMost = 0;  ///< Layers that fit.

  /// Layers that fit in a share of the memory.
  int MostIn(double aShare) const { return static_cast<int>(mMost * aShare); }
};

using Cards = std::vector<Card>;

/// A card with the layers that it holds, or was dealt.
struct Holder {
  Card mCard;
  LayerRange mLayers;
};

/// How many cards hold each layer.
class LayerCover {
 public:
  explicit LayerCover(int aLayers)
      : mCounts(static_cast<std::size_t>(aLayers), 0) {}

  void Add(const LayerRange& aLayers);
  /// Whether each of the layers is held by aTimes cards or more.
  bool Holds(const LayerRange& aLayers, int aTimes) const;
  /// The first run of layers that nobody holds; empty: there is none.
  LayerRange FirstHole() const;
  /// All runs of layers that nobody holds.
  std::vector<LayerRange> Holes() const;
  /// How often the layers change between held and not held: a path through
  /// the zone goes over to another zone, or comes back, so many times.
  int Edges() const;

 private:
  std::vector<int> mCounts;
};

}  // namespace spindleweir
