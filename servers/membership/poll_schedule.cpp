#include "spindleweir/servers/membership/poll_schedule.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// How often one is asked that did not say how often it wants to be.
constexpr Millis kFirstPeriod = 150;
/// All but the nearest are asked more seldom: they are there for when it is
/// lost, and a control has two of them for each router of its own.
constexpr double kOthersFactor = 4;
/// As seldom as that at most while the nearest answers: of 51 MB between zones
/// that 83 routers and 6 controls paid in 48 s, 25.8 MB were these questions.
constexpr double kMostOthersFactor = 8;
/// Yet an upstream that leaves must get no new work within 2 s also where the
/// nearest control is cut off from the one that heard of it.
constexpr Millis kMostOthersPeriod = 1200;
constexpr Millis kTimeout = 1000;
/// Until a configuration is held: a control whose VM is still starting drops
/// what comes, so that waiting long for it delays the first answer.
constexpr Millis kFirstTimeout = 300;
/// A control that does not answer is asked more and more seldom, and waited for
/// longer, up to so many times the usual: 31 routers that started together and
/// asked again each 0.3 s kept two controls of 0.15 cores busy for 10 s with
/// answers that nobody waited for any more.
constexpr int kMostBackOff = 4;
/// The part of the usual time after which a router that may not act asks the
/// nearest control again: what it waits for, a leader, comes within a fifth of
/// a second. The others are asked half as often, since the nearest may be no
/// voter, which hears of a leader late: a zone of 13 routers that asked them
/// each 0.6 s acted 0.4 s after all else.
constexpr double kLackingFactor = 0.5;
constexpr double kLackingOthers = 2;
/// And not sooner than so many milliseconds for each router that there is: five
/// controls then answer 500 questions a second each at most, of 0.25 ms, while
/// 0.15 of a core is all that they have.
constexpr double kLackingEachRouter = 0.8;
/// Where there are more routers than this none asks sooner: 300 that have lost
/// their lease would ask each control three times as often as usual, just when
/// it has to elect, to read the configuration and to list 3,000 upstreams.
constexpr int kMostAskingSooner = 200;
/// One that turned a question away did no work for it, and is asked again as
/// soon as it may listen: processes that start together listen within 0.25 s
/// of each other.
constexpr Millis kAfterRefusal = 100;
/// The part of a longer wait that is not left to chance.
constexpr double kLeastSpread = 0.5;

/// With more upstreams only the nearest control tells their changes.
constexpr std::size_t kToldByAll = 400;

/// How often a control that is not the nearest is asked.
Millis OthersPeriod(const PolledControl& aControl, Millis aPeriod) {
  const auto least = static_cast<Millis>(kOthersFactor * aPeriod);
  if (!aControl.mNearestAnswers) {
    return least;
  }
  const double factor =
      std::clamp(kOthersFactor * (1 + aControl.mCosts.mInterZoneByte),
                 kOthersFactor, kMostOthersFactor);
  const auto wanted = static_cast<Millis>(factor * aPeriod);
  return std::max(least, std::min(wanted, kMostOthersPeriod));
}

int BackOff(int aFailures) {
  return std::min(kMostBackOff, 1 << std::min(aFailures, kMostBackOff));
}

/// Of the period, for a router that may not act.
double LackingFactor(const PolledControl& aControl, Millis aPeriod) {
  const double least = aControl.mRouterCount * kLackingEachRouter;
  const double near =
      std::max(kLackingFactor, least / static_cast<double>(aPeriod));
  return aControl.mIsNearest ? near : near * kLackingOthers;
}

/// Whether so few routers ask that controls have time for more. One that has
/// just started does not know: all of 300 that did took themselves for the only
/// one, asked thrice as often as usual, and no control got to a configuration.
bool AsksSooner(const PolledControl& aControl) {
  return aControl.mRouterCount > 1 &&
         aControl.mRouterCount <= kMostAskingSooner;
}

}  // namespace

Millis NextPollDelay(const PolledControl& aControl) {
  if (aControl.mWasRefused && aControl.mLacksLease) {
    return kAfterRefusal;
  }
  const Millis period =
      aControl.mInterval > 0 ? aControl.mInterval : kFirstPeriod;
  const int backOff = BackOff(aControl.mFailures);
  const double spread =
      backOff == 1 ? 1 : kLeastSpread + (1 - kLeastSpread) * aControl.mJitter;
  double usual = static_cast<double>(
      aControl.mIsNearest ? period : OthersPeriod(aControl, period));
  if (aControl.mLacksLease && AsksSooner(aControl)) {
    const double lacking =
        static_cast<double>(period) * LackingFactor(aControl, period);
    usual = std::min(usual, lacking);
  }
  return static_cast<Millis>(usual * backOff * spread);
}

bool SendsUpstreamChanges(const PollingRouter& aAsker, std::size_t aUpstreams) {
  return aUpstreams <= kToldByAll || aAsker.mIsNearest ||
         !aAsker.mNearestAnswers;
}

bool SendsControlList(const PollingRouter& aAsker) {
  return aAsker.mIsNearest || !aAsker.mNearestAnswers;
}

Millis PollTimeout(const PolledControl& aControl) {
  return aControl.mLacksConfiguration
             ? std::min(kTimeout, kFirstTimeout * BackOff(aControl.mFailures))
             : kTimeout;
}

}  // namespace spindleweir
