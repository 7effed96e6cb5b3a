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

/// What a control does with what a router tells.
void Take(UpstreamRegistry& aRegistry, const CollectedHeartbeats& aBeats,
          Millis aNow) {
  for (const UpstreamRecord& record : aBeats.mChanged) {
    aRegistry.Merge(record, aNow);
  }
  for (const UpstreamHeartbeat& beat : aBeats.mHeartbeats) {
    aRegistry.MergeHeartbeat(beat, aNow);
  }
}

}  // namespace

Test(takers, a_control_takes_few_heartbeats_itself_and_hands_on_many) {
  CollectorChoice choice({.mMaxLocalHeartbeats = 10, .mPollWindow = 2500});
  choice.OnPolled("r1", "z", "10.0.1.1:7000", 0);
  choice.OnPolled("r2", "z", "10.0.1.2:7000", 0);
  choice.OnPolled("r3", "other", "10.0.1.3:7000", 0);
  SECTION("few: here") {
    for (int i = 0; i < 10; i++) {
      CHECK(choice.OnHeartbeat("i" + std::to_string(i), "z", 100).empty());
    }
    CHECK(!choice.Delegates(100));
  }
  SECTION("many: to routers of the zone, the same one each time") {
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
  SECTION("nobody of the zone asks: here") {
    CHECK(choice.OnHeartbeat("i1", "far", 200).empty());
  }
  SECTION("one that stops, or did not ask for long, is not named") {
    choice.OnPolled("r1", "z", "", 300);
    for (int i = 0; i < 20; i++) {
      CHECK(choice.OnHeartbeat("i" + std::to_string(i), "z", 400) ==
            "10.0.1.2:7000");
    }
    CHECK(choice.OnHeartbeat("i1", "z", 2600).empty());
  }
  SECTION("once few are left they stay here") {
    CHECK(choice.OnHeartbeat("i1", "z", 9000).empty());
  }
}

Test(takers, a_control_is_told_what_it_lacks) {
  HeartbeatCollector taker;
  taker.ApplyHeartbeat(Record("i1", 1), 0);
  taker.ApplyHeartbeat(Record("i2", 1), 0);
  const CollectedHeartbeats first = taker.Unreported("life-1", 100);
  CHECK(first.mChanged.size() == 2 && first.mHeartbeats.empty());
  CHECK(first.mChanged[0].mLastSeenAgo == 100);
  SECTION("again, as long as it did not arrive") {
    CHECK(taker.Unreported("life-1", 200).mChanged.size() == 2);
  }
  taker.Acknowledge("life-1", first.mNumber);
  CHECK(taker.Unreported("life-1", 300).mChanged.empty());
  taker.ApplyHeartbeat(Record("i1", 2), 1200);
  UpstreamRecord loaded = Record("i2", 2);
  loaded.mLayers = {0, 8};
  taker.ApplyHeartbeat(loaded, 1200);
  SECTION("heartbeats without news by their numbers, with news whole") {
    const CollectedHeartbeats next = taker.Unreported("life-1", 1300);
    REQUIRE(next.mHeartbeats.size() == 1 && next.mChanged.size() == 1);
    CHECK(next.mHeartbeats[0].mInstance == "i1" &&
          next.mHeartbeats[0].mSequence == 2);
    CHECK(next.mChanged[0].mLayers.Count() == 8);
  }
  SECTION("a control that started anew is told all") {
    CHECK(taker.Unreported("life-2", 1300).mChanged.size() == 2);
  }
  SECTION("a late heartbeat changes nothing") {
    taker.Acknowledge("life-1", taker.Unreported("life-1", 1300).mNumber);
    taker.ApplyHeartbeat(Record("i2", 1), 1400);
    CHECK(taker.Unreported("life-1", 1400).mChanged.empty());
  }
  SECTION("only the first word that one leaves must be told at once") {
    UpstreamRecord leaves = Record("i1", 3);
    leaves.mState = UpstreamState::kLeaving;
    CHECK(taker.ApplyHeartbeat(leaves, 2400));
    leaves.mSequence = 4;
    CHECK(!taker.ApplyHeartbeat(leaves, 3600));
    CHECK(taker.ApplyLeave("i1", 4000)->mState == UpstreamState::kGone);
    CHECK(taker.ApplyLeave("i9", 4000) == nullptr);
  }
  SECTION("who is not heard any more is forgotten") {
    taker.ApplyHeartbeat(Record("i1", 3), 9000);
    CHECK(taker.Unreported("life-2", 12000).mChanged.size() == 1);
  }
}

Test(takers, a_live_upstream_is_never_held_for_silent_when_its_taker_is_lost) {
  // Upstreams beat each 1.2 s; takers come and go, and tell a control each 0.5
  // s, sometimes in vain; one that is lost costs its upstreams a second until
  // they call the control itself.
  constexpr Millis kBeat = 1200;
  constexpr Millis kSilent = 3 * kBeat + 2400;
  for (unsigned seed = 1; seed <= 60; seed++) {
    std::mt19937 random(seed);
    UpstreamRegistry control;
    std::vector<HeartbeatCollector> takers(4);
    std::vector<Millis> downUntil(takers.size(), 0);
    std::vector<int> takerOf(30, -1);  // -1: the control itself.
    std::vector<Millis> nextBeat(takerOf.size());
    std::vector<std::int64_t> sequences(takerOf.size(), 0);
    for (Millis& at : nextBeat) {
      at = static_cast<Millis>(random() % kBeat);
    }
    for (Millis now = 0; now < 60000; now += 100) {
      if (random() % 30 == 0) {
        const std::size_t lost = random() % takers.size();
        takers[lost] = HeartbeatCollector();
        downUntil[lost] = now + 500 + static_cast<Millis>(random() % 4000);
      }
      for (std::size_t i = 0; i < takerOf.size(); i++) {
        if (now < nextBeat[i]) {
          continue;
        }
        const UpstreamRecord record =
            Record("i" + std::to_string(i), ++sequences[i]);
        nextBeat[i] = now + kBeat;
        if (takerOf[i] < 0) {
          control.ApplyHeartbeat(record, now);
          takerOf[i] = static_cast<int>(random() % takers.size());
        } else if (now < downUntil[static_cast<std::size_t>(takerOf[i])]) {
          // No answer within a second: the next call goes to the control.
          takerOf[i] = -1;
          nextBeat[i] = now + 1000;
        } else {
          takers[static_cast<std::size_t>(takerOf[i])].ApplyHeartbeat(record,
                                                                      now);
        }
      }
      for (std::size_t t = 0; t < takers.size(); t++) {
        const bool asks = now % 500 == static_cast<Millis>(t) * 100;
        if (!asks || now < downUntil[t]) {
          continue;
        }
        const CollectedHeartbeats beats = takers[t].Unreported("life", now);
        const bool arrives = random() % 4 != 0;
        const bool answered = arrives && random() % 4 != 0;
        if (arrives) {
          Take(control, beats, now);
        }
        if (answered) {
          takers[t].Acknowledge("life", beats.mNumber);
        }
      }
      CHECK(control.Expire(kSilent, now).empty());
    }
    CHECK(control.Size() == takerOf.size());
  }
}

Test(takers, one_that_died_is_held_for_silent_though_its_taker_lives) {
  UpstreamRegistry control;
  HeartbeatCollector taker;
  taker.ApplyHeartbeat(Record("i1", 1), 0);
  for (Millis now = 0; now <= 6000; now += 500) {
    const CollectedHeartbeats beats = taker.Unreported("life", now);
    Take(control, beats, now);
    taker.Acknowledge("life", beats.mNumber);
  }
  CHECK(control.Expire(6000, 6000).empty());
  CHECK(control.Expire(6000, 6001).size() == 1);
}
