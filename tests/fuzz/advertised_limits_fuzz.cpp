/// Limits that upstreams name, played at random against an oracle that sees
/// all answers: what routers know of one upstream, told with the loads.
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
constexpr Millis kLong = 60000;
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

/// An upstream and the routers that ask it, with all news delivered at once.
class Play {
 public:
  void Step(int aWhat, Millis aTime) {
    mNow += aTime;
    const auto router = static_cast<std::size_t>(aWhat) % kRouters;
    switch (aWhat / static_cast<int>(kRouters) % 4) {
      case 0:
        Ask(router);
        break;
      case 1:
        mNames = !mNames;
        break;
      case 2:
        TellOf(router);
        break;
      default:
        Late(router);
    }
    Check();
  }

  /// The upstream names none any more, and routers ask on and tell each other.
  void CheckItEnds() {
    mNames = false;
    for (int i = 0; i < 100; i++) {
      mNow += kLong / 100;
      for (std::size_t router = 0; router < kRouters; router++) {
        Ask(router);
        TellOf(router);
      }
    }
    for (AdvertisedLimits& limits : mLimits) {
      RC_ASSERT(!limits.LimitOf(kUpstream).has_value());
      RC_ASSERT(limits.HeldUpstreams(mNow).empty());
    }
  }

 private:
  /// Where it may, a router asks and is answered a moment later.
  void Ask(std::size_t aRouter) {
    AdvertisedLimits& limits = mLimits[aRouter];
    if (limits.HeldUpstreams(mNow).contains(kUpstream)) {
      return;
    }
    const bool limited = limits.LimitOf(kUpstream).has_value();
    limits.OnRequestSent(kUpstream);
    mSent += limited ? 1 : 0;
    const Millis begunAt = mNow++;
    Answer(aRouter, mNames, begunAt);
  }

  /// An answer comes that was sent before all that are known.
  void Late(std::size_t aRouter) {
    (void)mLimits[aRouter].OnAnswer(kUpstream, std::nullopt, 0, mNow);
  }

  void Answer(std::size_t aRouter, bool aNames, Millis aBegunAt) {
    (void)mLimits[aRouter].OnAnswer(
        kUpstream, aNames ? std::optional(kPerSecond) : std::nullopt, aBegunAt,
        mNow);
    mNamedLast[aRouter] = aNames;
    mNamedAt[aRouter] = aNames ? mNow : mNamedAt[aRouter];
    if (!aNames) {
      mEndSeenAt = mNow;
    }
  }

  void TellOf(std::size_t aRouter) {
    LoadShares told;
    for (std::size_t other = 0; other < kRouters; other++) {
      if (other != aRouter) {
        LoadShares one;
        mLimits[other].AddReport(one, mNow);
        told[kUpstream].mInstance = kUpstream;
        told[kUpstream].Add(one[kUpstream], 1);
      }
    }
    mLimits[aRouter].ApplyPeerReports(told, mNow);
  }

  /// Whom an upstream named a limit to last, and nobody saw it end since, goes
  /// by it.
  void Check() {
    for (std::size_t router = 0; router < kRouters; router++) {
      if (mNamedLast[router] && mNamedAt[router] > mEndSeenAt) {
        RC_ASSERT(mLimits[router].LimitOf(kUpstream) == kPerSecond);
      }
    }
    // Each keeps at most two at once.
    const double most =
        kPerSecond * static_cast<double>(mNow) / 1000 + 2 * kRouters;
    RC_ASSERT(mSent <= most);
  }

  std::array<AdvertisedLimits, kRouters> mLimits{AdvertisedLimits(Options()),
                                                 AdvertisedLimits(Options()),
                                                 AdvertisedLimits(Options())};
  std::array<bool, kRouters> mNamedLast{};
  std::array<Millis, kRouters> mNamedAt{};
  Millis mEndSeenAt = 0;
  Millis mNow = 1;
  int mSent = 0;
  bool mNames = false;
};

}  // namespace

Test(advertised_limits_fuzz, hold_and_end_as_answers_say) {
  CHECK(rc::check("as answers say", [] {
    Play play;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(1, 700)));
    for (const auto& [what, time] : steps) {
      play.Step(what, time);
    }
    play.CheckItEnds();
  }));
}
