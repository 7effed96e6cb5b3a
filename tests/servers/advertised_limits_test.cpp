/// Limits that upstreams name: what one router knows of them, and that all
/// routers together keep to them.
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

AdvertisedLimitsOptions Alone() {
  return {.mDemandOf =
              [](const std::string&) {
                return LimitDemand{.mLocal = 1, .mRouters = 1};
              },
          .mRandom = [] { return 0.5; }};
}

/// How requests come to the routers.
struct PlayOptions {
  int mRouters = 8;
  double mPerSecond = 2;   ///< The limit.
  double mRequests = 100;  ///< A second, at all routers.
  double mBusyShare = 1;   ///< LimitOf the routers, that get all of them.
  Millis mLag = 500;       ///< LimitOf what routers know of each other.
  bool mByDemand = true;   ///< Else in equal parts.
  /// So long nothing comes, and then this many requests at once.
  Millis mQuiet = 0;
  int mBurst = 0;
};

/// Routers that all send to one upstream with a limit whatever they may.
class LimitPlay {
 public:
  LimitPlay(PlayOptions aOptions, unsigned aSeed)
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
      std::poisson_distribution<int> come(quiet ? 0 : mOptions.mRequests / 100);
      int n = come(mRandom);
      n += mNow == mOptions.mQuiet ? mOptions.mBurst : 0;
      for (int i = 0; i < n; i++) {
        Ask(static_cast<int>(Draw() * Busy()));
      }
    }
  }

  int MostInWindow() const {
    int most = 0;
    for (auto first = mSent.begin(); first != mSent.end(); first++) {
      const auto last = std::upper_bound(first, mSent.end(), *first + kWindow);
      most = std::max(most, static_cast<int>(last - first));
    }
    return most;
  }

  double UsedPart() const {
    return static_cast<double>(mSent.size()) * 1000 /
           (mOptions.mPerSecond * static_cast<double>(mNow));
  }

  int Allowed() const { return static_cast<int>(mOptions.mPerSecond * 6 + 5); }

 private:
  double Busy() const {
    return std::max(1.0, mOptions.mRouters * mOptions.mBusyShare);
  }

  double Draw() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  LimitDemand DemandOf(int aRouter) const {
    const double each = mOptions.mRequests / Busy();
    const bool busy = aRouter < Busy();
    const bool told = mOptions.mByDemand && mNow >= mOptions.mLag;
    const double all = mOptions.mRequests;
    return {.mLocal = busy ? each : 0.001,
            .mPeers = told ? all - (busy ? each : 0) : 0,
            .mPeersKnown = told,
            .mRouters = mOptions.mRouters};
  }

  void Ask(int aRouter) {
    AdvertisedLimits& limits = *mRouters[static_cast<std::size_t>(aRouter)];
    if (!limits.HeldUpstreams(mNow).contains("a")) {
      limits.OnRequestSent("a");
      mSent.push_back(mNow);
    }
  }

  PlayOptions mOptions;
  std::mt19937 mRandom;
  Millis mNow = 0;
  std::vector<std::unique_ptr<AdvertisedLimits>> mRouters;
  std::vector<Millis> mSent;
};

/// The most in any window over some seeds; the mean part of the limit used.
struct PlayResult {
  int mMost = 0;
  double mUtilization = 0;
};

PlayResult Play(const PlayOptions& aOptions) {
  constexpr unsigned kSeeds = 10;
  PlayResult result;
  for (unsigned seed = 1; seed <= kSeeds; seed++) {
    LimitPlay play(aOptions, seed);
    play.Run(60000);
    result.mMost = std::max(result.mMost, play.MostInWindow());
    result.mUtilization += play.UsedPart() / kSeeds;
    CHECK(play.MostInWindow() <= play.Allowed());
  }
  std::printf(
      "limit %.1f, %d routers, %.0f requests/s, busy %.2f, %s: most %d in 4 s, "
      "used %.2f\n",
      aOptions.mPerSecond, aOptions.mRouters, aOptions.mRequests,
      aOptions.mBusyShare, aOptions.mByDemand ? "by demand" : "equal parts",
      result.mMost, result.mUtilization);
  return result;
}

}  // namespace

Test(advertised_limits, hold_for_as_long_as_answers_name_them) {
  AdvertisedLimits limits(Alone());
  CHECK(limits.OnAnswer("a", 2.5, 10, 20));
  CHECK(limits.LimitOf("a") == 2.5);
  CHECK(!limits.OnAnswer("a", 2.5, 20, 30));
  SECTION("an answer that was on its way does not end one") {
    CHECK(!limits.OnAnswer("a", std::nullopt, 25, 40));
    CHECK(limits.LimitOf("a") == 2.5);
  }
  SECTION("one to a later request does") {
    CHECK(limits.OnAnswer("a", std::nullopt, 31, 50));
    CHECK(!limits.LimitOf("a").has_value());
    CHECK(limits.HeldUpstreams(50).empty());
  }
  SECTION("nobody asks, and it holds on") {
    CHECK(limits.OnAnswer("a", 0.5, 60, 70));
    CHECK(limits.HeldUpstreams(1000000).empty());
    CHECK(limits.LimitOf("a") == 0.5);
    limits.OnRequestSent("a");
    CHECK(limits.HeldUpstreams(1000000).contains("a"));
  }
  SECTION("who takes nothing is still asked now and then") {
    CHECK(limits.OnAnswer("a", 0, 1000001, 1000002));
    CHECK(limits.HeldUpstreams(1000100).contains("a"));
    CHECK(!limits.HeldUpstreams(1012000).contains("a"));
  }
  SECTION("who has gone has none") {
    limits.RetainKnown([](const std::string&) { return false; });
    CHECK(!limits.LimitOf("a").has_value());
    (void)limits.OnAnswer("a", 1, 0, 1012000);
  }
  SECTION("another incarnation has none") {
    limits.Forget("a");
    CHECK(!limits.LimitOf("a").has_value());
  }
}

Test(advertised_limits, are_told_to_other_routers) {
  AdvertisedLimits one(Alone());
  AdvertisedLimits other(Alone());
  (void)one.OnAnswer("a", 2.5, 0, 10);
  LoadShares told;
  one.AddReport(told, 20);
  other.ApplyPeerReports(told, 30);
  CHECK(other.LimitOf("a") == 2.5);
  SECTION("who only heard of it does not tell of it") {
    LoadShares again;
    other.AddReport(again, 40);
    CHECK(again["a"].mLimitReporters == 0);
    CHECK(again["a"].mDemandThousandths == 1000);
  }
  SECTION("it ends with the news of it") {
    other.ApplyPeerReports({}, 50);
    CHECK(!other.LimitOf("a").has_value());
  }
  SECTION(
      "who saw it end tells so, and others' old word does not bring it back") {
    (void)other.OnAnswer("a", 2.5, 55, 60);
    CHECK(other.OnAnswer("a", std::nullopt, 70, 80));
    other.ApplyPeerReports(told, 90);
    CHECK(!other.LimitOf("a").has_value());
    LoadShares ended;
    other.AddReport(ended, 100);
    one.ApplyPeerReports(ended, 110);
    CHECK(one.LimitOf("a") == 2.5);
    one.ApplyPeerReports(ended, 5000);
    CHECK(one.LimitOf("a") == 2.5);
    one.ApplyPeerReports(ended, 5020);
    CHECK(!one.LimitOf("a").has_value());
    LoadShares later;
    other.AddReport(later, 2600);
    CHECK(later.empty());
  }
}

Test(advertised_limits, hold_over_all_routers) {
  SECTION("few and many, asked evenly") {
    for (const int routers : {1, 8, 63, 195, 520}) {
      for (const double limit : {0.5, 2.0, 20.0}) {
        Play({.mRouters = routers, .mPerSecond = limit});
      }
    }
  }
  SECTION("where a few routers are asked most they have most of it") {
    const PlayOptions uneven{.mRouters = 64, .mBusyShare = 0.125};
    PlayOptions equal = uneven;
    equal.mByDemand = false;
    CHECK(Play(uneven).mUtilization > 0.7);
    CHECK(Play(equal).mUtilization < 0.3);
  }
  SECTION("after a quiet time what was left unused does not come at once") {
    for (const int routers : {8, 195, 520}) {
      Play({.mRouters = routers,
            .mRequests = 1000,
            .mQuiet = 20000,
            .mBurst = 5 * routers});
    }
  }
}
