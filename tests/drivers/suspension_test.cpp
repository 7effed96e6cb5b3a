#include "tests/suspension.h"

#include <vector>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kSuspension = 60000;

}  // namespace

Test(suspension, counts_for_ages_and_deadlines) {
  const Millis before = SteadyNow();
  Suspend(kSuspension);
  CHECK(SteadyNow() - before >= kSuspension);
}

Test(suspension, timers_due_during_a_suspension_fire_in_order) {
  EventLoop loop;
  std::vector<int> fired;
  const auto last = loop.After(kSuspension - 1000, [&] { fired.push_back(3); });
  const auto first =
      loop.After(kSuspension - 3000, [&] { fired.push_back(1); });
  const auto second =
      loop.After(kSuspension - 2000, [&] { fired.push_back(2); });
  const auto later = loop.After(3 * kSuspension, [&] { fired.push_back(4); });
  Suspend(kSuspension);
  REQUIRE(RunLoopUntil(loop, [&] { return fired.size() == 3; }));
  CHECK((fired == std::vector<int>{1, 2, 3}));
  SECTION("other timers fire when due") {
    Suspend(3 * kSuspension);
    REQUIRE(RunLoopUntil(loop, [&] { return fired.size() == 4; }));
  }
}

Test(suspension, a_timer_may_be_destroyed_by_another_due_one) {
  EventLoop loop;
  std::unique_ptr<Timer> second;
  bool fired = false;
  const auto first = loop.After(kSuspension - 3000, [&] { second.reset(); });
  second = loop.After(kSuspension - 2000, [&] { fired = true; });
  Suspend(kSuspension);
  REQUIRE(RunLoopUntil(loop, [&] { return second == nullptr; }));
  CHECK(!fired);
}

Test(suspension, periodic_timers_fire_at_once) {
  EventLoop loop;
  int calls = 0;
  const auto timer = loop.Every(kSuspension, [&] { calls++; });
  Suspend(kSuspension);
  REQUIRE(RunLoopUntil(loop, [&] { return calls > 0; }));
  SECTION("missed intervals cause a single call") {
    Suspend(5 * kSuspension);
    REQUIRE(RunLoopUntil(loop, [&] { return calls > 1; }));
    CHECK(calls == 2);
  }
}

Test(suspension, does_not_count_as_silence_of_peers) {
  // Messages that arrived during the suspension are not read yet.
  EventLoop loop;
  bool fired = false;
  const Millis before = loop.RunningNow();
  const auto timer = loop.AfterRunning(kSuspension, [&] { fired = true; });
  Suspend(2 * kSuspension);
  bool ran = false;
  const auto some = loop.After(300, [&] { ran = true; });
  REQUIRE(RunLoopUntil(loop, [&] { return ran; }));
  CHECK(!fired);
  CHECK(loop.RunningNow() - before < kSuspension);
}
