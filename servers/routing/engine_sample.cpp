#include "spindleweir/servers/routing/engine_sample.h"

#include <algorithm>
#include <unordered_set>

namespace spindleweir {

namespace {

/// Zones with more engines are sampled.
constexpr std::size_t kMaxUnsampled = 128;
/// Number of engines per layer in a sample, if that many hold it. With
/// 8, a path of ten stages has a choice at each stage, and about 90 engines are
/// drawn.
constexpr std::size_t kEnginesPerLayer = 8;
/// The same for all other zones together, if they are needed.
constexpr std::size_t kRemoteEnginesPerLayer = 4;

using Engines = std::vector<const UpstreamRecord*>;
using RandomHook = std::function<double()>;

/// Draws engines layer by layer, so that the sample covers each layer that any
/// engine holds: with 96 engines drawn from 600 regardless of layers, every
/// third sample had no complete path.
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

  Engines Draw(std::size_t aPerLayer) {
    for (Engines& engines : mEnginesByLayer) {
      DrawLayer(engines, aPerLayer);
    }
    return std::move(mDrawn);
  }

 private:
  void DrawLayer(Engines& aEngines, std::size_t aCount) {
    auto drawn = static_cast<std::size_t>(
        std::count_if(aEngines.begin(), aEngines.end(),
                      [this](const UpstreamRecord* aEngine) {
                        return mDrawnSet.contains(aEngine);
                      }));
    for (std::size_t i = 0; i < aEngines.size() && drawn < aCount; i++) {
      const double remaining = static_cast<double>(aEngines.size() - i);
      const auto step = static_cast<std::size_t>(mRandom() * remaining);
      std::swap(aEngines[i], aEngines[std::min(i + step, aEngines.size() - 1)]);
      if (mDrawnSet.insert(aEngines[i]).second) {
        mDrawn.push_back(aEngines[i]);
        drawn++;
      }
    }
  }

  const RandomHook& mRandom;
  std::vector<Engines> mEnginesByLayer;
  Engines mDrawn;
  std::unordered_set<const UpstreamRecord*> mDrawnSet;
};

}  // namespace

EngineSample SampleEngines(const Engines& aEngines, const std::string& aZone,
                           SampleScope aScope, const RandomHook& aRandom) {
  if (aEngines.size() <= kMaxUnsampled) {
    return {.mEngines = aEngines};
  }
  Engines local;
  Engines remote;
  for (const UpstreamRecord* engine : aEngines) {
    (engine->mZone == aZone ? local : remote).push_back(engine);
  }
  const bool sampleLocal = local.size() > kMaxUnsampled;
  const bool sampleRemote = remote.size() > 2 * kMaxUnsampled;
  if (!sampleLocal && !sampleRemote) {
    return {.mEngines = aEngines};
  }
  EngineSample sample;
  if (sampleLocal) {
    const auto all = static_cast<double>(local.size());
    local = LayerSampler(local, aRandom).Draw(kEnginesPerLayer);
    sample.mShare = static_cast<double>(local.size()) / all;
  }
  sample.mEngines = std::move(local);
  if (sampleLocal && aScope == SampleScope::kLocalZone) {
    return sample;
  }
  if (sampleRemote) {
    remote = LayerSampler(remote, aRandom).Draw(kRemoteEnginesPerLayer);
  }
  sample.mEngines.insert(sample.mEngines.end(), remote.begin(), remote.end());
  return sample;
}

}  // namespace spindleweir
