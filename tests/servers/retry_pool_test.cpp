/// Retries granted by control, and the limit that holds for all routers.
#include "spindleweir/servers/routing/retry_pool.h"

#include <algorithm>
#include <vector>

#include "spindleweir/servers/routing/retry_allowance.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr double kSlack = 354;
constexpr int kRouters = 85;
constexpr int kControls = 5;
constexpr Millis kOldStart = 0;
constexpr Millis kNow = 50000;

RetryAllowanceOptions Options(Millis aStartedAt) {
  return {.mRatio = 0,
          .mSlack = kSlack,
          .mPooledShare = kDefaultPooledRetries,
          .mStartedAt = aStartedAt};
}

/// Spends all retries of all routers and controls at one time; returns how
/// many.
int SpendAll(const RetryAllowanceOptions& aOptions, Millis aNow) {
  int spent = 0;
  for (int i = 0; i < kRouters; i++) {
    RetryAllowance allowance(aOptions);
    while (allowance.TrySpend(kRouters, aNow)) {
      spent++;
    }
  }
  for (int i = 0; i < kControls; i++) {
    RetryPool pool(aOptions);
    spent += pool.Grant(1000, {kRouters / kControls, kRouters}, aNow);
  }
  return spent;
}

}  // namespace

Test(retry_pool, grants_a_router_many_times_its_equal_part) {
  RetryPool pool(Options(kOldStart));
  const RouterShare third{.mLocal = 29, .mTotal = kRouters};
  const double equalPart = kSlack / kRouters;
  const int granted = pool.Grant(32, third, kNow);
  CHECK(granted == 32);
  CHECK(granted > 7 * equalPart);
  SECTION(
      "grants stop when the control's part is spent, until the window has "
      "passed") {
    CHECK(pool.Grant(1000, third, kNow) < 40);
    CHECK(pool.Grant(1, third, kNow) == 0);
    CHECK(pool.Grant(1, third, kNow + 5000) == 0);
    CHECK(pool.Grant(1, third, kNow + 11001) == 1);
  }
}

Test(retry_pool, routers_and_controls_together_keep_to_the_limit) {
  const int before = SpendAll(Options(kOldStart), kNow);
  CHECK(before <= kSlack);
  SECTION("they also keep to it if all of them restart within one window") {
    CHECK(before + SpendAll(Options(kNow), kNow) <= kSlack);
  }
}

Test(retry_pool, a_single_router_has_the_whole_slack_and_gets_no_grants) {
  RetryAllowance allowance(Options(kOldStart));
  int spent = 0;
  while (allowance.TrySpend(1, kNow)) {
    spent++;
  }
  CHECK(spent > 240);
  RetryPool pool(Options(kOldStart));
  CHECK(pool.Grant(5, {.mLocal = 1, .mTotal = 1}, kNow) == 0);
  SECTION("a control without reporting routers grants nothing") {
    CHECK(pool.Grant(5, {.mLocal = 0, .mTotal = kRouters}, kNow) == 0);
  }
}

Test(retry_pool, unused_grants_expire) {
  RetryAllowance allowance(Options(kOldStart));
  while (allowance.TrySpend(kRouters, kNow)) {
  }
  allowance.AddCredits(3, kNow);
  CHECK(allowance.TrySpend(kRouters, kNow + 20));
  CHECK(allowance.TrySpend(kRouters, kNow + 90));
  SECTION("they expire since control counted them at the time of the grant") {
    CHECK(!allowance.TrySpend(kRouters, kNow + 200));
  }
}
