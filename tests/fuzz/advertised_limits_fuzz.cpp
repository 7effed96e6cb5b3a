/// Fuzzing of advertised limits: what routers know of one upstream, with random
/// answers and reports, against an oracle that observes all answers.
#include <rapidcheck.h>

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/servers/limits/advertised_limits.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kRouters = 3;
constexpr double kPerSecond = 4;
constexpr Millis kEndTimeout = 60000;
const std::string kUpstream = "a";

AdvertisedLimitsOptions Options() {
  return {.mDemandOf =
              [](const std::string&) {
                return LimitDemand{.mLocal = 1,
                                   .mPeers = kRouters - 1,
                                   .mPeersKnown = true,
                                   .mRouters = kRouters};
              },
          .mRandom = [] { return 0.5; }};
}

/// An upstream and the routers that send to it. Reports are delivered at once.
class LimitSimulation {
 public:
  void Step(int aAction, Millis aTime) {
    mNow += aTime;
    const auto router = static_cast<std::size_t>(aAction) % kRouters;
    switch (aAction / static_cast<int>(kRouters) % 4) {
      case 0:
        SendRequest(router);
        break;
      case 1:
        mAdvertises = !mAdvertises;
        break;
      case 2:
        DeliverReports(router);
        break;
      default:
        DeliverLateAnswer(router);
    }
    CheckInvariants();
  }

  /// Checks that the limit ends on all routers once the upstream advertises
  /// none, while routers go on sending requests and reports.
  void CheckItEnds() {
    mAdvertises = false;
    for (int i = 0; i < 100; i++) {
      mNow += kEndTimeout / 100;
      for (std::size_t router = 0; router < kRouters; router++) {
        SendRequest(router);
        DeliverReports(router);
      }
    }
    for (AdvertisedLimits& limits : mLimits) {
      RC_ASSERT(!limits.LimitOf(kUpstream).has_value());
      RC_ASSERT(limits.HeldUpstreams(mNow).empty());
    }
  }

 private:
  /// Sends a request, if the router may, that is answered a millisecond later.
  void SendRequest(std::size_t aRouter) {
    AdvertisedLimits& limits = mLimits[aRouter];
    if (limits.HeldUpstreams(mNow).contains(kUpstream)) {
      return;
    }
    const bool limited = limits.LimitOf(kUpstream).has_value();
    limits.OnRequestSent(kUpstream);
    mSent += limited ? 1 : 0;
    const Millis begunAt = mNow++;
    Answer(aRouter, mAdvertises, begunAt);
  }

  /// Delivers an answer to an attempt that began before all others.
  void DeliverLateAnswer(std::size_t aRouter) {
    (void)mLimits[aRouter].OnAnswer(kUpstream, std::nullopt, 0, mNow);
  }

  void Answer(std::size_t aRouter, bool aAdvertises, Millis aBegunAt) {
    (void)mLimits[aRouter].OnAnswer(
        kUpstream, aAdvertises ? std::optional(kPerSecond) : std::nullopt,
        aBegunAt, mNow);
    mAdvertisedLast[aRouter] = aAdvertises;
    mAdvertisedAt[aRouter] = aAdvertises ? mNow : mAdvertisedAt[aRouter];
    if (!aAdvertises) {
      mEndObservedAt = mNow;
    }
  }

  void DeliverReports(std::size_t aRouter) {
    LoadShares reports;
    for (std::size_t other = 0; other < kRouters; other++) {
      if (other != aRouter) {
        LoadShares report;
        mLimits[other].AddReport(report, mNow);
        reports[kUpstream].mInstance = kUpstream;
        reports[kUpstream].Add(report[kUpstream], 1);
      }
    }
    mLimits[aRouter].ApplyPeerReports(reports, mNow);
  }

  /// A router whose last answer advertised the limit applies it, unless a
  /// router has observed its end since.
  void CheckInvariants() {
    for (std::size_t router = 0; router < kRouters; router++) {
      if (mAdvertisedLast[router] && mAdvertisedAt[router] > mEndObservedAt) {
        RC_ASSERT(mLimits[router].LimitOf(kUpstream) == kPerSecond);
      }
    }
    // Each router saves up at most two credits.
    const double maxSent =
        kPerSecond * static_cast<double>(mNow) / 1000 + 2 * kRouters;
    RC_ASSERT(mSent <= maxSent);
  }

  std::array<AdvertisedLimits, kRouters> mLimits{AdvertisedLimits(Options()),
                                                 AdvertisedLimits(Options()),
                                                 AdvertisedLimits(Options())};
  std::array<bool, kRouters> mAdvertisedLast{};
  std::array<Millis, kRouters> mAdvertisedAt{};
  Millis mEndObservedAt = 0;
  Millis mNow = 1;
  int mSent = 0;
  bool mAdvertises = false;
};

}  // namespace

Test(advertised_limits_fuzz, are_in_force_as_answers_advertise_them) {
  CHECK(rc::check("limits are in force as answers advertise them", [] {
    LimitSimulation simulation;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(1, 700)));
    for (const auto& [action, time] : steps) {
      simulation.Step(action, time);
    }
    simulation.CheckItEnds();
  }));
}
