/// The retries that control hands out, against the bound that holds for all.
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

/// All that routers and controls give out at one moment.
int SpendAll(const RetryAllowanceOptions& aOptions, Millis aNow) {
  int spent = 0;
  for (int i = 0; i < kRouters; i++) {
    RetryAllowance own(aOptions);
    while (own.TrySpend(kRouters, aNow)) {
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

Test(retry_pool, a_router_in_need_gets_many_times_its_equal_part) {
  RetryPool pool(Options(kOldStart));
  const RouterShare third{.mLocal = 29, .mTotal = kRouters};
  const double equal = kSlack / kRouters;
  const int granted = pool.Grant(32, third, kNow);
  CHECK(granted == 32);
  CHECK(granted > 7 * equal);
  SECTION("until the part of its control is spent, for a window") {
    CHECK(pool.Grant(1000, third, kNow) < 40);
    CHECK(pool.Grant(1, third, kNow) == 0);
    CHECK(pool.Grant(1, third, kNow + 5000) == 0);
    CHECK(pool.Grant(1, third, kNow + 11001) == 1);
  }
}

Test(retry_pool, all_routers_and_controls_keep_to_the_bound) {
  const int before = SpendAll(Options(kOldStart), kNow);
  CHECK(before <= kSlack);
  SECTION("also where all of them start again in one window") {
    CHECK(before + SpendAll(Options(kNow), kNow) <= kSlack);
  }
}

Test(retry_pool, a_single_router_has_all_and_nothing_is_handed_out) {
  RetryAllowance own(Options(kOldStart));
  int spent = 0;
  while (own.TrySpend(1, kNow)) {
    spent++;
  }
  CHECK(spent > 240);
  RetryPool pool(Options(kOldStart));
  CHECK(pool.Grant(5, {.mLocal = 1, .mTotal = 1}, kNow) == 0);
  SECTION("nor by a control that no router tells anything") {
    CHECK(pool.Grant(5, {.mLocal = 0, .mTotal = kRouters}, kNow) == 0);
  }
}

Test(retry_pool, what_is_handed_out_is_void_when_it_is_not_taken) {
  RetryAllowance own(Options(kOldStart));
  while (own.TrySpend(kRouters, kNow)) {
  }
  own.AddCredits(3, kNow);
  CHECK(own.TrySpend(kRouters, kNow + 20));
  CHECK(own.TrySpend(kRouters, kNow + 90));
  SECTION("control counted it at the moment that it was handed out") {
    CHECK(!own.TrySpend(kRouters, kNow + 200));
  }
}
