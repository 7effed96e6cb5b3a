#include "spindleweir/core/error.h"
#include "spindleweir/servers/limits/router_count.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "spindleweir/servers/membership/source_choice.h"
#include "spindleweir/servers/routes/configuration_lease.h"
#include "spindleweir/servers/routes/newest_confirmation.h"
#include "spindleweir/servers/routing/load_aggregator.h"
#include "spindleweir/servers/routing/reported_loads.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// Two controls in each of three zones.
ControlDirectory SixControls() {
  ControlDirectory directory;
  for (int zone = 1; zone <= 3; zone++) {
    for (int i = 1; i <= 2; i++) {
      const Endpoint address{"10." + std::to_string(zone) + ".0.1", 7000 + i};
      directory.OnSeen({.mId = ControlId(address, "first"),
                        .mZone = "z" + std::to_string(zone)},
                       0);
    }
  }
  return directory;
}

SourceChoiceInput Question(const ControlDirectory& aDirectory,
                           const std::string& aProcess) {
  SourceChoiceInput question;
  question.mDirectory = &aDirectory;
  question.mProcess = aProcess;
  question.mZone = "z2";
  question.mNow = 1000;
  return question;
}

std::string ZoneOfAll(const std::string&) {
  return "z";
}

LoadShares Work(const std::string& aInstance, int aRequests) {
  return {{aInstance, {.mInstance = aInstance, .mRequests = aRequests}}};
}

}  // namespace

Test(sources, a_router_asks_a_few_controls_of_several_zones) {
  const ControlDirectory directory = SixControls();
  SECTION("the first is of its own zone, the others of the other zones") {
    const auto chosen = ChooseSources(Question(directory, "r1"));
    REQUIRE(chosen.size() == 3);
    CHECK(directory.ZoneAt(chosen[0]) == "z2");
    CHECK(directory.ZoneAt(chosen[1]) != "z2");
    CHECK(directory.ZoneAt(chosen[2]) != "z2");
    CHECK(directory.ZoneAt(chosen[1]) != directory.ZoneAt(chosen[2]));
  }
  SECTION("routers spread over the controls of their zone") {
    std::map<std::string, int> firsts;
    for (int i = 0; i < 100; i++) {
      const std::string process = "r" + std::to_string(i);
      firsts[ChooseSources(Question(directory, process)).front().Text()]++;
    }
    CHECK(firsts.size() == 2);
    CHECK(firsts.begin()->second > 25 && firsts.begin()->second < 75);
  }
  SECTION("one that does not answer is left for another, for a while") {
    SourceChoiceInput question = Question(directory, "r1");
    const std::string first = ChooseSources(question).front().Text();
    question.mFailedAt[first] = 900;
    const auto chosen = ChooseSources(question);
    CHECK(chosen.front().Text() != first);
    CHECK(directory.ZoneAt(chosen.front()) == "z2");
    question.mNow = 900 + question.mFailureAvoidance;
    CHECK(ChooseSources(question).front().Text() == first);
  }
  SECTION("a zone without control is served by the others") {
    SourceChoiceInput question = Question(directory, "r1");
    question.mFailedAt["10.2.0.1:7001"] = 900;
    question.mFailedAt["10.2.0.1:7002"] = 900;
    for (const Endpoint& address : ChooseSources(question)) {
      CHECK(directory.ZoneAt(address) != "z2");
    }
  }
  SECTION("where all are few, all are asked") {
    ControlDirectory few;
    few.SetSeeds({{"10.0.0.1", 1}, {"10.0.0.2", 1}});
    CHECK(ChooseSources(Question(few, "r1")).size() == 2);
  }
}

Test(sources, a_control_that_does_not_answer_is_asked_more_seldom) {
  // 31 routers that started together asked again each 0.3 s: two controls did
  // nothing for 10 s but write answers that came too late.
  const PolledControl near{
      .mInterval = 400, .mIsNearest = true, .mLacksConfiguration = true};
  SECTION("one that answers is asked as it asks to be") {
    CHECK(NextPollDelay(near) == 400);
    CHECK(PollTimeout(near) == 300);
    PolledControl far = near;
    far.mIsNearest = false;
    CHECK(NextPollDelay(far) == 1600);
  }
  SECTION("others are asked more seldom while it answers and bytes are dear") {
    PolledControl far{.mInterval = 150, .mNearestAnswers = true};
    CHECK(NextPollDelay(far) == 1200);
    far.mCosts.mInterZoneByte = 0.5;
    CHECK(NextPollDelay(far) == 900);
    far.mCosts.mInterZoneByte = 0;
    CHECK(NextPollDelay(far) == 600);
    far.mCosts.mInterZoneByte = 1;
    far.mNearestAnswers = false;
    CHECK(NextPollDelay(far) == 600);
    // No longer than an upstream that leaves may get new work.
    far.mNearestAnswers = true;
    far.mInterval = 250;
    CHECK(NextPollDelay(far) == 1200);
  }
  SECTION("each failure doubles the wait, to four times") {
    PolledControl asked = near;
    std::vector<Millis> waits;
    std::vector<Millis> timeouts;
    for (asked.mFailures = 0; asked.mFailures < 5; asked.mFailures++) {
      waits.push_back(NextPollDelay(asked));
      timeouts.push_back(PollTimeout(asked));
    }
    CHECK((waits == std::vector<Millis>{400, 800, 1600, 1600, 1600}));
    CHECK((timeouts == std::vector<Millis>{300, 600, 1000, 1000, 1000}));
  }
  SECTION("those that failed together come back spread over half of it") {
    PolledControl asked = near;
    asked.mFailures = 2;
    asked.mJitter = 0;
    CHECK(NextPollDelay(asked) == 800);
  }
  SECTION("who holds a configuration has time to wait") {
    PolledControl asked = near;
    asked.mLacksConfiguration = false;
    CHECK(PollTimeout(asked) == 1000);
  }
}

Test(sources, a_confirmation_may_come_by_another_control) {
  // Found on the users' platform, grown: routers that asked no leader had no
  // lease and refused everything.
  NewestConfirmation held;
  SECTION("nothing is passed on before something was confirmed") {
    CHECK(held.Age(50) == -1);
    held.Take(7, 100, -1);
    CHECK(held.Age(150) == -1);
  }
  held.Take(7, 1000, 20);
  SECTION("its age counts from when the other control was asked") {
    CHECK(held.Version() == 7);
    CHECK(held.Age(1100) == 120);
  }
  SECTION("an older one by another way changes nothing") {
    held.Take(6, 1050, 400);
    CHECK(held.Version() == 7);
    CHECK(held.Age(1100) == 120);
  }
  SECTION("a router that lacks the version named gains no lease by it") {
    ConfigurationLease lease(4000);
    lease.Confirm(held.Version(), 6, 1100, held.Age(1100));
    CHECK(!lease.Holds(1110));
    lease.Confirm(held.Version(), 7, 1100, held.Age(1100));
    CHECK(lease.Holds(1110));
    CHECK(!lease.Holds(980 + 4000));
  }
}

Test(sources, upstreams_are_told_by_all_where_they_are_few) {
  const PollingRouter near{.mIsNearest = true, .mNearestAnswers = true};
  const PollingRouter far{.mIsNearest = false, .mNearestAnswers = true};
  const PollingRouter lost{.mIsNearest = false, .mNearestAnswers = false};
  CHECK(SendsUpstreamChanges(far, 400));
  SECTION("and where they are many by the nearest as long as it answers") {
    CHECK(SendsUpstreamChanges(near, 3000));
    CHECK(!SendsUpstreamChanges(far, 3000));
    CHECK(SendsUpstreamChanges(lost, 3000));
  }
}

Test(loads, each_router_is_told_of_all_others) {
  LoadAggregator book({.mReportRetention = 2500, .mSumInterval = 40});
  ReportedLoads first;
  ReportedLoads second;
  book.OnRouterReport("r1", first.Record(Work("a", 3)), Work("a", 3), 0);
  book.OnRouterReport("r2", second.Record(Work("a", 4)), Work("a", 4), 0);
  book.OnControlReport("c2", Work("a", 10), 5, 0);
  const auto others = [&book](const ReportedLoads& aTold,
                              const std::string& aProcess, Millis aNow) {
    const LoadShares sum =
        UnpackLoads(book.PackedSum("z", ZoneOfAll, aNow).mText);
    return aTold.SubtractReported(sum, book.IncludedSequence(aProcess))
        .at("a")
        .mRequests;
  };
  SECTION("its own work is not among it") {
    CHECK(others(first, "r1", 0) == 14);
    CHECK(others(second, "r2", 0) == 13);
  }
  SECTION("also between two sums its own work is taken out as it was added") {
    book.OnRouterReport("r1", first.Record(Work("a", 100)), Work("a", 100), 10);
    CHECK(others(first, "r1", 10) == 14);
    CHECK(others(second, "r2", 60) == 110);
    CHECK(others(first, "r1", 60) == 14);
  }
  SECTION("another control is told only what was told here") {
    CHECK(UnpackLoads(book.PackedLocal(60).mText).at("a").mRequests == 104);
    CHECK(book.AllRouters(60) == 7);
  }
  SECTION("who says nothing counts for nothing") {
    book.OnRouterReport("r2", second.Record(Work("a", 1)), Work("a", 1), 2000);
    CHECK(UnpackLoads(book.PackedSum("z", ZoneOfAll, 2600).mText)
              .at("a")
              .mRequests == 1);
    CHECK(book.IncludedSequence("r1") == 0);
    // Those of a silent control may go on at the other side of a cut.
    CHECK(book.AllRouters(2600) == 6);
    CHECK(book.AllRouters(60000) == 5);
    CHECK(book.AllRouters(60001) == 0);
  }
}

Test(loads, a_router_counts_once_though_its_process_starts_again) {
  LoadAggregator book({.mReportRetention = 2500});
  ReportedLoads told;
  book.OnRouterReport("r1/a", told.Record(Work("u", 3)), Work("u", 3), 0);
  book.OnRouterReport("r2/a", told.Record(Work("u", 4)), Work("u", 4), 0);
  SECTION("the work of the process before it goes") {
    book.OnRouterReport("r1/b", 1, Work("u", 1), 100);
    CHECK(book.LocalRouters(100) == 2);
    CHECK(UnpackLoads(book.PackedSum("z", ZoneOfAll, 100).mText)
              .at("u")
              .mRequests == 5);
    CHECK(book.IncludedSequence("r1/a") == 0 &&
          book.IncludedSequence("r1/b") == 1);
  }
}

Test(loads, the_number_of_routers_comes_down_as_well_as_up) {
  RouterCount count({.mRetention = 10000});
  SECTION("before any word a router takes itself for the only one") {
    CHECK(count.Value() == 1);
  }
  SECTION("it goes up at once") {
    count.OnReport(195, 0);
    count.OnReport(342, 100);
    CHECK(count.Value() == 342);
  }
  SECTION("and down once nobody told the greater one for a while") {
    count.OnReport(195, 200);
    count.OnReport(195, 10100);
    CHECK(count.Value() == 342);
    count.OnReport(195, 10101);
    CHECK(count.Value() == 195);
  }
  SECTION("a control that knows a part only for a moment changes nothing") {
    for (Millis now = 11000; now < 14000; now += 100) {
      count.OnReport(35, now);
    }
    CHECK(count.Value() == 195);
    count.OnReport(195, 14000);
    count.OnReport(35, 14001);
    CHECK(count.Value() == 195);
  }
  SECTION("while control is silent it stays") {
    CHECK(count.Value() == 195);
    count.OnReport(0, 90000);
    CHECK(count.Value() == 195);
  }
}

Test(loads, routers_of_a_large_fleet_are_told_those_of_their_zone) {
  LoadAggregator book(
      {.mReportRetention = 2500, .mSumInterval = 40, .mMaxUnfilteredRows = 2});
  const ZoneHook zoneOf = [](const std::string& aInstance) {
    return aInstance.substr(0, 1);
  };
  LoadShares shares = Work("a1", 1);
  shares.merge(Work("b1", 2));
  book.OnRouterReport("r1", 1, shares, 0);
  CHECK(UnpackLoads(book.PackedSum("a", zoneOf, 0).mText).size() == 2);
  shares.merge(Work("b2", 3));
  book.OnRouterReport("r1", 2, shares, 50);
  const PackedLoads ofA = book.PackedSum("a", zoneOf, 50);
  const PackedLoads ofB = book.PackedSum("b", zoneOf, 50);
  CHECK(UnpackLoads(ofA.mText).size() == 1);
  CHECK(UnpackLoads(ofB.mText).size() == 2);
  SECTION("by a number that stands for nothing else") {
    CHECK(ofA.mSequence != ofB.mSequence);
    CHECK(book.PackedSum("a", zoneOf, 60).mSequence == ofA.mSequence);
    CHECK(book.PackedSum("a", zoneOf, 100).mSequence > ofB.mSequence);
  }
}

Test(loads, what_is_not_remembered_is_not_taken_out) {
  ReportedLoads told;
  for (int i = 1; i <= 6; i++) {
    CHECK(told.Record(Work("a", i)) == i);
  }
  CHECK(told.SubtractReported(Work("a", 10), 6).at("a").mRequests == 4);
  CHECK(told.SubtractReported(Work("a", 10), 1).at("a").mRequests == 10);
  CHECK(told.SubtractReported(Work("a", 10), 0).at("a").mRequests == 10);
  CHECK(told.SubtractReported({}, 6).empty());
}

Test(loads, upstreams_are_lost_by_several_witnesses) {
  LoadAggregator book({.mReportRetention = 2500, .mSumInterval = 40});
  LoadShares lost{{"a", {.mInstance = "a", .mUnreachableReporters = 1}}};
  book.OnRouterReport("r1", 1, lost, 0);
  CHECK(book.UnreachableUpstreams(2, 0).empty());
  book.OnControlReport("c2", lost, 1, 50);
  CHECK(book.UnreachableUpstreams(2, 50).contains("a"));
}

Test(loads, tables_travel_without_rows_of_nothing) {
  LoadShares shares = Work("a", 2);
  shares["idle"].mInstance = "idle";
  LoadTable table = LoadTable::Of(shares);
  CHECK(table.mInstances.size() == 1);
  CHECK(table.mUnreachableReporters.empty());
  CHECK(table.ToShares() == Work("a", 2));
  table.mFirstStageRequests = {1, 2};
  CHECK(CodeThrownBy([&table] { table.ToShares(); }) == ResultCode::kBadField);
}
