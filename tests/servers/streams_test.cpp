#include "spindleweir/servers/routing/retry_allowance.h"
#include "spindleweir/servers/streams/event_reader.h"
#include "spindleweir/servers/streams/stall_detector.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(streams, events_are_whole_however_the_bytes_come) {
  const std::string bytes =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c";
  for (std::size_t step = 1; step <= bytes.size(); step++) {
    EventReader reader;
    std::vector<ServerSentEvent> events;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      for (ServerSentEvent& event : reader.Append(bytes.substr(at, step))) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].mId == 1 && events[0].mBytes == "id: 1\ndata: a\n\n");
    CHECK(events[1].mId == 2);
    CHECK(!events[2].mId.has_value());
    CHECK(reader.Incomplete() == "id: 3\ndata: c");
  }
}

Test(streams, an_engine_is_suspected_when_all_its_streams_pause) {
  StallDetector watch;
  const auto run = [&watch](Millis aFrom, Millis aTo,
                            std::initializer_list<StreamKey> aKeys) {
    for (Millis at = aFrom; at < aTo; at += 50) {
      for (StreamKey key : aKeys) {
        watch.OnEvent(key, at + static_cast<Millis>(key));
      }
    }
  };
  watch.Begin(1, {"a", "b"}, 0);
  watch.Begin(2, {"a", "c"}, 0);
  watch.Begin(3, {"d", "c"}, 0);
  run(50, 1000, {1, 2, 3});
  CHECK(watch.SuspectInstances(1000).empty());
  SECTION("b stands still, the others go on") {
    run(1000, 1400, {2, 3});
    CHECK(watch.SuspectInstances(1390) == std::vector<std::string>{"b"});
    CHECK(watch.SilentStreams(300, 1390) == std::vector<StreamKey>{1});
  }
  SECTION("a caller that reads slowly proves nothing") {
    watch.Suspend(1);
    CHECK(watch.SuspectInstances(1390).empty());
  }
  SECTION("streams that ended prove nothing") {
    watch.End(1);
    watch.End(2);
    watch.End(3);
    CHECK(watch.SuspectInstances(9000).empty());
  }
}

Test(streams, retries_stay_within_their_share) {
  RetryAllowance allowance(
      {.mRatio = 0.2, .mWindow = 10000, .mSlack = 80, .mUsableShare = 1});
  int spent = 0;
  SECTION("the slack is divided by the routers") {
    while (allowance.TrySpend(8, 0)) {
      spent++;
    }
    CHECK(spent == 10);
  }
  SECTION("requests add their ratio, and the window forgets") {
    for (int i = 0; i < 100; i++) {
      allowance.RequestStarted(5000);
    }
    while (allowance.TrySpend(8, 5000)) {
      spent++;
    }
    CHECK(spent == 30);
    CHECK(allowance.Available(8, 30000) == 10);
  }
}

Test(streams, retries_stay_within_their_share_over_a_restart_of_all_routers) {
  // The bound is on what all routers send in a window, those included that
  // ended in it: each start took its whole share anew.
  constexpr int kRouters = 8;
  constexpr Millis kRestart = 20000;
  const RetryAllowanceOptions before{.mSlack = 200, .mStartedAt = 0};
  const RetryAllowanceOptions after{.mSlack = 200, .mStartedAt = kRestart};
  int spent = 0;
  const auto spend = [&spent](const RetryAllowanceOptions& aOptions,
                              Millis aNow) {
    for (int i = 0; i < kRouters; i++) {
      RetryAllowance allowance(aOptions);
      while (allowance.TrySpend(kRouters, aNow)) {
        spent++;
      }
    }
  };
  spend(before, kRestart - 1);
  const int once = spent;
  spend(after, kRestart);
  SECTION("whatever those that ended have spent") {
    CHECK(spent <= 200);
  }
  SECTION("a start leaves some") {
    CHECK(spent > once);
  }
  SECTION("and all again once a window has passed") {
    spent = 0;
    spend(after, kRestart + after.mWindow);
    CHECK(spent == once);
  }
}
