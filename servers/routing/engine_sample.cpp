#include "spindleweir/servers/routing/engine_sample.h"

#include <algorithm>
#include <unordered_set>

namespace spindleweir {

namespace {

/// A zone with more engines is looked at by samples.
constexpr std::size_t kMany = 128;
/// Engines of a sample that hold each layer, where so many do. With 8 a path
/// of ten parts has a choice at each of them, and some 90 engines are drawn.
constexpr std::size_t kHolders = 8;
/// The same of all other zones together, where they are needed.
constexpr std::size_t kHoldersElsewhere = 4;

using Engines = std::vector<const UpstreamRecord*>;
using RandomHook = std::function<double()>;

/// Draws engines layer by layer, so that no layer is missed that is held: of
/// 96 engines drawn from 600 at large, every third sample had no whole path.
class Drawing {
 public:
  Drawing(const Engines& aEngines, const RandomHook& aRandom)
      : mRandom(aRandom) {
    for (const UpstreamRecord* engine : aEngines) {
      const auto end =
          static_cast<std::size_t>(std::max(0, engine->mLayers.mTo));
      if (mHolders.size() < end) {
        mHolders.resize(end);
      }
      for (std::size_t i = static_cast<std::size_t>(engine->mLayers.mFrom);
           i < end; i++) {
        mHolders[i].push_back(engine);
      }
    }
  }

  Engines Draw(std::size_t aHolders) {
    for (Engines& holders : mHolders) {
      DrawOf(holders, aHolders);
    }
    return std::move(mDrawn);
  }

 private:
  void DrawOf(Engines& aHolders, std::size_t aCount) {
    auto have = static_cast<std::size_t>(std::count_if(
        aHolders.begin(), aHolders.end(), [this](const UpstreamRecord* aOne) {
          return mIsDrawn.contains(aOne);
        }));
    for (std::size_t i = 0; i < aHolders.size() && have < aCount; i++) {
      const double rest = static_cast<double>(aHolders.size() - i);
      const auto step = static_cast<std::size_t>(mRandom() * rest);
      std::swap(aHolders[i], aHolders[std::min(i + step, aHolders.size() - 1)]);
      if (mIsDrawn.insert(aHolders[i]).second) {
        mDrawn.push_back(aHolders[i]);
        have++;
      }
    }
  }

  const RandomHook& mRandom;
  std::vector<Engines> mHolders;  ///< By layer.
  Engines mDrawn;
  std::unordered_set<const UpstreamRecord*> mIsDrawn;
};

}  // namespace

EngineSample SampleEngines(const Engines& aEngines, const std::string& aZone,
                           SampleReach aReach, const RandomHook& aRandom) {
  if (aEngines.size() <= kMany) {
    return {.mEngines = aEngines};
  }
  Engines own;
  Engines others;
  for (const UpstreamRecord* engine : aEngines) {
    (engine->mZone == aZone ? own : others).push_back(engine);
  }
  const bool many = own.size() > kMany;
  const bool manyOthers = others.size() > 2 * kMany;
  if (!many && !manyOthers) {
    return {.mEngines = aEngines};
  }
  EngineSample sample;
  if (many) {
    const auto all = static_cast<double>(own.size());
    own = Drawing(own, aRandom).Draw(kHolders);
    sample.mShare = static_cast<double>(own.size()) / all;
  }
  sample.mEngines = std::move(own);
  if (many && aReach == SampleReach::kOwnZone) {
    return sample;
  }
  if (manyOthers) {
    others = Drawing(others, aRandom).Draw(kHoldersElsewhere);
  }
  sample.mEngines.insert(sample.mEngines.end(), others.begin(), others.end());
  return sample;
}

}  // namespace spindleweir
