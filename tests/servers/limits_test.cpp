#include "spindleweir/servers/limits/workspace_limiter.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

AdmissionRequest Request(std::uint64_t aTicket, const std::string& aWorkspace,
                         int aPriority = 0, Millis aDeadline = 0) {
  AdmissionRequest request;
  request.mTicket = aTicket;
  request.mWorkspace = aWorkspace;
  request.mPriority = aPriority;
  request.mDeadline = aDeadline;
  request.mServiceMillis = 10;
  return request;
}

constexpr WorkspaceLimits kUnlimited{.mMaximumConcurrent = 1000,
                                     .mRequestsPerSecond = 1e6};

}  // namespace

Test(limits, concurrency_of_a_workspace_is_limited) {
  WorkspaceLimiter limiter({});
  limiter.SetLimits("w", {.mMaximumConcurrent = 2, .mRequestsPerSecond = 1e6});
  CHECK(limiter.Submit(Request(1, "w"), 0).size() == 1);
  CHECK(limiter.Submit(Request(2, "w"), 0).size() == 1);
  SECTION("the third request is queued and admitted when another ends") {
    CHECK(limiter.Submit(Request(3, "w"), 0).empty());
    const auto out = limiter.Release("w", 1);
    REQUIRE(out.size() == 1);
    CHECK(out[0].mTicket == 3 && out[0].mCode == ResultCode::kOk);
  }
  SECTION("a greater priority is admitted first, then the earlier request") {
    limiter.Submit(Request(4, "w"), 2);
    limiter.Submit(Request(5, "w", 5), 2);
    limiter.Submit(Request(6, "w", 5), 2);
    CHECK(limiter.Release("w", 3)[0].mTicket == 5);
    CHECK(limiter.Release("w", 3)[0].mTicket == 6);
    CHECK(limiter.Release("w", 3)[0].mTicket == 4);
  }
}

Test(limits, refusals_are_immediate_and_state_a_retry_time) {
  WorkspaceLimiter limiter({.mMaximumQueue = 8, .mMaximumWait = 1000});
  limiter.SetLimits("slow",
                    {.mMaximumConcurrent = 100, .mRequestsPerSecond = 1});
  CHECK(limiter.Submit(Request(1, "slow"), 0)[0].mCode == ResultCode::kOk);
  SECTION("a request over the rate is refused") {
    CHECK(limiter.Submit(Request(2, "slow"), 0).empty());
    const auto out = limiter.Submit(Request(3, "slow"), 0);
    REQUIRE(out.size() == 1);
    CHECK(out[0].mCode == ResultCode::kOverLimit);
    CHECK(out[0].mRetryAfter >= 1000);
  }
  SECTION("a request whose deadline cannot be met is refused") {
    const auto out = limiter.Submit(Request(4, "slow", 0, 5), 0);
    REQUIRE(out.size() == 1);
    CHECK(out[0].mCode == ResultCode::kDeadlineTooShort);
  }
  SECTION("one workspace cannot fill the whole queue") {
    limiter.SetLimits("w",
                      {.mMaximumConcurrent = 1, .mRequestsPerSecond = 1e6});
    limiter.Submit(Request(10, "w"), 0);
    int queued = 0;
    for (std::uint64_t i = 11; i < 30; i++) {
      queued += limiter.Submit(Request(i, "w"), 0).empty() ? 1 : 0;
    }
    CHECK(queued == 2);
  }
}

Test(share_divider, shares_follow_demand_and_add_up_to_one) {
  ShareDivider first;
  ShareDivider second;
  const std::vector<WorkspaceDemand> busy = {{"w", 30}};
  const std::vector<WorkspaceDemand> calm = {{"w", 10}};
  CHECK(first.Share("w", 2) == 0.5);
  first.SetLocal(busy);
  first.UpdateFromPeer("second", calm);
  second.SetLocal(calm);
  second.UpdateFromPeer("first", busy);
  CHECK(first.Share("w", 2) > second.Share("w", 2));
  CHECK(std::abs(first.Share("w", 2) + second.Share("w", 2) - 1) < 1e-9);
  SECTION("a router without demand has a small share") {
    ShareDivider third;
    third.UpdateFromPeer("first", busy);
    third.UpdateFromPeer("second", calm);
    CHECK(third.Share("w", 3) > 0.05);
  }
  SECTION(
      "a router that is cut off retains its share, and takes over that of a "
      "removed peer") {
    const double before = first.Share("w", 2);
    first.SetLocal(busy);
    CHECK(first.Share("w", 2) == before);
    first.RemovePeer("second");
    CHECK(first.Share("w", 1) == 1);
  }
}

// Each start had half a second of its part of the rate saved up.
Test(limits, routers_that_start_again_and_again_keep_to_the_rate) {
  constexpr int kRouters = 7;
  constexpr double kPerSecond = 70;
  constexpr Millis kWindow = 10000;
  /// What all routers together may have saved up is half a second of the rate.
  constexpr double kMaxAdmitted = kPerSecond * (kWindow / 1000.0 + 0.5);
  std::vector<WorkspaceLimiter> limiters;
  const auto start = [](Millis aAt) {
    WorkspaceLimiter limiter({.mMaximumWait = 0, .mStartedAt = aAt});
    limiter.SetLimits("w", {.mMaximumConcurrent = 1e6,
                            .mRequestsPerSecond = kPerSecond / kRouters});
    return limiter;
  };
  for (int i = 0; i < kRouters; i++) {
    limiters.push_back(start(0));
  }
  int admitted = 0;
  const auto count =
      [&admitted](const std::vector<AdmissionOutcome>& aOutcomes) {
        for (const AdmissionOutcome& outcome : aOutcomes) {
          admitted += outcome.mCode == ResultCode::kOk ? 1 : 0;
        }
      };
  std::uint64_t ticket = 0;
  for (Millis now = kWindow; now < 2 * kWindow; now += 10) {
    for (std::size_t i = 0; i < limiters.size(); i++) {
      if (i > 0 && now % 1000 == 0) {
        limiters[i] = start(now);
      }
      count(limiters[i].Submit(Request(++ticket, "w"), now));
      count(limiters[i].Tick(now));
    }
  }
  CHECK_FOUND(admitted <= kMaxAdmitted, std::to_string(admitted));
  SECTION("most of the rate is used nevertheless") {
    CHECK_FOUND(admitted > 0.8 * kMaxAdmitted, std::to_string(admitted));
  }
}

Test(limits, time_in_the_queue_is_bounded) {
  WorkspaceLimiter limiter({.mMaximumWait = 1000});
  limiter.SetLimits("w", {.mMaximumConcurrent = 1, .mRequestsPerSecond = 1e6});
  limiter.Submit(Request(1, "w"), 0);
  CHECK(limiter.Submit(Request(2, "w", 0, 500), 0).empty());
  CHECK(limiter.Submit(Request(3, "w"), 0).empty());
  CHECK(limiter.Tick(400).empty());
  CHECK(limiter.Tick(600)[0].mCode == ResultCode::kDeadlineTooShort);
  CHECK(limiter.Tick(1100)[0].mCode == ResultCode::kOverLimit);
  CHECK(limiter.Queued() == 0);
  SECTION("a withdrawn request is not admitted") {
    limiter.Submit(Request(4, "w"), 1200);
    limiter.Withdraw(4);
    CHECK(limiter.Release("w", 1300).empty());
    CHECK(limiter.InFlight() == 0);
  }
}

Test(limits, a_full_router_serves_workspaces_by_weight) {
  WorkspaceLimiter limiter(
      {.mMaximumInFlight = 4, .mMaximumQueue = 4000, .mMaximumWait = 1000000});
  WorkspaceLimits heavy = kUnlimited;
  heavy.mWeight = 3;
  limiter.SetLimits("a", heavy);
  limiter.SetLimits("b", kUnlimited);
  std::uint64_t ticket = 1;
  for (; ticket <= 4; ticket++) {
    limiter.Submit(Request(ticket, "a"), 0);
  }
  for (int i = 0; i < 400; i++) {
    limiter.Submit(Request(ticket++, "a"), 0);
    limiter.Submit(Request(ticket++, "b"), 0);
  }
  int inFlightA = 4;
  int inFlightB = 0;
  int servedA = 0;
  int servedB = 0;
  for (int i = 0; i < 400; i++) {
    const bool endsA = inFlightA > 0 && (i % 4 != 3 || inFlightB == 0);
    (endsA ? inFlightA : inFlightB)--;
    const int before = limiter.InFlight("a");
    limiter.Release(endsA ? "a" : "b", i);
    const int gained = limiter.InFlight("a") - before + (endsA ? 1 : 0);
    inFlightA += gained;
    inFlightB += 1 - gained;
    servedA += gained;
    servedB += 1 - gained;
  }
  CHECK(servedA >= 290 && servedA <= 310);
  CHECK(servedA + servedB == 400);
}
