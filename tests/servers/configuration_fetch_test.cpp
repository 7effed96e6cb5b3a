/// How controls that do not follow the replicated log get configurations: the
/// number of transfers and the time until the last one holds a version.
#include <algorithm>
#include <vector>

#include "spindleweir/servers/routes/configuration_fetch.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kVoters = 7;
constexpr Millis kPollInterval = 300;
constexpr Millis kRoundTrip = 2;

/// What it took until all controls held one version.
struct Spread {
  int mPolls = 0;      ///< Beyond the regular ones.
  int mTransfers = 0;  ///< Configurations sent.
  Millis mTook = 0;
};

/// One control that polls all others.
struct Control {
  std::int64_t mHeld = 1;
  Millis mPollsAt = 0;
  ConfigurationFetch mFetch{{.mTimeout = 1000}};
};

/// Which controls send a version to one that lacks it.
enum class Senders {
  kFirst,  ///< The first of those that report it, when asked.
  kAll,    ///< All, in their answers to its polls.
};

/// aControls controls of which the voters accept version 2 at time 0. All poll
/// each other, each at times of its own.
Spread SpreadOver(std::size_t aControls, Senders aSenders) {
  std::vector<Control> controls(aControls);
  for (std::size_t i = 0; i < aControls; i++) {
    controls[i].mHeld = i < kVoters ? 2 : 1;
    controls[i].mPollsAt = static_cast<Millis>(i * 37) % kPollInterval;
  }
  Spread spread;
  for (Millis now = 0; now < kPollInterval; now++) {
    for (Control& control : controls) {
      if (now != control.mPollsAt) {
        continue;
      }
      const std::int64_t before = control.mHeld;
      std::int64_t fetched = before;
      for (const Control& other : controls) {
        if (aSenders == Senders::kAll && other.mHeld > before) {
          spread.mTransfers++;
          fetched = other.mHeld;
        }
        if (aSenders == Senders::kFirst &&
            control.mFetch.TryStart(before, other.mHeld, now)) {
          spread.mPolls++;
          spread.mTransfers++;
          fetched = other.mHeld;
        }
      }
      control.mFetch.End();
      if (fetched > before) {
        control.mHeld = fetched;
        spread.mTook = now + 2 * kRoundTrip;
      }
    }
  }
  const bool all =
      std::all_of(controls.begin(), controls.end(),
                  [](const Control& aControl) { return aControl.mHeld == 2; });
  return all ? spread : Spread{};
}

}  // namespace

// Controls that are no voters had no configuration: routers all of whose
// sources were such controls could not serve, a quarter of them in a fleet of
// 25 controls.
Test(configuration_fetch, controls_that_are_no_voters_get_each_version_once) {
  for (const std::size_t n :
       {std::size_t{10}, std::size_t{25}, std::size_t{50}, std::size_t{100}}) {
    const Spread spread = SpreadOver(n, Senders::kFirst);
    const std::string path = std::to_string(n) + " controls";
    SECTION(path.c_str()) {
      CHECK(spread.mTransfers == static_cast<int>(n - kVoters));
      CHECK(spread.mPolls == static_cast<int>(n - kVoters));
      CHECK(spread.mTook > 0);
      CHECK(spread.mTook <= kPollInterval + 2 * kRoundTrip);
      CHECK(SpreadOver(n, Senders::kAll).mTransfers >=
            static_cast<int>(kVoters) * spread.mTransfers);
    }
  }
}

Test(configuration_fetch, one_fetch_runs_at_a_time) {
  ConfigurationFetch fetch({.mTimeout = 1000});
  SECTION("nothing newer is offered") {
    CHECK(!fetch.TryStart(5, 5, 0));
    CHECK(!fetch.TryStart(5, 4, 0));
  }
  SECTION("a second offer is not taken until the first has ended") {
    CHECK(fetch.TryStart(5, 6, 0));
    CHECK(!fetch.TryStart(5, 7, 10));
    fetch.End();
    CHECK(fetch.TryStart(5, 7, 20));
  }
  SECTION("a fetch that got no result does not block for good") {
    CHECK(!fetch.TryStart(5, 7, 1019));
    CHECK(fetch.TryStart(5, 7, 1020));
  }
}
