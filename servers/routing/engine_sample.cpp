#include "spindleweir/servers/routing/engine_sample.h"

#include <algorithm>
#include <unordered_set>

namespace spindleweir {

namespace {

/// A zone with more engines is looked at by samples.
constexpr std::size_t kMaxUnsampled = 128;
/// Engines of a sample that hold each layer, where so many do. With 8 a path
/// of ten parts has a choice at each of them, and some 90 engines are drawn.
constexpr std::size_t kEnginesPerLayer = 8;
/// The same of all other zones together, where they are needed.
constexpr std::size_t kRemoteEnginesPerLayer = 4;

using Engines = std::vector<const UpstreamRecord*>;
using RandomHook = std::function<double()>;

/// Draws engines layer by layer, so that no layer is missed that is held: of
/// 96 engines drawn from 600 at large, every third sample had no whole path.
class LayerSampler {
 public:
  LayerSampler(const Engines& aEngines, const RandomHook& aRandom)
      : mRandom(aRandom) {
    for (const UpstreamRecord* engine : aEngines) {
      const auto end =
          static_cast<std::size_t>(std::max(0, engine->mLayers.mTo));
      if (mEnginesByLayer.size() < end) {
        mEnginesByLayer.resize(end);
      }
      for (std::size_t i = static_cast<std::size_t>(engine->mLayers.mFrom);
           i < end; i++) {
        mEnginesByLayer[i].push_back(engine);
      }
    }
  }

  Engines Draw(std::size_t aEngines) {
    for (Engines& holders : mEnginesByLayer) {
      DrawLayer(holders, aEngines);
    }
    return std::move(mDrawn);
  }

 private:
  void DrawLayer(Engines& aEngines, std::size_t aCount) {
    auto have = static_cast<std::size_t>(std::count_if(
        aEngines.begin(), aEngines.end(), [this](const UpstreamRecord* aOne) {
          return mDrawnSet.contains(aOne);
        }));
    for (std::size_t i = 0; i < aEngines.size() && have < aCount; i++) {
      const double rest = static_cast<double>(aEngines.size() - i);
      const auto step = static_cast<std::size_t>(mRandom() * rest);
      std::swap(aEngines[i], aEngines[std::min(i + step, aEngines.size() - 1)]);
      if (mDrawnSet.insert(aEngines[i]).second) {
        mDrawn.push_back(aEngines[i]);
        have++;
      }
    }
  }

  const RandomHook& mRandom;
  std::vector<Engines> mEnginesByLayer;  ///< By layer.
  Engines mDrawn;
  std::unordered_set<const UpstreamRecord*> mDrawnSet;
};

}  // namespace

EngineSample SampleEngines(const Engines& aEngines, const std::string& aZone,
                           SampleScope aReach, const RandomHook& aRandom) {
  if (aEngines.size() <= kMaxUnsampled) {
    return {.mEngines = aEngines};
  }
  Engines own;
  Engines others;
  for (const UpstreamRecord* engine : aEngines) {
    (engine->mZone == aZone ? own : others).push_back(engine);
  }
  const bool many = own.size() > kMaxUnsampled;
  const bool manyOthers = others.size() > 2 * kMaxUnsampled;
  if (!many && !manyOthers) {
    return {.mEngines = aEngines};
  }
  EngineSample sample;
  if (many) {
    const auto all = static_cast<double>(own.size());
    own = LayerSampler(own, aRandom).Draw(kEnginesPerLayer);
    sample.mShare = static_cast<double>(own.size()) / all;
  }
  sample.mEngines = std::move(own);
  if (many && aReach == SampleScope::kLocalZone) {
    return sample;
  }
  if (manyOthers) {
    others = LayerSampler(others, aRandom).Draw(kRemoteEnginesPerLayer);
  }
  sample.mEngines.insert(sample.mEngines.end(), others.begin(), others.end());
  return sample;
}

}  // namespace spindleweir
