/// Tests of the limits of upstreams that a control remembers.
#include "spindleweir/servers/limits/recent_limits.h"

#include "spindleweir/servers/routing/load_aggregator.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

const std::string kUpstream = "a";

LoadShares Reported(std::int64_t aThousandths) {
  return {{kUpstream,
           {.mInstance = kUpstream,
            .mRequests = 3,
            .mLimitReporters = 1,
            .mLimitThousandths = aThousandths}}};
}

LoadShares Ended() {
  return {{kUpstream, {.mInstance = kUpstream, .mLimitEndReporters = 1}}};
}

/// The limit that the reports contain, in thousandths; 0: none.
std::int64_t LimitIn(RecentLimits& aLimits, LoadShares aReports, Millis aNow) {
  aLimits.Apply(aReports, aNow);
  const auto it = aReports.find(kUpstream);
  return it == aReports.end() || it->second.mLimitReporters == 0
             ? 0
             : it->second.mLimitThousandths / it->second.mLimitReporters;
}

}  // namespace

Test(recent_limits, are_remembered_for_a_time_after_the_last_report) {
  RecentLimits limits({.mRetention = 5000});
  CHECK(LimitIn(limits, Reported(2000), 0) == 2000);
  SECTION("no router reports the limit any more") {
    CHECK(LimitIn(limits, {}, 100) == 2000);
    CHECK(LimitIn(limits, {}, 5000) == 2000);
    CHECK(LimitIn(limits, {}, 5001) == 0);
  }
  SECTION("the newest report counts") {
    CHECK(LimitIn(limits, Reported(2000), 6000) == 2000);
    CHECK(LimitIn(limits, Reported(3000), 6100) == 3000);
    CHECK(LimitIn(limits, {}, 6200) == 3000);
  }
}

Test(recent_limits, are_not_remembered_after_their_end) {
  RecentLimits limits({.mRetention = 5000, .mEndRetention = 10000});
  CHECK(LimitIn(limits, Reported(2000), 0) == 2000);
  CHECK(LimitIn(limits, Ended(), 100) == 0);
  CHECK(LimitIn(limits, {}, 200) == 0);
  SECTION("a router that has not heard of the end reports on") {
    CHECK(LimitIn(limits, Reported(2000), 2000) == 2000);
    CHECK(LimitIn(limits, {}, 2100) == 0);
  }
  SECTION("a new limit is remembered later") {
    CHECK(LimitIn(limits, Reported(2000), 10200) == 2000);
    CHECK(LimitIn(limits, {}, 10300) == 2000);
  }
}

// A limit was forgotten with the last router that the upstream had told it.
Test(recent_limits, are_told_to_routers_that_start_after_all_have_ended) {
  LoadAggregator loads({});
  const ZoneHook zoneOf = [](const std::string&) { return std::string(); };
  const auto told = [&](Millis aNow) {
    return UnpackLoads(loads.PackedSum("", zoneOf, aNow).mText);
  };
  loads.OnRouterReport("r1/1", 1, Reported(2000), 0);
  CHECK(told(0).at(kUpstream).mLimitReporters == 1);
  loads.OnRouterReport("r1/2", 1, {}, 600);
  const LoadShare share = told(600).at(kUpstream);
  CHECK(share.mLimitReporters == 1);
  CHECK(share.mLimitThousandths == 2000);
  CHECK(share.mRequests == 0);
  SECTION(
      "other controls are told what routers report, not what is remembered") {
    CHECK(UnpackLoads(loads.PackedLocal(600).mText).empty());
  }
}

// A control that starts with all others knows limits from its disk only.
Test(recent_limits, are_told_after_a_start_if_they_were_stored) {
  RecentLimits before({.mRetention = 5000});
  CHECK(LimitIn(before, Reported(2000), 0) == 2000);
  RecentLimits limits({.mRetention = 5000});
  limits.Restore(before.InForce(), 100);
  SECTION("for a time, until routers have been answered") {
    CHECK(LimitIn(limits, {}, 100) == 2000);
    CHECK(LimitIn(limits, {}, 5100) == 2000);
    CHECK(LimitIn(limits, {}, 5101) == 0);
    CHECK(limits.InForce().empty());
  }
  SECTION("one that has ended is not stored") {
    CHECK(LimitIn(limits, Ended(), 5200) == 0);
    CHECK(limits.InForce().empty());
  }
}
