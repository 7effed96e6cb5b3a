#include <map>
#include <random>
#include <set>

#include "spindleweir/servers/membership/collector_choice.h"
#include "spindleweir/servers/membership/heartbeat_collector.h"
#include "spindleweir/servers/membership/upstream_feed.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

UpstreamRecord Record(const std::string& aInstance, std::int64_t aSequence) {
  return {.mInstance = aInstance,
          .mService = "s",
          .mAddress = "10.0.0.1:" + aInstance.substr(1),
          .mZone = "z",
          .mSequence = aSequence};
}

/// Merges a router's report of collected heartbeats, as a control does.
void MergeReport(UpstreamRegistry& aRegistry,
                 const CollectedHeartbeats& aReport, Millis aNow) {
  for (const UpstreamRecord& record : aReport.mChanged) {
    aRegistry.Merge(record, aNow);
  }
  for (const UpstreamHeartbeat& heartbeat : aReport.mHeartbeats) {
    aRegistry.MergeHeartbeat(heartbeat, aNow);
  }
}

}  // namespace

Test(collectors, a_control_collects_few_heartbeats_and_delegates_many) {
  CollectorChoice choice({.mMaxLocalHeartbeats = 10, .mPollWindow = 2500});
  choice.OnPolled("r1", "z", "10.0.1.1:7000", 0);
  choice.OnPolled("r2", "z", "10.0.1.2:7000", 0);
  choice.OnPolled("r3", "other", "10.0.1.3:7000", 0);
  SECTION("few are collected here") {
    for (int i = 0; i < 10; i++) {
      CHECK(choice.OnHeartbeat("i" + std::to_string(i), "z", 100).empty());
    }
    CHECK(!choice.Delegates(100));
  }
  SECTION("many go to routers of the zone, always to the same one") {
    std::map<std::string, int> named;
    for (int i = 0; i < 100; i++) {
      const std::string instance = "i" + std::to_string(i);
      const std::string address = choice.OnHeartbeat(instance, "z", 200);
      CHECK(address == choice.OnHeartbeat(instance, "z", 200));
      named[address]++;
    }
    CHECK(named.size() == 2);
    CHECK(named["10.0.1.1:7000"] > 25 && named["10.0.1.2:7000"] > 25);
    CHECK(choice.Delegates(300));
  }
  SECTION("with no polling router in the zone they are collected here") {
    CHECK(choice.OnHeartbeat("i1", "far", 200).empty());
  }
  SECTION("a router that stops or has not polled recently is not assigned") {
    choice.OnPolled("r1", "z", "", 300);
    for (int i = 0; i < 20; i++) {
      CHECK(choice.OnHeartbeat("i" + std::to_string(i), "z", 400) ==
            "10.0.1.2:7000");
    }
    CHECK(choice.OnHeartbeat("i1", "z", 2600).empty());
  }
  SECTION("they are collected here again once they are few") {
    CHECK(choice.OnHeartbeat("i1", "z", 9000).empty());
  }
}

Test(collectors, a_control_receives_what_it_lacks) {
  HeartbeatCollector collector;
  collector.ApplyHeartbeat(Record("i1", 1), 0);
  collector.ApplyHeartbeat(Record("i2", 1), 0);
  const CollectedHeartbeats first = collector.Unreported("start-1", 100);
  CHECK(first.mChanged.size() == 2 && first.mHeartbeats.empty());
  CHECK(first.mChanged[0].mLastSeenAgo == 100);
  SECTION("a report is repeated until it is acknowledged") {
    CHECK(collector.Unreported("start-1", 200).mChanged.size() == 2);
  }
  collector.Acknowledge("start-1", first.mNumber);
  CHECK(collector.Unreported("start-1", 300).mChanged.empty());
  collector.ApplyHeartbeat(Record("i1", 2), 1200);
  UpstreamRecord loaded = Record("i2", 2);
  loaded.mLayers = {0, 8};
  collector.ApplyHeartbeat(loaded, 1200);
  SECTION("full records are sent only with a change") {
    const CollectedHeartbeats next = collector.Unreported("start-1", 1300);
    REQUIRE(next.mHeartbeats.size() == 1 && next.mChanged.size() == 1);
    CHECK(next.mHeartbeats[0].mInstance == "i1" &&
          next.mHeartbeats[0].mSequence == 2);
    CHECK(next.mChanged[0].mLayers.Count() == 8);
  }
  SECTION("a restarted control receives all records") {
    CHECK(collector.Unreported("start-2", 1300).mChanged.size() == 2);
  }
  SECTION("a late heartbeat changes nothing") {
    collector.Acknowledge("start-1",
                          collector.Unreported("start-1", 1300).mNumber);
    collector.ApplyHeartbeat(Record("i2", 1), 1400);
    CHECK(collector.Unreported("start-1", 1400).mChanged.empty());
  }
  SECTION("only the first leaving heartbeat must be reported at once") {
    UpstreamRecord leaving = Record("i1", 3);
    leaving.mState = UpstreamState::kLeaving;
    CHECK(collector.ApplyHeartbeat(leaving, 2400));
    leaving.mSequence = 4;
    CHECK(!collector.ApplyHeartbeat(leaving, 3600));
    CHECK(collector.ApplyLeave("i1", 4000)->mState == UpstreamState::kGone);
    CHECK(collector.ApplyLeave("i9", 4000) == nullptr);
  }
  SECTION("an upstream that sends no heartbeats any more is removed") {
    collector.ApplyHeartbeat(Record("i1", 3), 9000);
    CHECK(collector.Unreported("start-2", 12000).mChanged.size() == 1);
  }
}

Test(collectors, a_live_upstream_is_not_silent_when_its_collector_is_lost) {
  // Upstreams send a heartbeat every 1.2 s. Collectors restart at random and
  // report to a control every 0.5 s; some reports or their acknowledgements are
  // lost. The upstreams of a lost collector call the control after a second.
  constexpr Millis kHeartbeatInterval = 1200;
  constexpr Millis kSilenceTimeout = 3 * kHeartbeatInterval + 2400;
  for (unsigned seed = 1; seed <= 60; seed++) {
    std::mt19937 random(seed);
    UpstreamRegistry control;
    std::vector<HeartbeatCollector> collectors(4);
    std::vector<Millis> downUntil(collectors.size(), 0);
    std::vector<int> collectorOf(30, -1);  // -1: the control itself.
    std::vector<Millis> nextHeartbeat(collectorOf.size());
    std::vector<std::int64_t> sequences(collectorOf.size(), 0);
    for (Millis& at : nextHeartbeat) {
      at = static_cast<Millis>(random() % kHeartbeatInterval);
    }
    for (Millis now = 0; now < 60000; now += 100) {
      if (random() % 30 == 0) {
        const std::size_t lost = random() % collectors.size();
        collectors[lost] = HeartbeatCollector();
        downUntil[lost] = now + 500 + static_cast<Millis>(random() % 4000);
      }
      for (std::size_t i = 0; i < collectorOf.size(); i++) {
        if (now < nextHeartbeat[i]) {
          continue;
        }
        const UpstreamRecord record =
            Record("i" + std::to_string(i), ++sequences[i]);
        nextHeartbeat[i] = now + kHeartbeatInterval;
        if (collectorOf[i] < 0) {
          control.ApplyHeartbeat(record, now);
          collectorOf[i] = static_cast<int>(random() % collectors.size());
        } else if (now < downUntil[static_cast<std::size_t>(collectorOf[i])]) {
          // After a second without an answer the upstream calls the control.
          collectorOf[i] = -1;
          nextHeartbeat[i] = now + 1000;
        } else {
          collectors[static_cast<std::size_t>(collectorOf[i])].ApplyHeartbeat(
              record, now);
        }
      }
      for (std::size_t t = 0; t < collectors.size(); t++) {
        const bool reports = now % 500 == static_cast<Millis>(t) * 100;
        if (!reports || now < downUntil[t]) {
          continue;
        }
        const CollectedHeartbeats report =
            collectors[t].Unreported("start", now);
        const bool arrives = random() % 4 != 0;
        const bool answered = arrives && random() % 4 != 0;
        if (arrives) {
          MergeReport(control, report, now);
        }
        if (answered) {
          collectors[t].Acknowledge("start", report.mNumber);
        }
      }
      CHECK(control.Expire(kSilenceTimeout, now).empty());
    }
    CHECK(control.Size() == collectorOf.size());
  }
}

Test(collectors, a_dead_upstream_is_silent_while_its_collector_lives) {
  UpstreamRegistry control;
  HeartbeatCollector collector;
  collector.ApplyHeartbeat(Record("i1", 1), 0);
  for (Millis now = 0; now <= 6000; now += 500) {
    const CollectedHeartbeats report = collector.Unreported("start", now);
    MergeReport(control, report, now);
    collector.Acknowledge("start", report.mNumber);
  }
  CHECK(control.Expire(6000, 6000).empty());
  CHECK(control.Expire(6000, 6001).size() == 1);
}
