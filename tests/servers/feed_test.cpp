#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "spindleweir/core/error.h"
#include "spindleweir/servers/membership/peer_revisions.h"
#include "spindleweir/servers/membership/reporter_feeds.h"
#include "spindleweir/servers/membership/upstream_feed.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

UpstreamRecord Record(int aNumber, std::int64_t aSequence) {
  return {.mInstance = "i" + std::to_string(aNumber),
          .mService = "model",
          .mAddress = "10.0." + std::to_string(aNumber / 250) + "." +
                      std::to_string(aNumber % 250) + ":80",
          .mZone = aNumber % 2 == 0 ? "even" : "odd",
          .mKind = "k",
          .mSlots = 6,
          .mSequence = aSequence};
}

/// A process that polls a feed.
struct Poller {
  /// Polls and applies the answer, unless that is lost.
  void Poll(UpstreamFeed& aFeed, const UpstreamRegistry& aRegistry, Millis aNow,
            bool aLost = false) {
    const FeedUpdates answer = aFeed.UpdatesSince(aRegistry, mKnown, aNow);
    if (aLost) {
      return;
    }
    mTexts = answer.mUpdates.size();
    for (const UpstreamUpdate& update : answer.mUpdates) {
      for (UpstreamRecord& record : UnpackUpstreams(update.mText)) {
        record.mLastSeenAgo += update.mAge;
        mRegistry.Merge(record, aNow);
      }
    }
    mKnown = answer.mRevision;
  }

  UpstreamRegistry mRegistry;
  std::int64_t mKnown = 0;
  std::size_t mTexts = 0;  ///< Of the last answer.
};

bool HasSameRecords(const UpstreamRegistry& aLeft,
                    const UpstreamRegistry& aRight) {
  std::map<std::string, UpstreamRecord> right;
  for (const UpstreamRecord* record : aRight.OfService("")) {
    right[record->mInstance] = *record;
  }
  for (const UpstreamRecord* record : aLeft.OfService("")) {
    const auto it = right.find(record->mInstance);
    if (it == right.end() || it->second.mState != record->mState ||
        !(it->second.mLayers == record->mLayers)) {
      return false;
    }
  }
  return aLeft.Size() == aRight.Size();
}

}  // namespace

Test(feed, all_pollers_receive_the_same_text_of_a_change) {
  UpstreamRegistry registry;
  UpstreamFeed feed({.mBatchInterval = 100, .mFullListInterval = 500});
  registry.ApplyHeartbeat(Record(1, 1), 0);
  const FeedUpdates first = feed.UpdatesSince(registry, 0, 0);
  REQUIRE(first.mUpdates.size() == 1);
  SECTION("a poller that knows all receives nothing") {
    CHECK(feed.UpdatesSince(registry, first.mRevision, 10).mUpdates.empty());
  }
  SECTION("a change soon after is sent with the next ones") {
    registry.ApplyHeartbeat(Record(2, 1), 50);
    CHECK(feed.UpdatesSince(registry, first.mRevision, 60).mUpdates.empty());
    registry.ApplyHeartbeat(Record(3, 1), 90);
    const FeedUpdates next = feed.UpdatesSince(registry, first.mRevision, 130);
    REQUIRE(next.mUpdates.size() == 1);
    CHECK(UnpackUpstreams(next.mUpdates[0].mText).size() == 2);
    CHECK(feed.UpdatesSince(registry, 0, 140).mUpdates.size() == 2);
    CHECK(feed.UpdatesSince(registry, 0, 140).mUpdates[0].mAge == 140);
  }
  SECTION("heartbeats alone are no change") {
    const std::int64_t known = feed.UpdatesSince(registry, 0, 1000).mRevision;
    registry.ApplyHeartbeat(Record(1, 2), 1200);
    CHECK(feed.UpdatesSince(registry, known, 1300).mUpdates.empty());
  }
}

Test(feed, a_late_poller_receives_the_full_list) {
  UpstreamRegistry registry;
  UpstreamFeed feed({.mBatchInterval = 10, .mFullListInterval = 500});
  std::int64_t sequence = 1;
  for (Millis now = 0; now < 10000; now += 10) {
    UpstreamRecord record = Record(static_cast<int>(now / 10 % 40), sequence);
    record.mLayers = {0, static_cast<int>(now / 10 % 7)};
    registry.ApplyHeartbeat(record, now);
    sequence++;
    feed.UpdatesSince(registry, 0, now);
  }
  Poller late;
  late.Poll(feed, registry, 10000);
  CHECK(late.mTexts < 60);
  CHECK(HasSameRecords(late.mRegistry, registry));
}

Test(feed, pollers_end_with_the_records_of_the_registry) {
  // With lost answers, late pollers and changes of every kind.
  for (unsigned seed = 1; seed <= 40; seed++) {
    std::mt19937 random(seed);
    UpstreamRegistry registry;
    UpstreamFeed feed({.mBatchInterval = 50, .mFullListInterval = 300});
    std::vector<Poller> pollers(5);
    std::vector<std::int64_t> sequences(30, 0);
    Millis now = 0;
    for (int step = 0; step < 400; step++) {
      now += static_cast<Millis>(random() % 30);
      const auto number = random() % sequences.size();
      UpstreamRecord record =
          Record(static_cast<int>(number), ++sequences[number]);
      record.mLayers = {0, static_cast<int>(random() % 3)};
      if (random() % 20 == 0) {
        record.mState = UpstreamState::kLeaving;
      }
      registry.ApplyHeartbeat(record, now);
      registry.Expire(400, now);
      Poller& poller = pollers[random() % pollers.size()];
      poller.Poll(feed, registry, now, random() % 3 == 0);
    }
    for (Poller& poller : pollers) {
      poller.Poll(feed, registry, now + 1000);
      CHECK(HasSameRecords(poller.mRegistry, registry));
    }
  }
}

Test(feed, records_are_packed_by_columns) {
  std::vector<UpstreamRecord> records = {Record(1, 5), Record(2, 6)};
  records[1].mState = UpstreamState::kLeaving;
  records[1].mLayers = {4, 9};
  records[1].mBusy = true;
  records[1].mLastSeenAgo = 70;
  const std::vector<UpstreamRecord> read =
      UnpackUpstreams(PackUpstreams(records));
  REQUIRE(read.size() == 2);
  CHECK(read[1].mInstance == "i2" && read[1].mAddress == "10.0.0.2:80");
  CHECK(read[0].mZone == "odd" && read[1].mZone == "even");
  CHECK(read[1].mState == UpstreamState::kLeaving && read[1].mBusy);
  CHECK(read[1].mLayers == records[1].mLayers);
  CHECK(read[1].mSequence == 6 && read[1].mLastSeenAgo == 70);
  SECTION("an invalid table is rejected") {
    UpstreamTable table = UpstreamTable::Of(records);
    table.mZones[0] = 99;
    CHECK(CodeThrownBy([&] { (void)table.Records(); }) ==
          ResultCode::kBadField);
    table = UpstreamTable::Of(records);
    table.mStates[0] = 17;
    CHECK(CodeThrownBy([&] { (void)table.Records(); }) ==
          ResultCode::kBadField);
    table = UpstreamTable::Of(records);
    table.mSlots.pop_back();
    CHECK(CodeThrownBy([&] { (void)table.Records(); }) ==
          ResultCode::kBadField);
  }
}

namespace {

/// Rows of changes that all controls together received.
struct Transfers {
  std::size_t mRows = 0;
  bool mComplete = false;  ///< All controls know all upstreams.
};

/// Rows that a control receives which starts beside aControls others that know
/// aUpstreams upstreams, each those that report to it and those of the others.
Transfers Join(int aControls, int aUpstreams) {
  std::vector<UpstreamRegistry> registries(static_cast<std::size_t>(aControls));
  std::vector<ReporterFeeds> feeds(registries.size());
  for (int i = 0; i < aUpstreams; i++) {
    const int first = i % aControls;
    for (int control = 0; control < aControls; control++) {
      const std::string reporter =
          control == first ? "" : "c" + std::to_string(first);
      registries[static_cast<std::size_t>(control)].Merge(Record(i, 1), 1000,
                                                          reporter);
    }
  }
  UpstreamRegistry joined;
  PeerRevisions revisions{PeerRevisionsOptions{}};
  Transfers transfers;
  for (Millis now : {1300, 1600, 1900}) {
    // All polls of a round are sent before the first answer arrives.
    const auto list = revisions.Answering(1500, now);
    const std::set<std::string> answering(list.begin(), list.end());
    std::vector<bool> requests;
    for (std::size_t to = 0; to < registries.size(); to++) {
      requests.push_back(revisions.RequestsUpstreams("c" + std::to_string(to)));
    }
    for (std::size_t from = 0; from < registries.size(); from++) {
      const std::string name = "c" + std::to_string(from);
      FeedUpdates updates;
      if (requests[from]) {
        updates = feeds[from].UpdatesSince(
            registries[from], revisions.Known(name), answering, now);
      }
      for (const UpstreamUpdate& update : updates.mUpdates) {
        for (const UpstreamRecord& record : UnpackUpstreams(update.mText)) {
          transfers.mRows++;
          joined.Merge(record, now, name);
        }
      }
      revisions.OnAnswer({.mAddress = name,
                          .mIncarnation = name,
                          .mRevision = updates.mRevision,
                          .mPolledAt = now},
                         now);
    }
  }
  transfers.mComplete = joined.Size() == static_cast<std::size_t>(aUpstreams);
  return transfers;
}

/// aControls controls, to which aUpstreams upstreams report one change each, in
/// turn; then all controls poll each other. aNamed: the pollers name the
/// controls that answer them.
Transfers Exchange(int aControls, int aUpstreams, bool aNamed) {
  std::vector<UpstreamRegistry> registries(static_cast<std::size_t>(aControls));
  std::vector<ReporterFeeds> feeds(registries.size());
  std::set<std::string> all;
  for (int i = 0; i < aControls; i++) {
    all.insert("c" + std::to_string(i));
  }
  for (int i = 0; i < aUpstreams; i++) {
    registries[static_cast<std::size_t>(i % aControls)].ApplyHeartbeat(
        Record(i, 1), 1000);
  }
  Transfers transfers;
  std::vector<std::vector<std::int64_t>> known(
      registries.size(), std::vector<std::int64_t>(registries.size(), 0));
  for (Millis now : {1300, 1600, 1900}) {
    for (std::size_t to = 0; to < registries.size(); to++) {
      for (std::size_t from = 0; from < registries.size(); from++) {
        if (from == to) {
          continue;
        }
        const FeedUpdates updates = feeds[from].UpdatesSince(
            registries[from], known[to][from],
            aNamed ? all : std::set<std::string>{}, now);
        known[to][from] = updates.mRevision;
        for (const UpstreamUpdate& update : updates.mUpdates) {
          for (const UpstreamRecord& record : UnpackUpstreams(update.mText)) {
            transfers.mRows++;
            registries[to].Merge(record, now, "c" + std::to_string(from));
          }
        }
      }
    }
  }
  transfers.mComplete = std::all_of(
      registries.begin(), registries.end(), [&](const auto& aRegistry) {
        return aRegistry.Size() == static_cast<std::size_t>(aUpstreams);
      });
  return transfers;
}

}  // namespace

// Each control forwarded to each other one what it had from all the others:
// with 25 controls each change arrived 24 times at each.
Test(feed, a_change_reaches_each_control_once_however_many_there_are) {
  struct Case {
    int mControls;
    int mUpstreams;
  };
  for (const Case fleet : {Case{6, 300}, Case{25, 3000}, Case{50, 6000}}) {
    const auto others = static_cast<std::size_t>(fleet.mControls - 1);
    const Transfers transfers =
        Exchange(fleet.mControls, fleet.mUpstreams, true);
    CHECK(transfers.mComplete);
    CHECK(transfers.mRows ==
          others * static_cast<std::size_t>(fleet.mUpstreams));
  }
  SECTION("a poller that names no controls receives all from each") {
    const Transfers transfers = Exchange(6, 300, false);
    CHECK(transfers.mComplete);
    CHECK(transfers.mRows > 3 * 5 * 300);
  }
}

// A control that started received the full list from each of the others: with
// 25 controls 72,000 rows, a second and a half of its processor.
Test(feed, a_control_that_starts_receives_the_full_list_once) {
  for (const int controls : {25, 50}) {
    const int upstreams = 120 * controls;
    const Transfers transfers = Join(controls, upstreams);
    CHECK(transfers.mComplete);
    CHECK(transfers.mRows <= 2 * static_cast<std::size_t>(upstreams));
  }
  SECTION("from another control if the first does not answer") {
    PeerRevisions revisions{PeerRevisionsOptions{}};
    CHECK(revisions.RequestsUpstreams("a"));
    CHECK(!revisions.RequestsUpstreams("b"));
    revisions.OnFailed("a");
    CHECK(!revisions.RequestsUpstreams("a"));
    CHECK(revisions.RequestsUpstreams("b"));
    revisions.OnAnswer({.mAddress = "b", .mIncarnation = "b"}, 1000);
    CHECK(revisions.RequestsUpstreams("a"));
  }
}
