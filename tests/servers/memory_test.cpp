/// Tests of the memory budget, and of the limits on what routers send to an
/// upstream.
#include <map>
#include <random>
#include <set>

#include "spindleweir/servers/limits/memory_budget.h"
#include "spindleweir/servers/limits/typical_time.h"
#include "spindleweir/servers/limits/upstream_bound.h"
#include "spindleweir/servers/routing/arrival_rate.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kMb = 1000 * 1000;
constexpr std::size_t kRead = 4096;

/// Opens a connection with a request of the given class.
std::uint64_t OpenConnection(MemoryBudget& aBudget, EvictionClass aClass,
                             Millis aNow = 0) {
  const std::uint64_t connection = aBudget.Open(aNow);
  aBudget.SetEvictionClass(connection, aClass, aNow);
  return connection;
}

/// Adds unread bytes as long as the budget allows, up to aMaxBytes. Returns the
/// bytes held.
std::size_t Fill(MemoryBudget& aBudget, std::uint64_t aConnection,
                 std::size_t aMaxBytes, Millis aNow = 0) {
  std::size_t held = aBudget.BytesHeldFor(aConnection);
  while (held + kRead <= aMaxBytes && aBudget.MayReadMore(aConnection, aNow)) {
    held += kRead;
    aBudget.SetHeld(aConnection, BufferKind::kUnread, held);
  }
  return held;
}

}  // namespace

Test(memory_budget, shares_shrink_as_the_budget_fills) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(20 * kMb));
  const std::size_t maxBytes = budget.Options().mMaxBytes;
  CHECK(maxBytes > 5 * kMb && maxBytes <= 10 * kMb);
  const std::size_t first = Fill(
      budget, OpenConnection(budget, EvictionClass::kRetryable), 100 * kMb);
  CHECK(first > 3 * budget.Options().mMinPerRequest);
  std::size_t last = first;
  int admitted = 1;
  while (true) {
    const std::uint64_t connection = budget.Open(0);
    if (!budget.CanAdmit(connection, 0)) {
      break;
    }
    budget.SetEvictionClass(connection, EvictionClass::kRetryable, 0);
    last = Fill(budget, connection, 100 * kMb);
    admitted++;
    REQUIRE(budget.Committed() <= maxBytes);
  }
  CHECK(last < first);
  CHECK(admitted > 150);
  CHECK(budget.IsUnderPressure());
  SECTION("an admitted request always has the minimum") {
    CHECK(last + kRead >= budget.Options().mMinPerRequest - kRead);
  }
  SECTION("a closed connection makes room") {
    budget.Close(1);
    CHECK(budget.CanAdmit(budget.Open(0), 0));
  }
}

Test(memory_budget,
     answers_of_calls_that_may_not_be_repeated_are_evicted_last) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(20 * kMb));
  while (!budget.IsUnderPressure()) {
    Fill(budget, OpenConnection(budget, EvictionClass::kRetryable), 100 * kMb);
  }
  const std::uint64_t notRetryable =
      OpenConnection(budget, EvictionClass::kNotRetryable);
  const std::uint64_t retryable =
      OpenConnection(budget, EvictionClass::kRetryable);
  CHECK(Fill(budget, notRetryable, kMb) > kMb - 2 * kRead);
  CHECK(Fill(budget, retryable, kMb) <= budget.Options().mMinPerRequest);
  CHECK(budget.Committed() <= budget.Options().mMaxBytes);
  SECTION("they are not evicted while others can be") {
    const std::vector<std::uint64_t> evicted = budget.Tick(60000).mEvict;
    CHECK(!evicted.empty());
    CHECK(std::find(evicted.begin(), evicted.end(), notRetryable) ==
          evicted.end());
  }
}

Test(memory_budget, stalled_connections_are_evicted_only_under_pressure) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(20 * kMb));
  const std::uint64_t stalled =
      OpenConnection(budget, EvictionClass::kRetryable);
  const std::uint64_t moving =
      OpenConnection(budget, EvictionClass::kRetryable);
  const std::uint64_t slowReader =
      OpenConnection(budget, EvictionClass::kRetryable);
  Fill(budget, stalled, 100 * kMb);
  Fill(budget, moving, 100 * kMb);
  Fill(budget, slowReader, 100 * kMb);
  CHECK(budget.Tick(5000).mEvict.empty());
  while (!budget.IsUnderPressure()) {
    Fill(budget, OpenConnection(budget, EvictionClass::kNotRetryable),
         100 * kMb);
  }
  budget.RecordProgress(moving, 2000, 5000);
  budget.RecordProgress(slowReader, 5, 5000);
  const std::vector<std::uint64_t> evicted = budget.Tick(5100).mEvict;
  const auto has = [&evicted](std::uint64_t aConnection) {
    return std::find(evicted.begin(), evicted.end(), aConnection) !=
           evicted.end();
  };
  CHECK(has(stalled) && !has(moving));
  SECTION("a byte per second does not count as progress") {
    budget.Close(stalled);
    const std::vector<std::uint64_t> next = budget.Tick(5200).mEvict;
    CHECK(!next.empty() && next.front() == slowReader);
  }
}

Test(memory_budget,
     incomplete_requests_that_wait_for_each_other_are_completed) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(20 * kMb));
  std::vector<std::uint64_t> readers;
  std::map<std::uint64_t, std::size_t> held;
  for (int i = 0; i < 40; i++) {
    readers.push_back(OpenConnection(budget, EvictionClass::kReading));
  }
  // Reads for each in turn, so that all stop before they are complete.
  for (bool progress = true; progress;) {
    progress = false;
    for (const std::uint64_t reader : readers) {
      if (budget.MayReadMore(reader, 0)) {
        held[reader] += kRead;
        budget.SetHeld(reader, BufferKind::kReading, held[reader]);
        progress = true;
      }
    }
  }
  CHECK(budget.WaitingConnections() == readers.size());
  CHECK(budget.Tick(1000).mEvict.empty());
  const MemoryActions actions = budget.Tick(2500);
  REQUIRE(actions.mEvict.size() == 1);
  budget.Close(actions.mEvict.front());
  CHECK(!budget.Tick(2550).mResume.empty());
}

Test(memory_budget, a_request_that_never_fits_is_refused_at_once) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(20 * kMb));
  const std::uint64_t connection = budget.Open(0);
  CHECK(budget.CanAdmit(connection, kMb));
  CHECK(!budget.CanAdmit(connection, 8 * kMb));
  CHECK(MemoryBudget::RetryAfter(0) >= 1000);
  CHECK(MemoryBudget::RetryAfter(1) > MemoryBudget::RetryAfter(0));
}

Test(memory_budget,
     an_answer_that_its_upstream_would_cut_is_drained_if_there_is_room) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(160 * kMb));
  const std::uint64_t slow = OpenConnection(budget, EvictionClass::kRetryable);
  const std::size_t before = Fill(budget, slow, 2 * kMb);
  CHECK(before <= budget.Options().mMaxUnread);
  CHECK(budget.Tick(500).mResume.empty());
  const MemoryActions actions = budget.Tick(1100);
  CHECK(actions.mResume == std::vector<std::uint64_t>{slow});
  CHECK(actions.mEvict.empty());
  CHECK(Fill(budget, slow, 2 * kMb, 1100) > before);
}

Test(memory_budget, calls_and_connections_share_the_descriptor_limit) {
  MemoryBudgetOptions options = MemoryBudgetOptions::ForMemory(160 * kMb);
  options.mMaxDescriptors = 10;
  MemoryBudget budget(options);
  for (int i = 0; i < 6; i++) {
    budget.Open(0);
  }
  for (int i = 0; i < 4; i++) {
    CHECK(budget.HasDescriptorForCall());
    budget.AddCall(1, 1);
  }
  CHECK(!budget.HasDescriptorForCall());
  budget.AddCall(1, -1);
  CHECK(budget.HasDescriptorForCall());
}

Test(memory_budget, without_a_common_limit_each_connection_has_its_own) {
  MemoryBudget budget(MemoryBudgetOptions::ForMemory(0));
  const std::uint64_t connection =
      OpenConnection(budget, EvictionClass::kRetryable);
  budget.SetHeld(connection, BufferKind::kUnread, 256 * 1024);
  CHECK(budget.MayReadMore(connection, 0));
  budget.SetHeld(connection, BufferKind::kUnread, 256 * 1024 + 1);
  CHECK(!budget.MayReadMore(connection, 0));
  CHECK(!budget.NeedsTicks() && budget.Tick(60000).mEvict.empty());
  budget.SetHeld(connection, BufferKind::kPartial, 8 * 1024 * 1024);
  CHECK(budget.MayCollect(connection));
  budget.SetHeld(connection, BufferKind::kPartial, 8 * 1024 * 1024 + 1);
  CHECK(!budget.MayCollect(connection));
}

Test(memory_budget, committed_bytes_stay_under_the_limit_under_random_load) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    std::mt19937 random(seed);
    const auto draw = [&random](int aMax) {
      return std::uniform_int_distribution<int>(0, aMax)(random);
    };
    MemoryBudget budget(MemoryBudgetOptions::ForMemory(6 * kMb));
    /// What a connection holds: bytes of a request that is read, or of an
    /// answer.
    struct Held {
      BufferKind mKind;
      std::size_t mBytes = 0;
    };
    std::map<std::uint64_t, Held> heldByConnection;
    Millis now = 0;
    for (int step = 0; step < 4000; step++) {
      now += draw(20);
      const std::uint64_t connection =
          heldByConnection.empty()
              ? 0
              : std::next(heldByConnection.begin(),
                          draw(static_cast<int>(heldByConnection.size()) - 1))
                    ->first;
      const int action = draw(9);
      if (action <= 2 || connection == 0) {
        const std::uint64_t added = budget.Open(now);
        if (!budget.CanAdmit(added, 0)) {
          budget.Close(added);
          continue;
        }
        const auto evictionClass = static_cast<EvictionClass>(1 + draw(3));
        budget.SetEvictionClass(added, evictionClass, now);
        heldByConnection[added] = {evictionClass == EvictionClass::kReading
                                       ? BufferKind::kReading
                                       : BufferKind::kUnread};
        if (evictionClass == EvictionClass::kReading && draw(1) == 0) {
          (void)budget.Reserve(added, static_cast<std::size_t>(draw(200000)));
        }
      } else if (action <= 7) {
        if (budget.MayReadMore(connection, now)) {
          Held& held = heldByConnection[connection];
          held.mBytes += kRead;
          budget.SetHeld(connection, held.mKind, held.mBytes);
        }
      } else if (action == 8) {
        Held& held = heldByConnection[connection];
        held.mBytes = 0;
        budget.SetHeld(connection, held.mKind, 0);
        budget.RecordProgress(connection, kRead, now);
      } else {
        budget.Close(connection);
        heldByConnection.erase(connection);
      }
      for (const std::uint64_t evicted : budget.Tick(now).mEvict) {
        budget.Close(evicted);
        heldByConnection.erase(evicted);
      }
      std::size_t held = 0;
      for (const auto& [id, item] : heldByConnection) {
        held += item.mBytes;
      }
      REQUIRE(budget.Held() == held);
      REQUIRE(budget.Held() <= budget.Committed());
      REQUIRE(budget.Committed() <= budget.Options().mMaxBytes);
    }
    for (const auto& [id, item] : heldByConnection) {
      budget.Close(id);
    }
    CHECK(budget.Held() == 0 && budget.Committed() == 0);
  }
}

namespace {

/// Routers that send to one upstream, each of which learns of the others'
/// requests mDelay milliseconds late.
struct DelayedRouters {
  DelayedRouters(int aRouters, Millis aDelay)
      : mInFlight(aRouters), mDelay(aDelay) {
    mReported.assign(static_cast<std::size_t>(aDelay) + 1, mInFlight);
  }

  double Sum(const std::vector<int>& aCounts) const {
    double sum = 0;
    for (const int count : aCounts) {
      sum += count;
    }
    return sum;
  }

  bool Send(std::size_t aRouter, double aRate) {
    UpstreamOccupancy view;
    view.mSlots = 6;
    view.mLocal = mInFlight[aRouter];
    view.mPeers = Sum(mReported.front()) - mReported.front()[aRouter];
    view.mRouters = static_cast<int>(mInFlight.size());
    view.mLocalRate = aRate;
    view.mTypicalTime = 100;
    view.mPeerReportAge = mDelay;
    const bool maySend = MaySendTo(view, {});
    mInFlight[aRouter] += maySend ? 1 : 0;
    return maySend;
  }

  /// Lets a millisecond pass.
  void AdvanceMilli() {
    mReported.erase(mReported.begin());
    mReported.push_back(mInFlight);
  }

  std::vector<int> mInFlight;
  std::vector<std::vector<int>> mReported;
  Millis mDelay;
};

}  // namespace

namespace {

/// How the routers of a simulation estimate the peers' unreported requests.
struct EstimateOptions {
  bool mUsesExpectedTime = true;  ///< Until a duration is known.
  bool mExcludesCurrentRequest = true;
};

/// 195 routers in front of five upstreams of six slots, with 45 calls per
/// second in total. Upstreams answer each request after 20 ms, from the first
/// request on. A refused caller retries once, after 0.3 s. The requests of
/// peers are never reported, as they end before the next report.
struct LargeFleet {
  int mReportedRouters = 195;  ///< Number of routers that each knows.
  Millis mPeerReportAge = 700;
  EstimateOptions mEstimate;

  struct Router {
    ArrivalRate mArrivals;
    TypicalTime mTime{TypicalTimeOptions{}};
  };

  bool Send(Router& aRouter, Millis aNow) const {
    aRouter.mArrivals.Add(aNow);
    UpstreamOccupancy view;
    view.mSlots = 6;
    view.mRouters = mReportedRouters;
    view.mLocalRate = (mEstimate.mExcludesCurrentRequest
                           ? aRouter.mArrivals.PerMilliExcluding(aNow, aNow)
                           : aRouter.mArrivals.PerMilli(aNow)) /
                      5;
    view.mPeerReportAge = mPeerReportAge;
    view.mTypicalTime = aRouter.mTime.At(
        mEstimate.mUsesExpectedTime ? 120 : mPeerReportAge, aNow);
    if (!MaySendTo(view, {})) {
      return false;
    }
    aRouter.mTime.Record(20, aNow);
    return true;
  }

  /// The fraction of calls that are refused within 30 s.
  double RefusedFraction(unsigned aSeed) const {
    constexpr double kRate = 0.045;  // Calls per millisecond.
    constexpr Millis kRetryDelay = 300;
    std::mt19937 random(aSeed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<Router> routers(195);
    std::multiset<Millis> retries;
    double calls = 0;
    double refused = 0;
    for (Millis now = 1; now <= 30000; now++) {
      for (; !retries.empty() && *retries.begin() <= now;
           retries.erase(retries.begin())) {
        calls++;
        refused += Send(routers[random() % routers.size()], now) ? 0 : 1;
      }
      if (unit(random) < kRate) {
        calls++;
        if (!Send(routers[random() % routers.size()], now)) {
          refused++;
          retries.insert(now + kRetryDelay);
        }
      }
    }
    return refused / calls;
  }
};

}  // namespace

Test(upstream_bound, requests_are_not_refused_before_the_first_answer) {
  for (unsigned seed = 1; seed <= 5; seed++) {
    SECTION("the duration is not known yet, and requests are served") {
      CHECK(LargeFleet{}.RefusedFraction(seed) < 0.01);
    }
    SECTION("requests are served if too many routers are counted") {
      CHECK(LargeFleet{.mReportedRouters = 342}.RefusedFraction(seed) < 0.01);
    }
    SECTION("an estimate by the age of the report refuses most requests") {
      const EstimateOptions reportAgeEstimate{.mUsesExpectedTime = false,
                                              .mExcludesCurrentRequest = false};
      CHECK(LargeFleet{.mEstimate = reportAgeEstimate}.RefusedFraction(seed) >
            0.5);
      const LargeFleet overcounted{.mReportedRouters = 342,
                                   .mEstimate = reportAgeEstimate};
      CHECK(overcounted.RefusedFraction(seed) > 0.99);
    }
  }
}

Test(upstream_bound, a_slow_typical_time_expires) {
  TypicalTime time({.mRetention = 5000});
  SECTION("without answers the expected duration is returned") {
    CHECK(time.At(120, 0) == 120);
  }
  SECTION("each answer moves the value by a twentieth") {
    time.Record(20, 1000);
    time.Record(2020, 1100);
    CHECK(time.At(120, 1100) == 120);
  }
  SECTION("a slow answer expires if no other answer follows") {
    time.Record(2000, 20000);
    CHECK(time.At(120, 20000) == 2000);
    CHECK(time.At(120, 24999) == 2000);
    CHECK(time.At(120, 25000) == 120);
    time.Record(30, 26000);
    CHECK(time.At(120, 26000) == 30);
  }
}

Test(upstream_bound, requests_of_all_routers_stay_under_the_capacity) {
  constexpr double kCapacity = 12;  // Six slots, and as many that are queued.
  SECTION("with current reports the capacity is used exactly") {
    DelayedRouters routers(4, 0);
    for (int i = 0; i < 100; i++) {
      for (std::size_t router = 0; router < 4; router++) {
        routers.Send(router, 0);
        routers.AdvanceMilli();
        REQUIRE(routers.Sum(routers.mInFlight) <= kCapacity);
      }
    }
    CHECK(routers.Sum(routers.mInFlight) == kCapacity);
  }
  SECTION(
      "a router without current reports may use its even part of one half") {
    DelayedRouters routers(3, 1000);
    routers.mReported.front() = {0, 6, 6};
    CHECK(routers.Send(0, 0) && routers.Send(0, 0));
    CHECK(!routers.Send(0, 0));
  }
  SECTION(
      "many routers get requests at the same time, with reports a second old") {
    for (unsigned seed = 1; seed <= 10; seed++) {
      std::mt19937 random(seed);
      DelayedRouters routers(40, 1000);
      // Each gets 1.25 requests per second of 100 ms each, so that five are in
      // progress on average if none is refused.
      constexpr double kRate = 0.00125;
      std::vector<std::vector<Millis>> ends(40);
      double maxInFlight = 0;
      int refused = 0;
      int calls = 0;
      for (Millis now = 0; now < 20000; now++) {
        for (std::size_t router = 0; router < 40; router++) {
          routers.mInFlight[router] -= static_cast<int>(std::erase_if(
              ends[router], [now](Millis aEnd) { return aEnd <= now; }));
          if (std::uniform_real_distribution<double>(0, 1)(random) < kRate) {
            calls++;
            if (routers.Send(router, kRate)) {
              ends[router].push_back(now + 100);
            } else {
              refused++;
            }
          }
        }
        routers.AdvanceMilli();
        maxInFlight = std::max(maxInFlight, routers.Sum(routers.mInFlight));
      }
      CHECK(maxInFlight <= 1.5 * kCapacity);
      CHECK(refused < calls / 2);
    }
  }
  SECTION("at a rate far over the capacity no router sends") {
    DelayedRouters routers(40, 1000);
    int sent = 0;
    for (std::size_t router = 0; router < 40; router++) {
      sent += routers.Send(router, 0.02) ? 1 : 0;
    }
    CHECK(sent == 0);
  }
  SECTION("at a low rate requests are sent however old the reports are") {
    DelayedRouters routers(83, 2500);
    CHECK(routers.Send(0, 0.0001));
  }
  SECTION("bodies are limited by their bytes") {
    UpstreamOccupancy view;
    view.mSlots = 6;
    view.mLocal = 2;
    view.mLocalBytes = 8e6;
    view.mBodyBytes = 4e6;
    view.mPeers = 1;
    view.mRouters = 2;
    CHECK(MaySendTo(view, {.mBodyBytes = 20e6}));
    view.mPeers = 3;
    CHECK(!MaySendTo(view, {.mBodyBytes = 20e6}));
  }
}
