#include "bench/baselines.h"

#include <algorithm>
#include <atomic>
#include <memory>

namespace spindleweir {

namespace {

/// Usable engines by their first layer, in order of name.
using ByFirst = std::vector<std::vector<std::size_t>>;

ByFirst GroupByFirst(std::span<const ChainCandidate> aCandidates,
                     const ChainQuery& aQuery) {
  ByFirst groups(static_cast<std::size_t>(aQuery.mLayers));
  for (std::size_t i = 0; i < aCandidates.size(); i++) {
    const ChainCandidate& engine = aCandidates[i];
    const bool excluded = aQuery.mExcluded != nullptr &&
                          aQuery.mExcluded->contains(engine.mEngine);
    if (engine.mUsable && !excluded && engine.mModel == aQuery.mModel &&
        engine.mFirst < engine.mLast) {
      groups[static_cast<std::size_t>(engine.mFirst)].push_back(i);
    }
  }
  return groups;
}

/// Takes one engine after the other, each by aPick from those that may follow.
ChainChoice Walk(
    std::span<const ChainCandidate> aCandidates, const ChainQuery& aQuery,
    const std::function<std::size_t(const std::vector<std::size_t>&)>& aPick) {
  const ByFirst groups = GroupByFirst(aCandidates, aQuery);
  ChainChoice choice;
  int layer = 0;
  while (layer < aQuery.mLayers) {
    const auto& group = groups[static_cast<std::size_t>(layer)];
    if (group.empty()) {
      return {};
    }
    const std::size_t picked = group[aPick(group)];
    choice.mStages.push_back(picked);
    layer = aCandidates[picked].mLast;
  }
  // Queueing at all stages is what a chain of this length costs about.
  for (std::size_t index : choice.mStages) {
    choice.mCostMillis +=
        aCandidates[index].mWaitMillis + aCandidates[index].mStepMillis;
  }
  return choice;
}

ChainChoice ChooseRandom(std::span<const ChainCandidate> aCandidates,
                         const ChainQuery& aQuery) {
  return Walk(aCandidates, aQuery, [&](const std::vector<std::size_t>& aGroup) {
    return static_cast<std::size_t>(aQuery.mRandom() *
                                    static_cast<double>(aGroup.size()));
  });
}

ChainChoice ChooseLeastInFlight(std::span<const ChainCandidate> aCandidates,
                                const ChainQuery& aQuery) {
  return Walk(aCandidates, aQuery, [&](const std::vector<std::size_t>& aGroup) {
    const auto it =
        std::min_element(aGroup.begin(), aGroup.end(),
                         [&](std::size_t aLeft, std::size_t aRight) {
                           // A wait divided by a step's time is the number in
                           // flight.
                           return aCandidates[aLeft].mWaitMillis /
                                      aCandidates[aLeft].mStepMillis <
                                  aCandidates[aRight].mWaitMillis /
                                      aCandidates[aRight].mStepMillis;
                         });
    return static_cast<std::size_t>(it - aGroup.begin());
  });
}

/// One count for all routers of a run: round robin at its best.
ChainChooser MakeRoundRobin() {
  const auto next = std::make_shared<std::atomic<std::size_t>>(0);
  return [next](std::span<const ChainCandidate> aCandidates,
                const ChainQuery& aQuery) {
    const std::size_t turn = (*next)++;
    return Walk(aCandidates, aQuery,
                [turn](const std::vector<std::size_t>& aGroup) {
                  return turn % aGroup.size();
                });
  };
}

/// Pipelines put together once: the n-th engine of each stage follows the n-th
/// of the one before; requests take the pipelines in turn, and a pipeline with
/// a stage lost is idle.
ChainChooser MakeFixedPipelines() {
  const auto next = std::make_shared<std::atomic<std::size_t>>(0);
  return [next](std::span<const ChainCandidate> aCandidates,
                const ChainQuery& aQuery) {
    const ByFirst groups = GroupByFirst(aCandidates, aQuery);
    std::size_t pipelines = aCandidates.size();
    for (const auto& group : groups) {
      if (!group.empty()) {
        pipelines = std::min(pipelines, group.size());
      }
    }
    const std::size_t turn = (*next)++ % std::max<std::size_t>(1, pipelines);
    return Walk(aCandidates, aQuery,
                [turn](const std::vector<std::size_t>&) { return turn; });
  };
}

}  // namespace

std::vector<NamedChooser> AllChoosers() {
  return {{"ours", ChooseChain},
          {"random", ChooseRandom},
          {"round_robin", MakeRoundRobin()},
          {"fixed_pipelines", MakeFixedPipelines()},
          {"least_in_flight", ChooseLeastInFlight}};
}

}  // namespace spindleweir
