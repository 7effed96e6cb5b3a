/// Measures of what the router adds, and of the accepted configuration.
#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iostream>
#include <random>

#include "bench/baselines.h"
#include "bench/commands.h"
#include "bench/fleet.h"
#include "bench/load.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

double NowMillis() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// The smallest thing that can stand between a caller and a server: passes
/// each request on and streams the answer back.
class BareRelay {
 public:
  BareRelay(EventLoop& aLoop, const Endpoint& aServer)
      : mClient(aLoop),
        mServer(
            aLoop,
            {.mListen = {"127.0.0.1", 0},
             .mHandle = [this, aServer](
                            const std::shared_ptr<HttpExchange>& aExchange) {
               Relay(aExchange, aServer);
             }}) {}

  const Endpoint& Address() const { return mServer.Address(); }

 private:
  void Relay(const std::shared_ptr<HttpExchange>& aExchange,
             const Endpoint& aServer) {
    HttpCallOptions options;
    options.mServer = aServer;
    options.mMethod = aExchange->Method();
    options.mPath = aExchange->Path();
    options.mBody = aExchange->Body();
    options.mTimeout = 0;
    const auto started = std::make_shared<bool>(false);
    options.mOnData = [aExchange, started](std::string_view aBytes) {
      if (!*started) {
        *started = true;
        aExchange->StartStream(200, "text/event-stream");
      }
      aExchange->Write(aBytes);
    };
    options.mOnDone = [aExchange, started](const HttpResult& aResult) {
      if (*started) {
        aExchange->EndStream();
      } else {
        aExchange->Reply(aResult.mComplete ? aResult.mStatus : 502,
                         "application/json", aResult.mBody);
      }
    };
    mClient.StartDetached(std::move(options));
  }

  HttpClient mClient;
  HttpServer mServer;
};

/// Times calls one after the other, some open at a time.
struct CallTimes {
  std::vector<double> mMillis;
  double mSeconds = 0;
};

CallTimes TimeCalls(const Endpoint& aServer, const std::string& aPath,
                    const std::string& aKey, int aOpen, Millis aLength) {
  EventLoop loop;
  HttpClient client(loop);
  CallTimes times;
  const double begin = NowMillis();
  const std::function<void()> start = [&] {
    const double sent = NowMillis();
    HttpCallOptions options;
    options.mServer = aServer;
    options.mMethod = "GET";
    options.mPath = aPath;
    options.mHeaders = {{"Authorization", "Bearer " + aKey}};
    options.mOnDone = [&, sent](const HttpResult& aResult) {
      if (aResult.mStatus == 200) {
        times.mMillis.push_back(NowMillis() - sent);
      }
      loop.Post(start);
    };
    client.StartDetached(std::move(options));
  };
  for (int i = 0; i < aOpen; i++) {
    start();
  }
  const auto end = loop.After(aLength, [&loop] { loop.Stop(); });
  loop.Run();
  times.mSeconds = (NowMillis() - begin) / 1000;
  return times;
}

void MeasureCallOverhead(Fleet& aFleet, const BenchOptions& aOptions,
                         Millis aLength) {
  const Endpoint service = aFleet.mServices[0]->Address();
  NodeThread relay([service](EventLoop& aLoop, Endpoint& aAddress) {
    auto bare = std::make_shared<BareRelay>(aLoop, service);
    aAddress = bare->Address();
    return bare;
  });
  // The stand-in service answers /runs at once.
  const std::string direct = "/runs";
  const std::string routed = "/v1/services/kaunter-api/runs";
  const int open = 4;
  const CallTimes alone = TimeCalls(service, direct, "", open, aLength);
  const double relayBefore = relay.CpuSeconds();
  const CallTimes bare = TimeCalls(relay.Address(), direct, "", open, aLength);
  const double relayCpu = relay.CpuSeconds() - relayBefore;
  const double ownBefore = aFleet.CpuOfRouters();
  const CallTimes ours = TimeCalls(aFleet.mRouters[0]->Address(), routed,
                                   Fleet::KeyOf(0), open, aLength);
  const double ownCpu = aFleet.CpuOfRouters() - ownBefore;
  const auto micros = [](double aSeconds, const CallTimes& aTimes) {
    return aSeconds * 1e6 / static_cast<double>(aTimes.mMillis.size());
  };
  for (const double share : {0.5, 0.99}) {
    const double base = Percentile(alone.mMillis, share);
    const std::string name = share == 0.5 ? "p50" : "p99";
    PrintMeasure({.mMeasure = "added_time_" + name,
                  .mCase = "service call",
                  .mVariant = "ours",
                  .mValue = Percentile(ours.mMillis, share) - base,
                  .mUnit = "ms"},
                 aOptions.mJson);
    PrintMeasure({.mMeasure = "added_time_" + name,
                  .mCase = "service call",
                  .mVariant = "bare_relay",
                  .mValue = Percentile(bare.mMillis, share) - base,
                  .mUnit = "ms"},
                 aOptions.mJson);
  }
  const double relayMicros = micros(relayCpu, bare);
  PrintMeasure({.mMeasure = "cpu_a_call",
                .mCase = "service call",
                .mVariant = "bare_relay",
                .mValue = relayMicros,
                .mUnit = "us"},
               aOptions.mJson);
  PrintMeasure({.mMeasure = "cpu_a_call",
                .mCase = "service call",
                .mVariant = "ours",
                .mValue = micros(ownCpu, ours),
                .mUnit = "us",
                .mRatio = micros(ownCpu, ours) / relayMicros,
                .mAgainst = "bare_relay"},
               aOptions.mJson);
}

void MeasureTokenOverhead(Fleet& aFleet, const BenchOptions& aOptions,
                          Millis aLength) {
  LoadOptions load;
  load.mServers = {aFleet.mRouters[0]->Address()};
  load.mKeys = {Fleet::KeyOf(0)};
  load.mTokens = 64;
  load.mLayers = aFleet.mOptions.mLayers;
  load.mConcurrent = 40;
  load.mLength = aLength;
  const double before = aFleet.CpuOfRouters();
  const LoadResult result = RunLoad(load);
  const double cpu = aFleet.CpuOfRouters() - before;
  const double share = static_cast<double>(aLength) /
                       static_cast<double>(aLength + load.mWarmup);
  PrintMeasure({.mMeasure = "cpu_a_token",
                .mCase = "streamed completion",
                .mVariant = "ours",
                .mValue = cpu * share * 1e6 / result.mTokens,
                .mUnit = "us"},
               aOptions.mJson);
}

}  // namespace

std::vector<ChainCandidate> MakeCandidates(int aCount, int aStages) {
  std::vector<ChainCandidate> candidates;
  std::mt19937 random(7);
  for (int i = 0; i < aCount; i++) {
    ChainCandidate engine;
    engine.mEngine = "gpu-" + std::to_string(i);
    engine.mZone = "zone-" + std::to_string(i % 3);
    engine.mAccelerator = i % 2 == 0 ? "a100" : "l40s";
    engine.mModel = "quill";
    engine.mVersion = "1";
    engine.mFirst = i % aStages * 4;
    engine.mLast = engine.mFirst + 4;
    engine.mWaitMillis = static_cast<double>(random() % 100);
    engine.mStepMillis = 20;
    candidates.push_back(engine);
  }
  return candidates;
}

void MeasureDecisionCost(const BenchOptions& aOptions) {
  double first = 0;
  for (const int count : {10, 100, 1000, 12000}) {
    const std::vector<ChainCandidate> candidates = MakeCandidates(count, 3);
    std::mt19937_64 random(1);
    ChainQuery query;
    query.mModel = "quill";
    query.mVersion = "1";
    query.mLayers = 12;
    query.mHomeZone = "zone-0";
    query.mLinkMillis = [](const std::string& aFrom, const std::string& aTo) {
      return aFrom == aTo ? 0.1 : 1.0;
    };
    query.mRandom = [&random] {
      return std::uniform_real_distribution<double>(0, 1)(random);
    };
    std::vector<double> runs;
    for (int run = 0; run < 5; run++) {
      const int rounds = std::max(5, 200000 / count);
      const double begin = NowMillis();
      for (int i = 0; i < rounds; i++) {
        ChooseChain(candidates, query);
      }
      runs.push_back((NowMillis() - begin) * 1000 / rounds);
    }
    Measure measure = FromRuns({.mMeasure = "decision",
                                .mCase = std::to_string(count) + " candidates",
                                .mVariant = "ours",
                                .mUnit = "us"},
                               runs);
    const double each = measure.mValue / count;
    first = first == 0 ? each : first;
    measure.mRatio = each / first;
    measure.mAgainst = "cost a candidate at 10";
    PrintMeasure(measure, aOptions.mJson);
  }
}

void MeasureOverhead(const BenchOptions& aOptions) {
  FleetOptions options;
  options.mRouters = 1;
  options.mEngines = 6;
  options.mLayerMicros = 1000;
  options.mBatch = 8;
  Fleet fleet(options);
  if (!fleet.Begin()) {
    std::cerr << "the fleet did not start\n";
    return;
  }
  const auto length = static_cast<Millis>(aOptions.mSeconds * 1000 / 6);
  MeasureCallOverhead(fleet, aOptions, length);
  MeasureTokenOverhead(fleet, aOptions, length);
  MeasureDecisionCost(aOptions);
}

void MeasureConfiguration(const BenchOptions& aOptions) {
  /// When each router had each version in force.
  struct Seen {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::map<std::int64_t, std::vector<double>> mAt;
  };
  Seen seen;
  FleetOptions options;
  options.mZones = 3;
  options.mRouters = 8;
  options.mEngines = 9;
  options.mControls = 3;
  options.mLayerMicros = 1000;
  options.mOnConfiguration = [&seen](int, std::int64_t aVersion) {
    const std::lock_guard lock(seen.mMutex);
    seen.mAt[aVersion].push_back(NowMillis());
    seen.mChanged.notify_all();
  };
  Fleet fleet(options);
  if (!fleet.Begin()) {
    std::cerr << "the fleet did not start\n";
    return;
  }
  std::vector<double> toAnswer;
  std::vector<double> toAll;
  const double routersBefore = fleet.CpuOfRouters();
  double controlsBefore = 0;
  for (const auto& control : fleet.mControls) {
    controlsBefore += control->CpuSeconds();
  }
  const double begin = NowMillis();
  std::int64_t version = 1;
  while (NowMillis() - begin < aOptions.mSeconds * 1000 - 4000) {
    version++;
    const std::string engine = fleet.EngineNames()[0];
    const double sent = NowMillis();
    const HttpResult result = fleet.Operator(
        "POST", "/v1/vms/" + engine + "/drain",
        version % 2 == 0 ? "{\"drain\":true}" : "{\"drain\":false}");
    if (result.mStatus != 200) {
      continue;
    }
    toAnswer.push_back(NowMillis() - sent);
    std::unique_lock lock(seen.mMutex);
    seen.mChanged.wait_for(lock, std::chrono::seconds(10), [&] {
      return seen.mAt[version].size() >= fleet.mRouters.size();
    });
    if (seen.mAt[version].size() >= fleet.mRouters.size()) {
      toAll.push_back(*std::max_element(seen.mAt[version].begin(),
                                        seen.mAt[version].end()) -
                      sent);
    }
  }
  const double seconds = (NowMillis() - begin) / 1000;
  const auto changes = static_cast<double>(toAll.size());
  const auto print = [&](const std::string& aWhat, double aValue,
                         const std::string& aUnit) {
    PrintMeasure({.mMeasure = aWhat,
                  .mCase = "8 routers, 3 zones",
                  .mVariant = "ours",
                  .mValue = aValue,
                  .mUnit = aUnit,
                  .mRuns = static_cast<int>(toAll.size()),
                  .mSpread = Spread(toAll)},
                 aOptions.mJson);
  };
  print("in_force_everywhere_p50", Median(toAll), "ms");
  print("in_force_everywhere_max", Percentile(toAll, 1), "ms");
  print("confirm_answer_p50", Median(toAnswer), "ms");
  print("changes_a_second", changes / seconds, "1/s");
  print("router_cpu_a_change",
        (fleet.CpuOfRouters() - routersBefore) * 1e6 / changes /
            static_cast<double>(fleet.mRouters.size()),
        "us");
  double controls = 0;
  for (const auto& control : fleet.mControls) {
    controls += control->CpuSeconds();
  }
  print("control_cpu_a_change",
        (controls - controlsBefore) * 1e6 / changes /
            static_cast<double>(fleet.mControls.size()),
        "us");
}

}  // namespace spindleweir
