/// Retries granted by control, and the limit that holds for all routers.
#include "spindleweir/servers/routing/retry_pool.h"

#include <algorithm>
#include <vector>

#include "spindleweir/servers/limits/pool_share.h"
#include "spindleweir/servers/routing/credit_sources.h"
#include "spindleweir/servers/routing/retry_allowance.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr double kSlack = 354;
constexpr int kRouters = 85;
constexpr int kControls = 5;
constexpr double kShare = 1.0 / kControls;
constexpr Millis kNow = 50000;
constexpr RetryLimits kLimits = {.mRatio = 0, .mSlack = kSlack};
constexpr Millis kRetention = RetryGrantRetention(kLimits);

/// A pool whose grants need not wait for the disk.
RetryPool PoolWith(int aInherited = 0) {
  RetryPool pool(kLimits, aInherited, kNow);
  while (pool.NeedsRecord(kShare, kNow)) {
    pool.BeginRecord(kShare, kNow);
    pool.EndRecord(true);
  }
  return pool;
}

/// Grants all that a pool has; the disk takes no time.
int GrantAll(RetryPool& aPool, double aShare, Millis aNow) {
  int granted = 0;
  int last = 0;
  do {
    aPool.BeginRecord(aShare, aNow);
    aPool.EndRecord(true);
    last = aPool.Grant(1000, aShare, aNow);
    granted += last;
  } while (last > 0);
  return granted;
}

PoolShare ShareOfStart(Millis aStartedAt, PreviousGrants aPrevious) {
  PoolShare share({.mStartedAt = aStartedAt,
                   .mPrevious = aPrevious,
                   .mPreviousVoters = kControls,
                   .mGrantRetention = kRetention});
  share.Update(
      {.mVoters = kControls, .mIsVoter = true, .mHasLeaderContact = true},
      aStartedAt);
  return share;
}

}  // namespace

Test(retry_pool, grants_a_router_many_times_its_equal_part) {
  RetryPool pool = PoolWith();
  const double equalPart = kSlack / kRouters;
  int granted = 0;
  for (int i = 0; i < 3; i++) {
    granted += pool.Grant(32 - granted, kShare, kNow);
    pool.BeginRecord(kShare, kNow);
    pool.EndRecord(true);
  }
  CHECK(granted == 32);
  CHECK(granted > 7 * equalPart);
  SECTION(
      "grants stop when the control's share is spent, until the window has "
      "passed") {
    CHECK(GrantAll(pool, kShare, kNow) < 40);
    CHECK(pool.Grant(1, kShare, kNow) == 0);
    CHECK(pool.Grant(1, kShare, kNow + 5000) == 0);
    CHECK(pool.Grant(1, kShare, kNow + kRetention) == 0);
    CHECK(pool.Grant(1, kShare, kNow + 11001) == 1);
  }
}

Test(retry_pool, routers_and_controls_together_keep_to_the_limit) {
  const auto spendAll = [](const PoolShare& aShare, int aInherited,
                           Millis aNow) {
    int spent = 0;
    for (int i = 0; i < kRouters; i++) {
      RetryAllowance allowance(kLimits);
      while (allowance.TrySpend(aNow)) {
        spent++;
      }
    }
    for (int i = 0; i < kControls; i++) {
      RetryPool pool(kLimits, aInherited, aNow);
      spent += GrantAll(pool, aShare.Value(aNow), aNow);
    }
    return spent;
  };
  const int before =
      spendAll(ShareOfStart(kNow, PreviousGrants::kNone), 0, kNow);
  CHECK(before <= kSlack);
  // Each control grants whole retries.
  CHECK(before > kSlack * kLimits.mUsableShare - kControls);
  SECTION("they also keep to it if all of them restart within one window") {
    CHECK(before + spendAll(ShareOfStart(kNow, PreviousGrants::kRecorded),
                            before / kControls, kNow) <=
          kSlack);
    CHECK(before + spendAll(ShareOfStart(kNow, PreviousGrants::kUnknown), 0,
                            kNow + kRetention - 1) <=
          kSlack);
  }
}

// All controls that were killed had no retries for a window after.
Test(retry_pool, a_control_that_restarts_grants_what_the_one_before_did_not) {
  RetryPool before = PoolWith();
  CHECK(before.Grant(10, kShare, kNow) == 10);
  const int recorded = before.BeginRecord(kShare, kNow);
  before.EndRecord(true);
  RetryPool after = PoolWith(recorded);
  const double part = kSlack * kLimits.mUsableShare * kShare;
  const int granted = GrantAll(after, kShare, kNow);
  CHECK(granted > part / 2);
  CHECK(10 + granted <= part);
}

Test(retry_pool, grants_no_more_than_is_recorded) {
  RetryPool pool(kLimits, 0, kNow);
  CHECK(pool.Grant(5, kShare, kNow) == 0);
  const int recorded = pool.BeginRecord(kShare, kNow);
  CHECK(recorded > 0);
  CHECK(pool.Grant(5, kShare, kNow) == 0);
  SECTION("the write fails") {
    pool.EndRecord(false);
    CHECK(pool.Grant(5, kShare, kNow) == 0);
  }
  SECTION("the next one succeeds") {
    pool.BeginRecord(kShare, kNow);
    pool.EndRecord(true);
    CHECK(pool.Grant(1000, kShare, kNow) == recorded);
  }
}

Test(retry_pool, a_single_router_has_the_whole_slack) {
  int granted = 0;
  for (int i = 0; i < kControls; i++) {
    RetryPool pool = PoolWith();
    granted += GrantAll(pool, kShare, kNow);
  }
  CHECK(granted > 240);
  SECTION("a control without a share grants nothing") {
    RetryPool pool = PoolWith();
    CHECK(pool.Grant(5, 0, kNow) == 0);
  }
}

Test(retry_pool, unused_grants_expire) {
  RetryAllowance allowance(kLimits);
  allowance.AddCredits(3, kNow);
  CHECK(allowance.TrySpend(kNow + 20));
  CHECK(allowance.TrySpend(kNow + 90));
  SECTION("they expire since control counted them at the time of the grant") {
    CHECK(!allowance.TrySpend(kNow + kRetryCreditLifetime + 1));
  }
}

// Grants that arrived late were spent when control had forgotten them.
Test(retry_pool, a_credit_that_arrives_late_is_not_used) {
  RetryAllowance allowance(kLimits);
  allowance.AddCredits(3, kNow);
  CHECK(!allowance.HasCredit(kNow + 3000));
  CHECK(!allowance.TrySpend(kNow + 3000));
}

Test(pool_share, shares_shrink_at_once_and_grow_late) {
  PoolShare share = ShareOfStart(kNow, PreviousGrants::kNone);
  CHECK(share.Value(kNow) == kShare);
  const auto update = [&share](int aVoters, Millis aNow) {
    share.Update(
        {.mVoters = aVoters, .mIsVoter = true, .mHasLeaderContact = true},
        aNow);
  };
  update(6, kNow + 1);
  CHECK(share.Value(kNow + 1) == 1.0 / 6);
  SECTION("a voter is removed") {
    update(5, kNow + 2);
    CHECK(share.Value(kNow + 2) == 1.0 / 6);
    update(5, kNow + kRetention);
    CHECK(share.Value(kNow + kRetention) == 1.0 / 6);
    update(5, kNow + kRetention + 5002);
    CHECK(share.Value(kNow + kRetention + 5002) == kShare);
  }
}

Test(pool_share, a_control_that_starts_grants_only_what_it_knows_of) {
  const auto valueAt = [](PoolShare& aShare, Millis aNow) {
    aShare.Update(
        {.mVoters = kControls, .mIsVoter = true, .mHasLeaderContact = true},
        aNow);
    return aShare.Value(aNow);
  };
  SECTION("what it granted before is not known") {
    PoolShare share = ShareOfStart(kNow, PreviousGrants::kUnknown);
    CHECK(valueAt(share, kNow) == 0);
    CHECK(valueAt(share, kNow + kRetention + 4999) == 0);
    CHECK(valueAt(share, kNow + kRetention + 5001) == kShare);
  }
  SECTION("it is known, but a voter may have been removed just before") {
    PoolShare share = ShareOfStart(kNow, PreviousGrants::kRecorded);
    CHECK(valueAt(share, kNow) == 1.0 / (kControls + 1));
    CHECK(valueAt(share, kNow + kRetention + 5001) == kShare);
  }
  SECTION("it is known, but not among how many voters the limit was divided") {
    PoolShare share({.mStartedAt = kNow,
                     .mPrevious = PreviousGrants::kRecorded,
                     .mGrantRetention = kRetention});
    CHECK(valueAt(share, kNow) == 1.0 / share.Options().mMaxVoters);
    CHECK(valueAt(share, kNow + kRetention + 5001) == kShare);
  }
}

Test(pool_share, a_new_voter_waits_until_a_removed_one_grants_no_more) {
  PoolShare share({.mStartedAt = 0, .mGrantRetention = kRetention});
  VoterState state{.mVoters = kControls};
  share.Update(state, 0);
  state.mIsVoter = true;
  state.mHasLeaderContact = true;
  share.Update(state, kNow);
  CHECK(share.Value(kNow + kRetention) == 0);
  share.Update(state, kNow + kRetention + 5000);
  CHECK(share.Value(kNow + kRetention + 5000) == kShare);
  SECTION("it grants on while a leader is elected, but not without one") {
    state.mHasLeaderContact = false;
    share.Update(state, kNow + kRetention + 5100);
    CHECK(share.Value(kNow + kRetention + 10000) == kShare);
    CHECK(share.Value(kNow + kRetention + 10001) == 0);
  }
}

/// Guards against shares that add up to more than the limit: two voters that
/// were removed grant on until they miss their leader, and a control that
/// starts assumes that one was removed.
Test(pool_share, shares_add_up_to_one_though_two_voters_were_removed) {
  std::vector<PoolShare> shares(kControls,
                                ShareOfStart(kNow, PreviousGrants::kRecorded));
  constexpr Millis kSettled = 60000;
  const auto update = [&shares](std::size_t aWhich, int aVoters, Millis aNow) {
    shares[aWhich].Update(
        {.mVoters = aVoters, .mIsVoter = true, .mHasLeaderContact = true},
        aNow);
  };
  for (Millis now = kNow; now < kNow + kSettled; now += 100) {
    for (std::size_t i = 0; i < kControls; i++) {
      update(i, kControls, now);
    }
  }
  const Millis removed = kNow + kSettled;
  for (std::size_t i = 0; i < kControls - 2; i++) {
    update(i, kControls - 2, removed);
  }
  // With the number of voters that the process before recorded, and without.
  for (const int recorded : {shares[0].RecentVoters(), 0}) {
    shares[0] = PoolShare({.mStartedAt = removed + 1000,
                           .mPrevious = PreviousGrants::kRecorded,
                           .mPreviousVoters = recorded,
                           .mGrantRetention = kRetention});
    double sum = 0;
    update(0, kControls - 2, removed + 1000);
    for (const PoolShare& share : shares) {
      sum += share.Value(removed + 1000);
    }
    CHECK_FOUND(sum <= 1.0001, std::to_string(sum));
    SECTION("also at a second start, which knows what the first one recorded") {
      CHECK(recorded == 0 || shares[0].RecentVoters() == kControls);
    }
  }
}

Test(credit_sources, ask_each_control_before_one_is_asked_again) {
  const Endpoint near{"10.0.0.1", 1};
  const Endpoint far{"10.0.0.2", 1};
  const Endpoint gone{"10.0.0.3", 1};
  CreditSources sources;
  const auto next = [&](Millis aNow) {
    return sources.Next(near, {far, near, gone}, aNow, [] { return 0.99; });
  };
  CHECK(next(0) == near);
  sources.OnAnswer(near, 5, 5, 0);
  CHECK(next(0) == near);
  SECTION("the nearest grants less than wanted, another does not answer") {
    sources.OnAnswer(near, 5, 2, 0);
    CHECK(next(0) == gone);
    sources.OnAnswer(gone, 3, 0, 0);
    CHECK(next(0) == far);
    sources.OnAnswer(far, 3, 0, 0);
    CHECK(!next(0).has_value());
  }
  SECTION("they are asked again, ever less often") {
    CHECK(next(20) == near);
    sources.OnAnswer(near, 5, 0, 20);
    sources.OnAnswer(far, 5, 0, 20);
    sources.OnAnswer(gone, 5, 0, 20);
    CHECK(!next(50).has_value());
    CHECK(next(60).has_value());
  }
}
