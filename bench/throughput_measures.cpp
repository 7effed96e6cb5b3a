/// Measures under load: throughput, recovery, limits.
#include <algorithm>
#include <iostream>
#include <map>

#include "bench/baselines.h"
#include "bench/commands.h"
#include "bench/fleet.h"
#include "bench/load.h"

namespace spindleweir {

namespace {

constexpr int kReplicas = 33;
constexpr int kRouters = 8;
constexpr double kSaturationFactor = 3.2;

FleetOptions ReplicaFleet() {
  FleetOptions options;
  options.mZones = 1;
  options.mRouters = kRouters;
  options.mEngines = kReplicas;
  options.mSlowKindFactor = 1.6;
  options.mLayerMicros = 10000;
  return options;
}

LoadOptions LoadOf(const Fleet& aFleet) {
  LoadOptions load;
  for (const auto& router : aFleet.mRouters) {
    load.mServers.push_back(router->Address());
  }
  for (int i = 0; i < aFleet.mOptions.mWorkspaces; i++) {
    load.mKeys.push_back(Fleet::KeyOf(i));
  }
  load.mLayers = aFleet.mOptions.mLayers;
  return load;
}

/// Requests open at a time that keep every batch of every stage filled.
int SaturatingCallers(const Fleet& aFleet) {
  return static_cast<int>(aFleet.mOptions.mEngines * aFleet.mOptions.mBatch *
                          kSaturationFactor);
}

/// One way in which the engines differ from what they report.
struct ThroughputCase {
  std::string mName;
  Millis mReportLag = 0;
  bool mOneInTenSlow = false;
};

struct ThroughputFigures {
  double mShareOfBound = 0;
  double mFirstTokenP95 = 0;  ///< At 0.8 of the bound.
  double mGapP95 = 0;
};

ThroughputFigures RunThroughput(const ThroughputCase& aCase,
                                const ChainChooser& aChooser, Millis aLength) {
  FleetOptions options = ReplicaFleet();
  options.mReportLag = aCase.mReportLag;
  options.mChooseChain = aChooser;
  Fleet fleet(options);
  ThroughputFigures figures;
  if (!fleet.Begin()) {
    std::cerr << "the fleet did not start\n";
    return figures;
  }
  double bound = fleet.Bound();
  if (aCase.mOneInTenSlow) {
    const std::vector<std::string> names = fleet.EngineNames();
    for (std::size_t i = 0; i < names.size(); i += 10) {
      fleet.Fault(names[i], "{\"slowdown\":2}");
    }
  }
  LoadOptions load = LoadOf(fleet);
  load.mConcurrent = SaturatingCallers(fleet);
  load.mTokens = 24;
  load.mWarmup = 2500;
  load.mLength = aLength;
  figures.mShareOfBound = RunLoad(load).mTokensPerSecond / bound;
  load.mConcurrent = 0;
  load.mRate = 0.8 * bound / load.mTokens;
  const LoadResult open = RunLoad(load);
  figures.mFirstTokenP95 = Percentile(open.mFirstTokenMillis, 0.95);
  figures.mGapP95 = Percentile(open.mGapMillis, 0.95);
  return figures;
}

}  // namespace

void MeasureThroughput(const BenchOptions& aOptions) {
  const std::vector<ThroughputCase> cases = {
      {"33 replicas, 8 routers"},
      {"reports 2 s late", 2000},
      {"one engine in ten at half speed", 0, true}};
  const std::vector<NamedChooser> choosers = AllChoosers();
  const double share =
      aOptions.mSeconds / static_cast<double>(cases.size() * choosers.size());
  const auto length =
      std::max<Millis>(800, static_cast<Millis>((share * 1000 - 8000) / 2));
  for (const ThroughputCase& item : cases) {
    for (const NamedChooser& chooser : choosers) {
      const ThroughputFigures figures =
          RunThroughput(item, chooser.mChoose, length);
      PrintMeasure({.mMeasure = "throughput",
                    .mCase = item.mName,
                    .mVariant = chooser.mName,
                    .mValue = figures.mShareOfBound,
                    .mUnit = "of bound",
                    .mRatio = figures.mShareOfBound,
                    .mAgainst = "bound"},
                   aOptions.mJson);
      PrintMeasure({.mMeasure = "first_token_p95",
                    .mCase = item.mName + ", 0.8 load",
                    .mVariant = chooser.mName,
                    .mValue = figures.mFirstTokenP95,
                    .mUnit = "ms"},
                   aOptions.mJson);
      PrintMeasure({.mMeasure = "token_gap_p95",
                    .mCase = item.mName + ", 0.8 load",
                    .mVariant = chooser.mName,
                    .mValue = figures.mGapP95,
                    .mUnit = "ms"},
                   aOptions.mJson);
    }
  }
}

namespace {

constexpr Millis kFaultAt = 2000;

/// One fault and how it is done to a fleet.
struct RecoveryCase {
  std::string mName;
  std::function<void(Fleet&, const std::vector<std::string>&)> mDo;
};

/// From a series of buckets: when throughput was back at 95% of before, from
/// the fault on, for a second and a half on average. -1: never.
double MillisToRecover(const std::vector<int>& aBuckets) {
  const auto fault = static_cast<std::size_t>(kFaultAt / kBucketMillis);
  constexpr std::size_t kWindow = 30;
  if (aBuckets.size() < fault + kWindow) {
    return -1;
  }
  double before = 0;
  for (std::size_t i = fault - 20; i < fault; i++) {
    before += aBuckets[i] / 20.0;
  }
  std::size_t worst = fault;
  bool dipped = false;
  for (std::size_t i = fault; i + kWindow <= aBuckets.size(); i++) {
    double now = 0;
    for (std::size_t j = i; j < i + kWindow; j++) {
      now += aBuckets[j] / static_cast<double>(kWindow);
    }
    if (now < 0.95 * before) {
      dipped = true;
      worst = i + 1;
    }
  }
  if (!dipped) {
    return 0;
  }
  return worst + kWindow >= aBuckets.size()
             ? -1
             : static_cast<double>((worst - fault) * kBucketMillis);
}

std::vector<RecoveryCase> RecoveryCases() {
  const auto kill = [](std::size_t aWhich) {
    return [aWhich](Fleet& aFleet, const std::vector<std::string>& aNames) {
      aFleet.KillEngine(aNames[aWhich]);
    };
  };
  const auto freeze = [](Fleet& aFleet,
                         const std::vector<std::string>& aNames) {
    aFleet.Fault(aNames[0], "{\"freeze_ms\":60000}");
  };
  return {
      {"one engine dies", kill(0)},
      {"one engine falls silent", freeze},
      {"two engines die at once",
       [](Fleet& aFleet, const std::vector<std::string>& aNames) {
         aFleet.KillEngine(aNames[0]);
         aFleet.KillEngine(aNames[1]);
       }},
      {"one dies, one falls silent",
       [freeze](Fleet& aFleet, const std::vector<std::string>& aNames) {
         freeze(aFleet, aNames);
         aFleet.KillEngine(aNames[4]);
       }},
      {"the leading control dies",
       [](Fleet& aFleet, const std::vector<std::string>&) {
         aFleet.mControls.clear();
       }},
      {"engine leaves by its word, dies 4 s later",
       [](Fleet& aFleet, const std::vector<std::string>& aNames) {
         aFleet.Fault(aNames[0], "{\"leaving\":true}");
         std::this_thread::sleep_for(std::chrono::seconds(4));
         aFleet.KillEngine(aNames[0]);
       }},
      {"engine leaves by its word",
       [](Fleet& aFleet, const std::vector<std::string>& aNames) {
         aFleet.Fault(aNames[0], "{\"leaving\":true}");
       }},
  };
}

}  // namespace

void MeasureRecovery(const BenchOptions& aOptions) {
  const std::vector<RecoveryCase> cases = RecoveryCases();
  const double share =
      aOptions.mSeconds / static_cast<double>(cases.size()) - 4;
  for (const RecoveryCase& item : cases) {
    FleetOptions options;
    options.mRouters = 2;
    options.mEngines = 12;
    Fleet fleet(options);
    if (!fleet.Begin()) {
      std::cerr << "the fleet did not start\n";
      continue;
    }
    const std::vector<std::string> names = fleet.EngineNames();
    LoadOptions load = LoadOf(fleet);
    load.mTokens = 16;
    load.mWarmup = 0;
    load.mLength = std::max<Millis>(8000, static_cast<Millis>(share * 1000));
    // Below what is left after two losses, so that full throughput can return.
    load.mRate = 0.45 * fleet.Bound() / load.mTokens;
    // The fault is done by a thread of its own: killing waits for a thread.
    std::thread fault;
    load.mActs.push_back({kFaultAt, [&] {
                            fault =
                                std::thread([&] { item.mDo(fleet, names); });
                          }});
    const LoadResult result = RunLoad(load);
    fault.join();
    const double worstGap = Percentile(result.mGapMillis, 1);
    const auto print = [&](const std::string& aWhat, double aValue,
                           const std::string& aUnit) {
      PrintMeasure({.mMeasure = "recovery_" + aWhat,
                    .mCase = item.mName,
                    .mVariant = "ours",
                    .mValue = aValue,
                    .mUnit = aUnit},
                   aOptions.mJson);
    };
    print("worst_gap", worstGap, "ms");
    print("to_95", MillisToRecover(result.mBuckets), "ms");
    print("good", result.mGood, "answers");
    print("refused", result.mRefused, "answers");
    print("lost", result.mLost, "answers");
    print("doubled", result.mDoubled, "answers");
    print("crossed", result.mCrossed, "answers");
  }
}

void MeasureLimits(const BenchOptions& aOptions) {
  FleetOptions options;
  options.mRouters = 2;
  options.mEngines = 12;
  options.mMaximumConcurrent = 24;
  options.mMaximumInFlight = 90;
  Fleet fleet(options);
  if (!fleet.Begin()) {
    std::cerr << "the fleet did not start\n";
    return;
  }
  const auto length = static_cast<Millis>(aOptions.mSeconds * 1000 / 7);
  LoadOptions quiet = LoadOf(fleet);
  quiet.mKeys.erase(quiet.mKeys.begin());
  quiet.mLength = length;
  quiet.mTokens = 8;
  quiet.mRate = 0.3 * fleet.Bound() / quiet.mTokens;
  const double alone = Percentile(RunLoad(quiet).mFirstTokenMillis, 0.95);
  LoadOptions flood = quiet;
  flood.mKeys = {Fleet::KeyOf(0)};
  flood.mRate = 1.5 * fleet.Bound() / quiet.mTokens;
  LoadResult flooded;
  std::thread other([&] { flooded = RunLoad(flood); });
  const double beside = Percentile(RunLoad(quiet).mFirstTokenMillis, 0.95);
  other.join();
  PrintMeasure({.mMeasure = "first_token_p95",
                .mCase = "nine workspaces alone",
                .mVariant = "ours",
                .mValue = alone,
                .mUnit = "ms"},
               aOptions.mJson);
  PrintMeasure({.mMeasure = "first_token_p95",
                .mCase = "beside a flooding tenth",
                .mVariant = "ours",
                .mValue = beside,
                .mUnit = "ms",
                .mRatio = beside / alone,
                .mAgainst = "alone"},
               aOptions.mJson);
  double peak = 0;
  for (const double factor : {0.9, 1.0, 2.0, 5.0}) {
    LoadOptions load = LoadOf(fleet);
    load.mLength = length;
    load.mTokens = 8;
    load.mRate = factor * fleet.Bound() / load.mTokens;
    const LoadResult result = RunLoad(load);
    const double goodput = result.mTokensPerSecond / fleet.Bound();
    peak = std::max(peak, goodput);
    PrintMeasure({.mMeasure = "goodput",
                  .mCase = "load " + std::to_string(factor).substr(0, 3),
                  .mVariant = "ours",
                  .mValue = goodput,
                  .mUnit = "of bound",
                  .mRatio = goodput / peak,
                  .mAgainst = "peak"},
                 aOptions.mJson);
    PrintMeasure({.mMeasure = "refused",
                  .mCase = "load " + std::to_string(factor).substr(0, 3),
                  .mVariant = "ours",
                  .mValue = static_cast<double>(result.mRefused),
                  .mUnit = "answers"},
                 aOptions.mJson);
    PrintMeasure({.mMeasure = "lost",
                  .mCase = "load " + std::to_string(factor).substr(0, 3),
                  .mVariant = "ours",
                  .mValue = static_cast<double>(result.mLost),
                  .mUnit = "answers"},
                 aOptions.mJson);
  }
}

}  // namespace spindleweir
