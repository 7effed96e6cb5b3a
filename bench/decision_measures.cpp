/// Measures of placement: quality against other ways, and its time.
#include <algorithm>
#include <chrono>
#include <random>

#include "bench/commands.h"
#include "spindleweir/servers/placement/placement_planner.h"
#include "spindleweir/servers/placement/stage_split.h"

namespace spindleweir {

namespace {

double NowMillis() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::vector<EngineReport> MixedEngines(int aCount, int aMemory,
                                       std::mt19937& aRandom) {
  std::vector<EngineReport> engines;
  const double kinds[] = {500, 1000, 2000};
  for (int i = 0; i < aCount; i++) {
    EngineReport engine;
    engine.mEngine = "gpu-" + std::to_string(100000 + i);
    engine.mZone = "zone";
    const auto kind = aRandom() % 3;
    engine.mAccelerator = "kind-" + std::to_string(kind);
    engine.mLayerMicros = kinds[kind];
    engine.mMemoryLayers = aMemory + static_cast<int>(kind) % 2;
    engine.mBatch = 8;
    engines.push_back(engine);
  }
  return engines;
}

/// Equal ranges, engines dealt in turn.
double EqualSplit(const std::vector<EngineReport>& aEngines, int aLayers) {
  double best = 0;
  for (int stages = 1; stages <= aLayers; stages++) {
    std::vector<double> speed(static_cast<std::size_t>(stages), 0);
    bool fits = true;
    for (std::size_t i = 0; i < aEngines.size(); i++) {
      const int stage = static_cast<int>(i) % stages;
      const int layers =
          aLayers * (stage + 1) / stages - aLayers * stage / stages;
      fits = fits && layers <= aEngines[i].mMemoryLayers;
      speed[static_cast<std::size_t>(stage)] +=
          aEngines[i].TokensPerSecond(layers);
    }
    if (fits) {
      best = std::max(best, *std::min_element(speed.begin(), speed.end()));
    }
  }
  return best;
}

/// Each engine in turn takes as many layers as fit, until the model is held,
/// and then again from the beginning.
double GreedyFill(const std::vector<EngineReport>& aEngines, int aLayers) {
  std::vector<double> speed(static_cast<std::size_t>(aLayers), 0);
  int at = 0;
  for (const EngineReport& engine : aEngines) {
    const int last = std::min(aLayers, at + engine.mMemoryLayers);
    for (int layer = at; layer < last; layer++) {
      speed[static_cast<std::size_t>(layer)] +=
          engine.TokensPerSecond(last - at);
    }
    at = last == aLayers ? 0 : last;
  }
  return *std::min_element(speed.begin(), speed.end());
}

/// A bound that no placement can pass: all engines' work, shared perfectly.
double WorkBound(const std::vector<EngineReport>& aEngines, int aLayers) {
  double sum = 0;
  for (const EngineReport& engine : aEngines) {
    sum += engine.TokensPerSecond(aLayers);
  }
  return sum;
}

}  // namespace

void MeasurePlacement(const BenchOptions& aOptions) {
  std::mt19937 random(9);
  for (const int count : {12, 33, 200}) {
    std::vector<double> ours;
    std::vector<double> equal;
    std::vector<double> greedy;
    for (int run = 0; run < 15; run++) {
      const std::vector<EngineReport> engines = MixedEngines(count, 8, random);
      const double bound = WorkBound(engines, 24);
      ours.push_back(SplitStages(engines, 24).mTokensPerSecond / bound);
      equal.push_back(EqualSplit(engines, 24) / bound);
      greedy.push_back(GreedyFill(engines, 24) / bound);
    }
    const auto print = [&](const std::string& aVariant,
                           const std::vector<double>& aRuns) {
      Measure measure =
          FromRuns({.mMeasure = "placement",
                    .mCase = std::to_string(count) + " engines, 24 layers",
                    .mVariant = aVariant,
                    .mUnit = "of work bound"},
                   aRuns);
      measure.mRatio = measure.mValue;
      measure.mAgainst = "bound";
      PrintMeasure(measure, aOptions.mJson);
    };
    print("ours", ours);
    print("equal_split", equal);
    print("greedy", greedy);
  }
  Intent intent;
  intent.mModels.push_back({.mName = "quill", .mLayers = 48});
  const Configuration none;
  const std::set<std::string> unusable;
  for (const int count : {100, 400, 800}) {
    std::vector<double> runs;
    for (int run = 0; run < 5; run++) {
      const std::vector<EngineReport> engines = MixedEngines(count, 16, random);
      const double begin = NowMillis();
      MakePlan({.mIntent = intent,
                .mCurrent = none,
                .mEngines = engines,
                .mUnusable = unusable});
      runs.push_back(NowMillis() - begin);
    }
    Configuration present;
    std::vector<double> again;
    for (int run = 0; run < 3; run++) {
      std::vector<EngineReport> engines = MixedEngines(count, 16, random);
      present.mPlacement = MakePlan({.mIntent = intent,
                                     .mCurrent = none,
                                     .mEngines = engines,
                                     .mUnusable = unusable})
                               .mPlacement;
      // A fifth of the zone is lost, so that much has to move.
      engines.resize(engines.size() * 4 / 5);
      const double begin = NowMillis();
      MakePlan({.mIntent = intent,
                .mCurrent = present,
                .mEngines = engines,
                .mUnusable = unusable});
      again.push_back(NowMillis() - begin);
    }
    PrintMeasure(FromRuns({.mMeasure = "plan_time",
                           .mCase = std::to_string(count) +
                                    " replicas, a fifth of them lost",
                           .mVariant = "ours",
                           .mUnit = "ms"},
                          again),
                 aOptions.mJson);
    PrintMeasure(FromRuns({.mMeasure = "plan_time",
                           .mCase = std::to_string(count) + " replicas",
                           .mVariant = "ours",
                           .mUnit = "ms"},
                          runs),
                 aOptions.mJson);
  }
  std::vector<EngineReport> all = MixedEngines(12000, 16, random);
  for (std::size_t i = 0; i < all.size(); i++) {
    all[i].mZone = "zone-" + std::to_string(i % 15);
  }
  Configuration accepted;
  const PlacementInput input{.mIntent = intent,
                             .mCurrent = accepted,
                             .mEngines = all,
                             .mUnusable = unusable};
  accepted.mPlacement = MakePlan(input).mPlacement;
  const double begin = NowMillis();
  MakePlan(input);
  PrintMeasure({.mMeasure = "plan_time",
                .mCase = "12000 replicas in 15 zones, placed before",
                .mVariant = "ours",
                .mValue = NowMillis() - begin,
                .mUnit = "ms"},
               aOptions.mJson);
}

}  // namespace spindleweir
