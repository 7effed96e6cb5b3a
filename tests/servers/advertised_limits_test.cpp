/// Tests of advertised limits: what one router knows of them, and that all
/// routers together stay within them.
#include "spindleweir/servers/limits/advertised_limits.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStep = 10;
constexpr Millis kWindow = 4000;

AdvertisedLimitsOptions SingleRouter() {
  return {.mDemandOf =
              [](const std::string&) {
                return LimitDemand{.mLocal = 1, .mRouters = 1};
              },
          .mRandom = [] { return 0.5; }};
}

/// How requests arrive at the routers.
struct SimulationOptions {
  int mRouters = 8;
  double mPerSecond = 2;      ///< The limit.
  double mRequests = 100;     ///< Per second, at all routers.
  double mBusyFraction = 1;   ///< Part of the routers that get the requests.
  Millis mReportDelay = 500;  ///< Until the peers' demand is reported.
  bool mByDemand = true;      ///< If false, routers use equal parts.
  /// No request arrives in this time, and mBurst requests at its end.
  Millis mQuiet = 0;
  int mBurst = 0;
};

/// Routers that send to one upstream with a limit, as much as they may.
class LimitSimulation {
 public:
  LimitSimulation(SimulationOptions aOptions, unsigned aSeed)
      : mOptions(aOptions), mRandom(aSeed) {
    for (int i = 0; i < mOptions.mRouters; i++) {
      mRouters.push_back(
          std::make_unique<AdvertisedLimits>(AdvertisedLimitsOptions{
              .mDemandOf = [this,
                            i](const std::string&) { return DemandOf(i); },
              .mRandom = [this] { return Draw(); }}));
      (void)mRouters.back()->OnAnswer("a", mOptions.mPerSecond, 0, 0);
    }
  }

  void Run(Millis aTime) {
    for (; mNow < aTime; mNow += kStep) {
      const bool quiet = mOptions.mQuiet > 0 && mNow < mOptions.mQuiet;
      std::poisson_distribution<int> arrivals(quiet ? 0
                                                    : mOptions.mRequests / 100);
      int count = arrivals(mRandom);
      count += mNow == mOptions.mQuiet ? mOptions.mBurst : 0;
      for (int i = 0; i < count; i++) {
        TrySend(static_cast<int>(Draw() * BusyRouters()));
      }
    }
  }

  int MaxInWindow() const {
    int maxSent = 0;
    for (auto first = mSent.begin(); first != mSent.end(); first++) {
      const auto last = std::upper_bound(first, mSent.end(), *first + kWindow);
      maxSent = std::max(maxSent, static_cast<int>(last - first));
    }
    return maxSent;
  }

  double UsedFraction() const {
    return static_cast<double>(mSent.size()) * 1000 /
           (mOptions.mPerSecond * static_cast<double>(mNow));
  }

  int MaxAllowed() const {
    return static_cast<int>(mOptions.mPerSecond * 6 + 5);
  }

 private:
  double BusyRouters() const {
    return std::max(1.0, mOptions.mRouters * mOptions.mBusyFraction);
  }

  double Draw() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  LimitDemand DemandOf(int aRouter) const {
    const double each = mOptions.mRequests / BusyRouters();
    const bool busy = aRouter < BusyRouters();
    const bool reported = mOptions.mByDemand && mNow >= mOptions.mReportDelay;
    const double all = mOptions.mRequests;
    return {.mLocal = busy ? each : 0.001,
            .mPeers = reported ? all - (busy ? each : 0) : 0,
            .mPeersKnown = reported,
            .mRouters = mOptions.mRouters};
  }

  void TrySend(int aRouter) {
    AdvertisedLimits& limits = *mRouters[static_cast<std::size_t>(aRouter)];
    if (!limits.HeldUpstreams(mNow).contains("a")) {
      limits.OnRequestSent("a");
      mSent.push_back(mNow);
    }
  }

  SimulationOptions mOptions;
  std::mt19937 mRandom;
  Millis mNow = 0;
  std::vector<std::unique_ptr<AdvertisedLimits>> mRouters;
  std::vector<Millis> mSent;
};

/// Over some seeds: the maximum of requests in any window, and the mean part of
/// the limit that was used.
struct SimulationResult {
  int mMaxInWindow = 0;
  double mUsedFraction = 0;
};

SimulationResult Simulate(const SimulationOptions& aOptions) {
  constexpr unsigned kSeeds = 10;
  SimulationResult result;
  for (unsigned seed = 1; seed <= kSeeds; seed++) {
    LimitSimulation simulation(aOptions, seed);
    simulation.Run(60000);
    result.mMaxInWindow =
        std::max(result.mMaxInWindow, simulation.MaxInWindow());
    result.mUsedFraction += simulation.UsedFraction() / kSeeds;
    CHECK(simulation.MaxInWindow() <= simulation.MaxAllowed());
  }
  std::printf(
      "limit %.1f, %d routers, %.0f requests/s, busy %.2f, %s: max %d in 4 s, "
      "used %.2f\n",
      aOptions.mPerSecond, aOptions.mRouters, aOptions.mRequests,
      aOptions.mBusyFraction, aOptions.mByDemand ? "by demand" : "equal parts",
      result.mMaxInWindow, result.mUsedFraction);
  return result;
}

}  // namespace

Test(advertised_limits, last_as_long_as_answers_advertise_them) {
  AdvertisedLimits limits(SingleRouter());
  CHECK(limits.OnAnswer("a", 2.5, 10, 20));
  CHECK(limits.LimitOf("a") == 2.5);
  CHECK(!limits.OnAnswer("a", 2.5, 20, 30));
  SECTION("an answer to an earlier request does not end a limit") {
    CHECK(!limits.OnAnswer("a", std::nullopt, 25, 40));
    CHECK(limits.LimitOf("a") == 2.5);
  }
  SECTION("an answer to a later request without a limit ends it") {
    CHECK(limits.OnAnswer("a", std::nullopt, 31, 50));
    CHECK(!limits.LimitOf("a").has_value());
    CHECK(limits.HeldUpstreams(50).empty());
  }
  SECTION("a limit stays in force while no request is sent") {
    CHECK(limits.OnAnswer("a", 0.5, 60, 70));
    CHECK(limits.HeldUpstreams(1000000).empty());
    CHECK(limits.LimitOf("a") == 0.5);
    limits.OnRequestSent("a");
    CHECK(limits.HeldUpstreams(1000000).contains("a"));
  }
  SECTION(
      "an upstream with a limit of 0 is still sent a request now and then") {
    CHECK(limits.OnAnswer("a", 0, 1000001, 1000002));
    CHECK(limits.HeldUpstreams(1000100).contains("a"));
    CHECK(!limits.HeldUpstreams(1012000).contains("a"));
  }
  SECTION("an upstream that is gone has no limit") {
    limits.RetainKnown([](const std::string&) { return false; });
    CHECK(!limits.LimitOf("a").has_value());
    (void)limits.OnAnswer("a", 1, 0, 1012000);
  }
  SECTION("another incarnation has no limit") {
    limits.Forget("a");
    CHECK(!limits.LimitOf("a").has_value());
  }
}

Test(advertised_limits, are_reported_to_other_routers) {
  AdvertisedLimits one(SingleRouter());
  AdvertisedLimits peer(SingleRouter());
  (void)one.OnAnswer("a", 2.5, 0, 10);
  LoadShares reports;
  one.AddReport(reports, 20);
  peer.ApplyPeerReports(reports, 30);
  CHECK(peer.LimitOf("a") == 2.5);
  SECTION("a router that only received a limit does not report it") {
    LoadShares peerReport;
    peer.AddReport(peerReport, 40);
    CHECK(peerReport["a"].mLimitReporters == 0);
    CHECK(peerReport["a"].mDemandThousandths == 1000);
  }
  SECTION("a received limit ends when no peer reports it") {
    peer.ApplyPeerReports({}, 50);
    CHECK(!peer.LimitOf("a").has_value());
  }
  SECTION(
      "a router that saw a limit end reports the end, and stale reports of "
      "peers do not restore the limit") {
    (void)peer.OnAnswer("a", 2.5, 55, 60);
    CHECK(peer.OnAnswer("a", std::nullopt, 70, 80));
    peer.ApplyPeerReports(reports, 90);
    CHECK(!peer.LimitOf("a").has_value());
    LoadShares endReport;
    peer.AddReport(endReport, 100);
    one.ApplyPeerReports(endReport, 110);
    CHECK(one.LimitOf("a") == 2.5);
    one.ApplyPeerReports(endReport, 5000);
    CHECK(one.LimitOf("a") == 2.5);
    one.ApplyPeerReports(endReport, 5020);
    CHECK(!one.LimitOf("a").has_value());
    LoadShares lateReport;
    peer.AddReport(lateReport, 2600);
    CHECK(lateReport.empty());
  }
}

Test(advertised_limits, hold_for_all_routers_together) {
  SECTION("few and many routers with equal demand") {
    for (const int routers : {1, 8, 63, 195, 520}) {
      for (const double limit : {0.5, 2.0, 20.0}) {
        Simulate({.mRouters = routers, .mPerSecond = limit});
      }
    }
  }
  SECTION("a few routers with most of the demand may use most of the limit") {
    const SimulationOptions unevenDemand{.mRouters = 64,
                                         .mBusyFraction = 0.125};
    SimulationOptions equalParts = unevenDemand;
    equalParts.mByDemand = false;
    CHECK(Simulate(unevenDemand).mUsedFraction > 0.7);
    CHECK(Simulate(equalParts).mUsedFraction < 0.3);
  }
  SECTION(
      "requests that were not sent in a quiet time are not sent all at once") {
    for (const int routers : {8, 195, 520}) {
      Simulate({.mRouters = routers,
                .mRequests = 1000,
                .mQuiet = 20000,
                .mBurst = 5 * routers});
    }
  }
}
