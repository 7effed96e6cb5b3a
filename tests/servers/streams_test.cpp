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
  const auto spend = [&](Millis aNow) {
    while (allowance.TrySpend(aNow)) {
      spent++;
    }
  };
  SECTION("a router has nothing of the slack without asking control") {
    spend(0);
    CHECK(spent == 0);
  }
  SECTION("requests earn retries, of which two fifths of the ratio are saved") {
    for (int i = 0; i < 100; i++) {
      allowance.RequestStarted(5000);
    }
    spend(5000);
    CHECK(spent == 8);
  }
  SECTION("further requests earn three fifths of the ratio") {
    for (int i = 0; i < 100; i++) {
      allowance.RequestStarted(6000);
      spend(6000);
    }
    CHECK(spent == 8 + 12);
  }
  SECTION("savings are lost with the requests that leave the window") {
    for (int i = 0; i < 100; i++) {
      allowance.RequestStarted(7000);
    }
    CHECK(allowance.Available(16000) >= 8);
    CHECK(allowance.Available(30000) == 0);
  }
}

Test(streams, retries_stay_within_the_ratio_when_all_routers_restart) {
  // The limit covers all router processes of a window, including those that
  // ended in it. It was exceeded when each new process had a part of its own
  // again.
  constexpr int kRouters = 8;
  constexpr int kRequests = 100;
  int spent = 0;
  const auto spend = [&spent](int aRequests) {
    for (int i = 0; i < kRouters; i++) {
      RetryAllowance allowance({.mSlack = 200});
      for (int n = 0; n < aRequests; n++) {
        allowance.RequestStarted(0);
        while (allowance.TrySpend(0)) {
          spent++;
        }
      }
    }
  };
  spend(kRequests);
  const int once = spent;
  CHECK(once >= 0.1 * kRouters * kRequests);
  SECTION("processes that start have nothing before requests have earned it") {
    spend(1);
    CHECK(spent == once);
  }
  SECTION("both together are within the ratio of all requests") {
    spend(kRequests);
    CHECK(spent > once);
    CHECK(spent <= 0.2 * kRouters * (2 * kRequests + 1));
  }
}
