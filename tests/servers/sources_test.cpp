#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/servers/limits/router_count.h"
#include "spindleweir/servers/membership/control_list_schedule.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "spindleweir/servers/membership/source_choice.h"
#include "spindleweir/servers/membership/source_lag.h"
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

SourceChoiceInput InputOf(const ControlDirectory& aDirectory,
                          const std::string& aProcess) {
  SourceChoiceInput input;
  input.mDirectory = &aDirectory;
  input.mProcess = aProcess;
  input.mZone = "z2";
  input.mNow = 1000;
  return input;
}

std::string ZoneOfAll(const std::string&) {
  return "z";
}

LoadShares Work(const std::string& aInstance, int aRequests) {
  return {{aInstance, {.mInstance = aInstance, .mRequests = aRequests}}};
}

}  // namespace

Test(sources, a_router_polls_a_few_controls_of_several_zones) {
  const ControlDirectory directory = SixControls();
  SECTION("the first is in its own zone, the others in the other zones") {
    const auto chosen = ChooseSources(InputOf(directory, "r1"));
    REQUIRE(chosen.size() == 3);
    CHECK(directory.ZoneAt(chosen[0]) == "z2");
    CHECK(directory.ZoneAt(chosen[1]) != "z2");
    CHECK(directory.ZoneAt(chosen[2]) != "z2");
    CHECK(directory.ZoneAt(chosen[1]) != directory.ZoneAt(chosen[2]));
  }
  SECTION("routers are spread over the controls of their zone") {
    std::map<std::string, int> firsts;
    for (int i = 0; i < 100; i++) {
      const std::string process = "r" + std::to_string(i);
      firsts[ChooseSources(InputOf(directory, process)).front().Text()]++;
    }
    CHECK(firsts.size() == 2);
    CHECK(firsts.begin()->second > 25 && firsts.begin()->second < 75);
  }
  SECTION("a control that does not answer is replaced for a while") {
    SourceChoiceInput input = InputOf(directory, "r1");
    const std::string first = ChooseSources(input).front().Text();
    input.mFailedAt[first] = 900;
    const auto chosen = ChooseSources(input);
    CHECK(chosen.front().Text() != first);
    CHECK(directory.ZoneAt(chosen.front()) == "z2");
    input.mNow = 900 + input.mFailureAvoidance;
    CHECK(ChooseSources(input).front().Text() == first);
  }
  SECTION("a router polls other zones if its own has no control") {
    SourceChoiceInput input = InputOf(directory, "r1");
    input.mFailedAt["10.2.0.1:7001"] = 900;
    input.mFailedAt["10.2.0.1:7002"] = 900;
    for (const Endpoint& address : ChooseSources(input)) {
      CHECK(directory.ZoneAt(address) != "z2");
    }
  }
  SECTION("if there are few controls, all are polled") {
    ControlDirectory few;
    few.SetSeeds({{"10.0.0.1", 1}, {"10.0.0.2", 1}});
    CHECK(ChooseSources(InputOf(few, "r1")).size() == 2);
  }
}

Test(sources, a_control_that_does_not_answer_is_polled_less_often) {
  // Guards against overload at a start: when 31 routers that started together
  // polled again every 0.3 s, two controls only wrote answers that were too
  // late for 10 s.
  const PolledControl near{
      .mInterval = 400, .mIsNearest = true, .mLacksConfiguration = true};
  SECTION("a control that answers is polled at the interval it asks for") {
    CHECK(NextPollDelay(near) == 400);
    CHECK(PollTimeout(near) == 300);
    PolledControl far = near;
    far.mIsNearest = false;
    CHECK(NextPollDelay(far) == 1600);
  }
  SECTION("others are polled less often while it answers and bytes cost much") {
    PolledControl far{.mInterval = 150, .mNearestAnswers = true};
    CHECK(NextPollDelay(far) == 1200);
    far.mCosts.mInterZoneByte = 0.5;
    CHECK(NextPollDelay(far) == 900);
    far.mCosts.mInterZoneByte = 0;
    CHECK(NextPollDelay(far) == 600);
    far.mCosts.mInterZoneByte = 1;
    far.mNearestAnswers = false;
    CHECK(NextPollDelay(far) == 600);
    // Not longer than a leaving upstream may get new work.
    far.mNearestAnswers = true;
    far.mInterval = 250;
    CHECK(NextPollDelay(far) == 1200);
  }
  SECTION("each failure doubles the delay, up to four times") {
    PolledControl control = near;
    std::vector<Millis> waits;
    std::vector<Millis> timeouts;
    for (control.mFailures = 0; control.mFailures < 5; control.mFailures++) {
      waits.push_back(NextPollDelay(control));
      timeouts.push_back(PollTimeout(control));
    }
    CHECK((waits == std::vector<Millis>{400, 800, 1600, 1600, 1600}));
    CHECK((timeouts == std::vector<Millis>{300, 600, 1000, 1000, 1000}));
  }
  SECTION("jitter spreads the next polls over half of the delay") {
    PolledControl control = near;
    control.mFailures = 2;
    control.mJitter = 0;
    CHECK(NextPollDelay(control) == 800);
  }
  SECTION("the timeout is longer once a configuration is held") {
    PolledControl control = near;
    control.mLacksConfiguration = false;
    CHECK(PollTimeout(control) == 1000);
  }
}

Test(sources, a_confirmation_may_arrive_by_another_control) {
  // Guards against routers that refuse all requests: a router that does not
  // poll the leader must get its lease by way of another control.
  NewestConfirmation held;
  SECTION("nothing is forwarded before the first confirmation") {
    CHECK(held.Age(50) == -1);
    held.Update(7, 100, -1);
    CHECK(held.Age(150) == -1);
  }
  held.Update(7, 1000, 20);
  SECTION("its age counts from the poll of the other control") {
    CHECK(held.Version() == 7);
    CHECK(held.Age(1100) == 120);
  }
  SECTION("an older confirmation by another way changes nothing") {
    held.Update(6, 1050, 400);
    CHECK(held.Version() == 7);
    CHECK(held.Age(1100) == 120);
  }
  SECTION("a router without the confirmed version gets no lease") {
    ConfigurationLease lease(4000);
    lease.Confirm(held.Version(), 6, 1100, held.Age(1100));
    CHECK(!lease.IsValid(1110));
    lease.Confirm(held.Version(), 7, 1100, held.Age(1100));
    CHECK(lease.IsValid(1110));
    CHECK(!lease.IsValid(980 + 4000));
  }
}

// Each answer to a router held all controls: with 25 of them 4.6 KB/s for each
// router, half of what control may cost a VM, and most of the work of an answer
// that brings nothing new.
Test(sources, the_list_of_controls_is_not_in_each_answer) {
  const auto listOf = [](int aControls) {
    std::vector<ControlInfo> list;
    for (int i = 0; i < aControls; i++) {
      list.push_back({.mId = ControlId({"10.0.0.1", 7000 + i}, "first")});
    }
    return list;
  };
  SECTION("a router that polls for a minute gets it each five seconds") {
    for (const int controls : {25, 50}) {
      ControlListSchedule schedule{ControlListOptions{}};
      int lists = 0;
      for (Millis now = 0; now < 60000; now += 400) {
        lists += schedule.IsDue({.mProcess = "r", .mIsFirst = now == 0},
                                listOf(controls), now)
                     ? 1
                     : 0;
      }
      CHECK(lists == 12);
    }
  }
  ControlListSchedule schedule{ControlListOptions{}};
  REQUIRE(schedule.IsDue({.mProcess = "r"}, listOf(25), 0));
  REQUIRE(schedule.IsDue({.mProcess = "c", .mIsControl = true}, listOf(25), 0));
  SECTION("a control each second") {
    CHECK(!schedule.IsDue({.mProcess = "c", .mIsControl = true}, listOf(25),
                          999));
    CHECK(schedule.IsDue({.mProcess = "c", .mIsControl = true}, listOf(25),
                         1000));
  }
  SECTION("at once when a control appears, or after a restart") {
    CHECK(!schedule.IsDue({.mProcess = "r"}, listOf(25), 1100));
    CHECK(schedule.IsDue({.mProcess = "r"}, listOf(26), 1200));
    CHECK(!schedule.IsDue({.mProcess = "r"}, listOf(26), 1300));
    CHECK(
        schedule.IsDue({.mProcess = "r", .mIsFirst = true}, listOf(26), 1400));
  }
  SECTION("processes that poll no more are forgotten") {
    CHECK(schedule.Pollers() == 2);
    CHECK(schedule.IsDue({.mProcess = "other"}, listOf(25), 40000));
    CHECK(schedule.Pollers() == 1);
  }
}

Test(sources, polls_of_a_control_do_not_grow_with_the_routers) {
  // Each router polls one control as its nearest and two others.
  const auto pollsPerSecond = [](std::size_t aRouters, std::size_t aControls) {
    const std::size_t nearest = aRouters / aControls;
    const Millis interval = RouterPollInterval(3 * nearest);
    const PolledControl other{.mInterval = interval, .mNearestAnswers = true};
    return 1000.0 * static_cast<double>(nearest) /
               static_cast<double>(interval) +
           1000.0 * static_cast<double>(2 * nearest) /
               static_cast<double>(NextPollDelay(other));
  };
  CHECK(RouterPollInterval(10) == 150);
  SECTION("1,000 and 2,000 routers, at 25 controls and at twice as many") {
    CHECK(pollsPerSecond(1000, 25) <= 145);
    CHECK(pollsPerSecond(2000, 25) <= 145);
    CHECK(pollsPerSecond(2000, 50) <= 145);
  }
}

// What is told was kept for 2.5 s and the nearest control counted as in contact
// for 1.5 s, while a router of a control with 300 polled each 1.05 s and others
// each 4.2 s: routers were dropped from the count between two polls.
Test(sources, windows_outlast_the_polls_of_many_routers) {
  SECTION("few routers: as long as before") {
    CHECK(LoadsRetention(150) == 2500);
    CHECK(PollerRetention(150) == 2500);
    CHECK(NearestContactWindow(150) == 1500);
  }
  SECTION("25 controls of 1,000, 2,000 and 8,000 routers") {
    for (const std::size_t routers :
         {std::size_t{1000}, std::size_t{2000}, std::size_t{8000}}) {
      const Millis interval = RouterPollInterval(3 * routers / 25);
      const Millis others =
          NextPollDelay({.mInterval = interval, .mNearestAnswers = true});
      CHECK(LoadsRetention(interval) >= 3 * interval);
      CHECK(NearestContactWindow(interval) >= 3 * interval);
      CHECK(PollerRetention(interval) >= 2 * others);
    }
  }
}

// All controls polled each other at one interval, so that their polls grew with
// the square of their number.
Test(sources, polls_between_controls_grow_with_their_number_only) {
  const auto pollsPerSecond = [](std::size_t aControls) {
    return 1000.0 * static_cast<double>(aControls - 1) /
           static_cast<double>(ControlPollInterval(aControls));
  };
  SECTION("few controls poll each other three times a second") {
    CHECK(ControlPollInterval(6) == 300);
    CHECK(ControlPollInterval(25) == 300);
    CHECK(ControlContactTimeout(25) == 1500);
  }
  SECTION("of many, each sends no more polls than each of 25") {
    for (const std::size_t n : {std::size_t{50}, std::size_t{100}}) {
      CHECK(pollsPerSecond(n) <= 84);
      CHECK(pollsPerSecond(n) >= pollsPerSecond(25));
      CHECK(ControlContactTimeout(n) == 5 * ControlPollInterval(n));
    }
  }
}

// A router whose three sources all lacked the newest version polled them, and
// no others, for as long as they answered.
Test(sources, a_control_that_lacks_the_newest_version_is_replaced) {
  const ControlDirectory directory = SixControls();
  SourceChoiceInput input = InputOf(directory, "r1");
  const auto chosen = ChooseSources(input);
  SourceLag lag({.mTolerance = 1500});
  const SourceVersions behind{.mHeld = 4, .mConfirmed = 5};
  const SourceVersions current{.mHeld = 5, .mConfirmed = 5};
  SECTION("not at once: the version may be on its way") {
    CHECK(!lag.OnAnswer("a", behind, 1000));
    CHECK(!lag.OnAnswer("a", behind, 2499));
  }
  SECTION("not if it sent the version meanwhile") {
    CHECK(!lag.OnAnswer("a", current, 2500));
    CHECK(!lag.OnAnswer("a", behind, 3000));
  }
  SECTION("once it stays behind, others are polled for a while") {
    for (const Endpoint& address : chosen) {
      CHECK(!lag.OnAnswer(address.Text(), behind, 1000));
      CHECK(lag.OnAnswer(address.Text(), behind, 2500));
      input.mFailedAt[address.Text()] = 2500;
    }
    input.mNow = 2500;
    for (const Endpoint& address : ChooseSources(input)) {
      CHECK(std::find(chosen.begin(), chosen.end(), address) == chosen.end());
    }
  }
  SECTION("a control that knows of no newer version is not behind") {
    CHECK(!lag.OnAnswer("b", {.mHeld = 5, .mConfirmed = 0}, 5000));
    CHECK(!lag.OnAnswer("b", {.mHeld = 5, .mConfirmed = 4}, 9000));
  }
}

Test(sources, all_controls_send_upstream_changes_if_upstreams_are_few) {
  const PollingRouter near{.mIsNearest = true, .mNearestAnswers = true};
  const PollingRouter far{.mIsNearest = false, .mNearestAnswers = true};
  const PollingRouter lost{.mIsNearest = false, .mNearestAnswers = false};
  CHECK(SendsUpstreamChanges(far, 400));
  SECTION("with many upstreams only the nearest does while it answers") {
    CHECK(SendsUpstreamChanges(near, 3000));
    CHECK(!SendsUpstreamChanges(far, 3000));
    CHECK(SendsUpstreamChanges(lost, 3000));
  }
}

Test(loads, each_router_receives_the_loads_of_all_others) {
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
  SECTION("without its own") {
    CHECK(others(first, "r1", 0) == 14);
    CHECK(others(second, "r2", 0) == 13);
  }
  SECTION("its own load is subtracted as it was added, also between sums") {
    book.OnRouterReport("r1", first.Record(Work("a", 100)), Work("a", 100), 10);
    CHECK(others(first, "r1", 10) == 14);
    CHECK(others(second, "r2", 60) == 110);
    CHECK(others(first, "r1", 60) == 14);
  }
  SECTION("another control receives only the loads reported here") {
    CHECK(UnpackLoads(book.PackedLocal(60).mText).at("a").mRequests == 104);
    CHECK(book.AllRouters(60) == 7);
  }
  SECTION("a router that sends no reports does not count") {
    book.OnRouterReport("r2", second.Record(Work("a", 1)), Work("a", 1), 2000);
    CHECK(UnpackLoads(book.PackedSum("z", ZoneOfAll, 2600).mText)
              .at("a")
              .mRequests == 1);
    CHECK(book.IncludedSequence("r1") == 0);
    // Routers of a silent control may still run at the other side of a cut.
    CHECK(book.AllRouters(2600) == 6);
    CHECK(book.AllRouters(60000) == 5);
    CHECK(book.AllRouters(60001) == 0);
  }
}

Test(loads, a_router_counts_once_after_a_restart) {
  LoadAggregator book({.mReportRetention = 2500});
  ReportedLoads told;
  book.OnRouterReport("r1/a", told.Record(Work("u", 3)), Work("u", 3), 0);
  book.OnRouterReport("r2/a", told.Record(Work("u", 4)), Work("u", 4), 0);
  SECTION("the load of the earlier process is dropped") {
    book.OnRouterReport("r1/b", 1, Work("u", 1), 100);
    CHECK(book.LocalRouters(100) == 2);
    CHECK(UnpackLoads(book.PackedSum("z", ZoneOfAll, 100).mText)
              .at("u")
              .mRequests == 5);
    CHECK(book.IncludedSequence("r1/a") == 0 &&
          book.IncludedSequence("r1/b") == 1);
  }
}

Test(loads, the_number_of_routers_can_rise_and_fall) {
  RouterCount count({.mRetention = 10000});
  SECTION("before any report a router counts itself only") {
    CHECK(count.Value() == 1);
  }
  SECTION("it rises at once") {
    count.OnReport(195, 0);
    count.OnReport(342, 100);
    CHECK(count.Value() == 342);
  }
  SECTION("it falls once the greater number was not reported for a while") {
    for (Millis now = 200; now <= 10100; now += 100) {
      count.OnReport(195, now);
    }
    CHECK(count.Value() == 342);
    count.OnReport(195, 10101);
    CHECK(count.Value() == 195);
  }
  SECTION("a control that knows only a part for a short time changes nothing") {
    for (Millis now = 11000; now < 14000; now += 100) {
      count.OnReport(35, now);
    }
    CHECK(count.Value() == 195);
    count.OnReport(195, 14000);
    count.OnReport(35, 14001);
    CHECK(count.Value() == 195);
  }
  SECTION("it stays while control is silent") {
    CHECK(count.Value() == 195);
    count.OnReport(0, 90000);
    CHECK(count.Value() == 195);
  }
}

/// Guards against a router that takes the part of many: after a cut the control
/// that it reached first knew of no others yet.
Test(loads, the_number_of_routers_does_not_fall_in_a_cut) {
  RouterCount count({.mRetention = 10000});
  count.OnReport(7, 0);
  count.OnReport(1, 15000);
  CHECK(count.Value() == 7);
  SECTION("it falls after as much time in contact") {
    for (Millis now = 15200; now <= 24000; now += 200) {
      count.OnReport(1, now);
    }
    CHECK(count.Value() == 7);
    count.OnReport(1, 24200);
    CHECK(count.Value() == 1);
  }
}

Test(loads, routers_of_a_large_fleet_receive_the_loads_of_their_zone) {
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
  SECTION("each sum has a number of its own") {
    CHECK(ofA.mSequence != ofB.mSequence);
    CHECK(book.PackedSum("a", zoneOf, 60).mSequence == ofA.mSequence);
    CHECK(book.PackedSum("a", zoneOf, 100).mSequence > ofB.mSequence);
  }
}

Test(loads, only_stored_reports_are_subtracted) {
  ReportedLoads told;
  for (int i = 1; i <= 6; i++) {
    CHECK(told.Record(Work("a", i)) == i);
  }
  CHECK(told.SubtractReported(Work("a", 10), 6).at("a").mRequests == 4);
  CHECK(told.SubtractReported(Work("a", 10), 1).at("a").mRequests == 10);
  CHECK(told.SubtractReported(Work("a", 10), 0).at("a").mRequests == 10);
  CHECK(told.SubtractReported({}, 6).empty());
}

Test(loads, upstreams_are_unreachable_if_several_routers_report_it) {
  LoadAggregator book({.mReportRetention = 2500, .mSumInterval = 40});
  LoadShares lost{{"a", {.mInstance = "a", .mUnreachableReporters = 1}}};
  book.OnRouterReport("r1", 1, lost, 0);
  CHECK(book.UnreachableUpstreams(2, 0).empty());
  book.OnControlReport("c2", lost, 1, 50);
  CHECK(book.UnreachableUpstreams(2, 50).contains("a"));
}

Test(loads, tables_leave_out_empty_rows) {
  LoadShares shares = Work("a", 2);
  shares["idle"].mInstance = "idle";
  LoadTable table = LoadTable::Of(shares);
  CHECK(table.mInstances.size() == 1);
  CHECK(table.mUnreachableReporters.empty());
  CHECK(table.ToShares() == Work("a", 2));
  table.mFirstStageRequests = {1, 2};
  CHECK(CodeThrownBy([&table] { table.ToShares(); }) == ResultCode::kBadField);
}
