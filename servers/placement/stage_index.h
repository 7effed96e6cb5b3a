/// Looks up the stage of an engine in a placement.
#pragma once

#include <span>
#include <string_view>
#include <unordered_map>

#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// An index over stages, which must outlive it. If an engine has two stages,
/// the first one is found.
class StageIndex {
 public:
  explicit StageIndex(std::span<const StagePlacement> aStages) {
    mByEngine.reserve(aStages.size());
    for (const StagePlacement& stage : aStages) {
      mByEngine.emplace(stage.mEngine, &stage);
    }
  }

  /// The stage on the engine, or nullptr.
  const StagePlacement* Find(std::string_view aEngine) const {
    const auto it = mByEngine.find(aEngine);
    return it == mByEngine.end() ? nullptr : it->second;
  }

 private:
  std::unordered_map<std::string_view, const StagePlacement*> mByEngine;
};

}  // namespace spindleweir
