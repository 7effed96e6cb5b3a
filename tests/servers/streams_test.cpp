#include "spindleweir/servers/routing/retry_allowance.h"
#include "spindleweir/servers/streams/event_reader.h"
#include "spindleweir/servers/streams/stall_detector.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(streams, events_are_complete_for_any_split_of_the_bytes) {
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

Test(streams, an_engine_is_suspected_if_all_its_streams_stall) {
  StallDetector detector;
  const auto run = [&detector](Millis aFrom, Millis aTo,
                               std::initializer_list<StreamKey> aKeys) {
    for (Millis at = aFrom; at < aTo; at += 50) {
      for (StreamKey key : aKeys) {
        detector.OnEvent(key, at + static_cast<Millis>(key));
      }
    }
  };
  detector.Begin(1, {"a", "b"}, 0);
  detector.Begin(2, {"a", "c"}, 0);
  detector.Begin(3, {"d", "c"}, 0);
  run(50, 1000, {1, 2, 3});
  CHECK(detector.SuspectInstances(1000).empty());
  SECTION("only b is suspected if its stream stalls and the others go on") {
    run(1000, 1400, {2, 3});
    CHECK(detector.SuspectInstances(1390) == std::vector<std::string>{"b"});
    CHECK(detector.SilentStreams(300, 1390) == std::vector<StreamKey>{1});
  }
  SECTION("a stream with a slow caller is no evidence") {
    detector.Suspend(1);
    CHECK(detector.SuspectInstances(1390).empty());
  }
  SECTION("ended streams are no evidence") {
    detector.End(1);
    detector.End(2);
    detector.End(3);
    CHECK(detector.SuspectInstances(9000).empty());
  }
}

Test(streams, retries_stay_within_the_allowance) {
  RetryAllowance allowance(
      {.mRatio = 0.2, .mWindow = 10000, .mSlack = 80, .mUsableShare = 1});
  int spent = 0;
  SECTION("the slack is divided among the routers") {
    while (allowance.TrySpend(8, 0)) {
      spent++;
    }
    CHECK(spent == 10);
  }
  SECTION("requests add their ratio until they leave the window") {
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

Test(streams, retries_stay_within_the_slack_when_all_routers_restart) {
  // The limit covers all router processes of a window, including those that
  // ended in it. It was exceeded when each new process used its whole share
  // again.
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
  SECTION("the previous processes may have spent all of their share") {
    CHECK(spent <= 200);
  }
  SECTION("new processes have some retries") {
    CHECK(spent > once);
  }
  SECTION("after a full window they have their whole share") {
    spent = 0;
    spend(after, kRestart + after.mWindow);
    CHECK(spent == once);
  }
}
