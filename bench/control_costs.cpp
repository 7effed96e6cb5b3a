/// Measures what the work of one control process costs, cause by cause, at
/// growing numbers of engines: the figures of docs/design/control-load.md.
#include <ctime>
#include <functional>

#include "bench/commands.h"
#include "bench/measure.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/placement/layer_planner.h"

namespace spindleweir {

namespace {

constexpr int kZones = 3;
constexpr int kLayers = 80;
constexpr int kRoutersOfControl = 50;
constexpr int kEnginesOfRouter = 30;

double CpuMillis() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

/// Three kinds in the proportions of a mixed fleet: few fast, many small.
EngineProfile Profile() {
  EngineProfile profile;
  profile.mLayers = kLayers;
  profile.mLayerMb = 1750;
  profile.mSlots = 192;
  profile.mTokenBytes = 918000;
  profile.mCapacityTokens = 100000;
  profile.mIntraZoneMbps = 400000;
  profile.mInterZoneMbps = 4300;
  profile.mStepMillis = 0.85;
  profile.mPromptTokensPerSecond = 353000;
  profile.mKinds = {{"fast", 36000, 3.1, 3.2},
                    {"middle", 22000, 16, 8.2},
                    {"small", 14000, 15, 15}};
  return profile;
}

UpstreamRecord Engine(int aNumber) {
  const char* kind = aNumber % 14 == 0  ? "fast"
                     : aNumber % 2 == 0 ? "middle"
                                        : "small";
  return {.mInstance = "i-" + std::to_string(10000000 + aNumber),
          .mService = "model",
          .mAddress = "10.1." + std::to_string(aNumber / 250) + "." +
                      std::to_string(aNumber % 250) + ":8080",
          .mZone = "zone-" + std::to_string(aNumber % kZones),
          .mKind = kind,
          .mSlots = 192,
          .mSequence = 1};
}

LoadShares WorkOf(int aFirst, int aCount, int aEngines) {
  LoadShares shares;
  for (int i = 0; i < aCount; i++) {
    const UpstreamRecord engine = Engine((aFirst + i) % aEngines);
    shares[engine.mInstance] = {.mInstance = engine.mInstance,
                                .mRequests = 2 + i % 5,
                                .mTokenLayers = 9000 + i,
                                .mFirstStageRequests = i % 3,
                                .mPrefillTokenLayers = i * 7};
  }
  return shares;
}

class ControlCosts {
 public:
  ControlCosts(const BenchOptions& aOptions, int aEngines)
      : mOptions(aOptions), mEngines(aEngines) {}

  void Run() {
    FillRegistry();
    Heartbeats();
    Lists();
    Loads();
    Plans();
  }

 private:
  void Time(const char* aWhat, int aTimes, const std::function<void()>& aWork) {
    const double before = CpuMillis();
    for (int i = 0; i < aTimes; i++) {
      aWork();
    }
    PrintMeasure({.mMeasure = "control",
                  .mCase = std::to_string(mEngines) + " engines",
                  .mVariant = aWhat,
                  .mValue = (CpuMillis() - before) / aTimes,
                  .mUnit = "ms"},
                 mOptions.mJson);
  }

  void FillRegistry() {
    Time("all engines become known", 1, [this] {
      for (int i = 0; i < mEngines; i++) {
        mRegistry.ApplyHeartbeat(Engine(i), 1000);
      }
    });
  }

  void Heartbeats() {
    Time("one heartbeat of each engine, taken", 1, [this] {
      for (int i = 0; i < mEngines; i++) {
        UpstreamRecord record = Engine(i);
        record.mSequence = 2;
        mRegistry.ApplyHeartbeat(record, 2200);
      }
    });
    std::string text;
    Time("one heartbeat of each, told to another control", 1, [&] {
      text = DumpJson(ToJson(HeartbeatTable::Of(
          mRegistry.HeartbeatsSince(0, mRegistry.Revision(), 2300))));
    });
    UpstreamRegistry other;
    for (const UpstreamRecord& record : mRegistry.ChangedSince(0, 2300)) {
      other.Merge(record, 2300);
    }
    Time("the same, read there", 1, [&] {
      for (const UpstreamHeartbeat& beat :
           FromJson<HeartbeatTable>(ParseJson(text)).Heartbeats()) {
        other.MergeHeartbeat(beat, 2400);
      }
    });
    Time("a check for silence", 10, [this] { mRegistry.Expire(9999, 3000); });
  }

  void Lists() {
    std::string text;
    Time("the list of all, packed", 1,
         [&] { text = PackUpstreams(mRegistry.ChangedSince(0, 2300)); });
    Time("the list of all, read by a router", 1, [&] {
      UpstreamRegistry other;
      for (const UpstreamRecord& record : UnpackUpstreams(text)) {
        other.Merge(record, 2400);
      }
    });
    UpstreamFeed feed{UpstreamFeedOptions{}};
    feed.UpdatesSince(mRegistry, 0, 2300);
    Time("the list of all, for one more asker", 10,
         [&] { feed.UpdatesSince(mRegistry, 0, 2310); });
    Time("nothing new for one asker", 10,
         [&] { feed.UpdatesSince(mRegistry, mRegistry.Revision(), 2320); });
  }

  void Loads() {
    LoadAggregator book({.mReportRetention = 2500,
                         .mSumInterval = 0,
                         .mRowsPerMilli = 1000000,
                         .mLocalRowsPerMilli = 1000000});
    for (int i = 0; i < kRoutersOfControl; i++) {
      book.OnRouterReport(
          "r" + std::to_string(i), 1,
          WorkOf(i * kEnginesOfRouter, kEnginesOfRouter, mEngines), 1000);
    }
    std::string own;
    Time("loads of its own routers, packed", 5,
         [&] { own = book.PackedLocal(1000).mText; });
    const LoadShares share = WorkOf(0, mEngines / kZones, mEngines);
    const std::string packed = PackLoads(share);
    Time("loads of another control, read", 5, [&] { UnpackLoads(packed); });
    for (int i = 0; i < kZones; i++) {
      book.OnControlReport(
          "c" + std::to_string(i),
          WorkOf(i * mEngines / kZones, mEngines / kZones, mEngines), 1, 1000);
    }
    const ZoneHook zoneOf = [this](const std::string& aInstance) {
      return mRegistry.Find(aInstance)->mZone;
    };
    std::string sum;
    Millis now = 1000;
    Time("loads of all, summed", 5,
         [&] { book.UnreachableUpstreams(2, ++now); });
    Time("loads of all, summed and packed", 5,
         [&] { sum = book.PackedSum("zone-0", zoneOf, ++now).mText; });
    Time("loads of all, read by a router", 5, [&] { UnpackLoads(sum); });
    PrintMeasure({.mMeasure = "control",
                  .mCase = std::to_string(mEngines) + " engines",
                  .mVariant = "loads of all",
                  .mValue = static_cast<double>(sum.size()),
                  .mUnit = "bytes"},
                 mOptions.mJson);
  }

  void Plans() {
    const EngineProfile profile = Profile();
    std::vector<UpstreamRecord> records;
    for (int i = 0; i < mEngines; i++) {
      records.push_back(Engine(i));
    }
    std::vector<const UpstreamRecord*> views;
    for (const UpstreamRecord& record : records) {
      views.push_back(&record);
    }
    std::vector<LayerOrder> orders;
    Time("all engines placed", 1, [&] { orders = PlanLayers(profile, views); });
    std::map<std::string, LayerRange> dealt;
    for (const LayerOrder& order : orders) {
      dealt[order.mInstance] = order.mLayers;
    }
    for (UpstreamRecord& record : records) {
      record.mLayers = dealt[record.mInstance];
    }
    Time("all hold layers: nothing to do", 1,
         [&] { PlanLayers(profile, views); });
    Time("four engines lost", 1, [&] {
      const std::vector<const UpstreamRecord*> left(views.begin() + 4,
                                                    views.end());
      PlanLayers(profile, left);
    });
    for (int i = 0; i < 4; i++) {
      records[static_cast<std::size_t>(i)].mLayers = {};
    }
    Time("four engines came empty", 1, [&] { PlanLayers(profile, views); });
  }

  const BenchOptions& mOptions;
  int mEngines;
  UpstreamRegistry mRegistry;
};

}  // namespace

void MeasureControl(const BenchOptions& aOptions) {
  for (const int engines : {300, 1000, 3000}) {
    ControlCosts(aOptions, engines).Run();
  }
}

}  // namespace spindleweir
