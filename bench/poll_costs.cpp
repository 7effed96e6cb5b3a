/// Measures what the polls of routers and controls cost one control process, by
/// kind, at growing numbers of routers: bytes and processor time of one poll
/// and its answer, and their sums per second at the intervals of the poll
/// schedule. Calls no network: HTTP's own bytes and work are not included.
#include <ctime>
#include <functional>

#include "bench/commands.h"
#include "bench/measure.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/membership/poll_schedule.h"

namespace spindleweir {

namespace {

constexpr int kZones = 5;
constexpr int kRoutersPerControl = 40;
/// Each router polls its nearest control and two others.
constexpr std::size_t kPollersPerControl = 120;
constexpr int kUpstreamsPerRouter = 3;
/// Upstreams that a router sends requests to at one time.
constexpr int kBusyUpstreams = 12;
constexpr int kHeartbeatMillis = 5000;
constexpr int kRounds = 20;
constexpr double kMillisPerSecond = 1000;

double CpuMillis() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

UpstreamRecord Upstream(int aNumber) {
  return {.mInstance = "i-" + std::to_string(10000000 + aNumber),
          .mStart = 1700000000000,
          .mService = "model",
          .mAddress = "10." + std::to_string(aNumber % kZones) + "." +
                      std::to_string(aNumber / 250) + "." +
                      std::to_string(aNumber % 250) + ":8080",
          .mZone = "zone-" + std::to_string(aNumber % kZones),
          .mKind = "small",
          .mSlots = 192,
          .mSequence = 1,
          .mLayers = {0, 8}};
}

LoadShares LoadOf(int aRouter, int aUpstreams) {
  LoadShares shares;
  for (int i = 0; i < kBusyUpstreams; i++) {
    const std::string instance =
        Upstream((aRouter * 7 + i * 13) % aUpstreams).mInstance;
    shares[instance] = {.mInstance = instance,
                        .mRequests = 1 + i % 3,
                        .mTokenLayers = 9000 + i,
                        .mFirstStageRequests = i % 2,
                        .mPrefillTokenLayers = i * 7};
  }
  return shares;
}

/// One poll and its answer as they are sent.
struct PollCost {
  double mBytes = 0;
  double mMillis = 0;  ///< Of the control that answers.
};

/// One control of a fleet of aRouters routers.
class ControlOfFleet {
 public:
  ControlOfFleet(const BenchOptions& aOptions, int aRouters)
      : mOptions(aOptions),
        mRouters(aRouters),
        mControls(aRouters / kRoutersPerControl),
        mUpstreams(aRouters * kUpstreamsPerRouter) {
    for (int i = 0; i < mUpstreams; i++) {
      mRegistry.ApplyHeartbeat(Upstream(i), 1000);
    }
    for (int i = 0; i < kRoutersPerControl; i++) {
      mLoads.OnRouterReport("r" + std::to_string(i), 1, LoadOf(i, mUpstreams),
                            1000);
    }
    for (int i = 1; i < mControls; i++) {
      mLoads.OnControlReport("c" + std::to_string(i), LoadsOfControl(i),
                             kRoutersPerControl, 1000);
    }
  }

  void Run() {
    const Millis interval = RouterPollInterval(kPollersPerControl);
    const Millis others =
        NextPollDelay({.mInterval = interval, .mNearestAnswers = true});
    const Millis between =
        ControlPollInterval(static_cast<std::size_t>(mControls));
    Report("nearest", NearestPoll(), kRoutersPerControl, interval);
    Report("others", OthersPoll(), 2 * kRoutersPerControl, others);
    Report("controls", ControlsPoll(), mControls - 1, between);
  }

 private:
  LoadShares LoadsOfControl(int aControl) const {
    LoadShares sum;
    for (int i = 0; i < kRoutersPerControl; i++) {
      const int router = aControl * kRoutersPerControl + i;
      for (const auto& [instance, share] : LoadOf(router, mUpstreams)) {
        sum[instance].mInstance = instance;
        sum[instance].Add(share, 1);
      }
    }
    return sum;
  }

  /// Reads a request and writes the answer that aAnswer makes of it.
  static PollCost Measure(
      const SyncRequest& aRequest,
      const std::function<SyncAnswer(const SyncRequest&)>& aAnswer) {
    const std::string request = DumpJson(ToJson(aRequest));
    std::string answer;
    const double before = CpuMillis();
    for (int i = 0; i < kRounds; i++) {
      const auto read = FromJson<SyncRequest>(ParseJson(request));
      answer = DumpJson(ToJson(aAnswer(read)));
    }
    return {.mBytes = static_cast<double>(request.size() + answer.size()),
            .mMillis = (CpuMillis() - before) / kRounds};
  }

  PollCost NearestPoll() {
    SyncRequest request{.mProcess = "router-1/abcdef", .mZone = "zone-0"};
    request.mReportsLoads = 2;
    request.mLoads = LoadTable::Of(LoadOf(1, mUpstreams));
    const ZoneHook zoneOf = [this](const std::string& aInstance) {
      return mRegistry.Find(aInstance)->mZone;
    };
    return Measure(request, [&](const SyncRequest& aRequest) {
      mLoads.OnRouterReport("r1", ++mSequence, aRequest.mLoads.ToShares(),
                            1100);
      SyncAnswer answer{.mIncarnation = "abcdef"};
      answer.mPackedLoads =
          mLoads.PackedSum(aRequest.mZone, zoneOf, 1100).mText;
      return answer;
    });
  }

  PollCost OthersPoll() {
    return Measure({.mProcess = "router-1/abcdef", .mZone = "zone-0"},
                   [](const SyncRequest&) {
                     return SyncAnswer{.mIncarnation = "abcdef"};
                   });
  }

  /// Between two polls of one control, the answerer received the heartbeats of
  /// its own part of the upstreams that fell due.
  PollCost ControlsPoll() {
    SyncRequest request{.mProcess = "c1", .mZone = "zone-0"};
    request.mControl = {.mId = "10.0.0.1:7440#first", .mZone = "zone-0"};
    for (int i = 1; i < mControls; i++) {
      request.mAnsweringIncarnations.push_back("c" +
                                               std::to_string(100000 + i));
    }
    const auto between = static_cast<int>(
        ControlPollInterval(static_cast<std::size_t>(mControls)));
    const int heartbeats = mUpstreams / mControls * between / kHeartbeatMillis;
    return Measure(request, [&](const SyncRequest&) {
      std::vector<UpstreamHeartbeat> rows;
      for (int i = 0; i < heartbeats; i++) {
        rows.push_back({.mInstance = Upstream(i).mInstance, .mSequence = 7});
      }
      SyncAnswer answer{.mIncarnation = "abcdef"};
      answer.mHeartbeats = ToJson(HeartbeatTable::Of(rows));
      answer.mPackedLoads = mLoads.PackedLocal(1100).mText;
      return answer;
    });
  }

  void Report(const char* aKind, const PollCost& aCost, int aPollers,
              Millis aInterval) const {
    const double perSecond =
        kMillisPerSecond * aPollers / static_cast<double>(aInterval);
    const std::string variant = aKind;
    Print(variant + ", polls", perSecond, "1/s");
    Print(variant + ", a poll", aCost.mBytes, "bytes");
    Print(variant + ", a poll", aCost.mMillis, "ms");
    Print(variant + ", all", aCost.mBytes * perSecond, "bytes/s");
    Print(variant + ", all", aCost.mMillis * perSecond, "ms/s");
  }

  void Print(const std::string& aVariant, double aValue,
             const char* aUnit) const {
    PrintMeasure({.mMeasure = "polls",
                  .mCase = std::to_string(mRouters) + " routers",
                  .mVariant = aVariant,
                  .mValue = aValue,
                  .mUnit = aUnit},
                 mOptions.mJson);
  }

  const BenchOptions& mOptions;
  int mRouters;
  int mControls;
  int mUpstreams;
  std::int64_t mSequence = 1;
  UpstreamRegistry mRegistry;
  LoadAggregator mLoads{LoadAggregatorOptions{}};
};

}  // namespace

void MeasurePolls(const BenchOptions& aOptions) {
  for (const int routers : {300, 1000, 2000}) {
    ControlOfFleet(aOptions, routers).Run();
  }
}

}  // namespace spindleweir
