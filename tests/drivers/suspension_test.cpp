#include "tests/suspension.h"

#include <vector>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kLong = 60000;

}  // namespace

Test(suspension, counts_for_ages_and_deadlines) {
  const Millis before = SteadyNow();
  Suspend(kLong);
  CHECK(SteadyNow() - before >= kLong);
}

Test(suspension, timers_that_became_due_meanwhile_fire_in_their_order) {
  EventLoop loop;
  std::vector<int> fired;
  const auto last = loop.After(kLong - 1000, [&] { fired.push_back(3); });
  const auto first = loop.After(kLong - 3000, [&] { fired.push_back(1); });
  const auto second = loop.After(kLong - 2000, [&] { fired.push_back(2); });
  const auto later = loop.After(3 * kLong, [&] { fired.push_back(4); });
  Suspend(kLong);
  REQUIRE(RunLoopUntil(loop, [&] { return fired.size() == 3; }));
  CHECK((fired == std::vector<int>{1, 2, 3}));
  SECTION("others fire when their time has come") {
    Suspend(3 * kLong);
    REQUIRE(RunLoopUntil(loop, [&] { return fired.size() == 4; }));
  }
}

Test(suspension, a_timer_may_go_while_others_become_due) {
  EventLoop loop;
  std::unique_ptr<Timer> second;
  bool rang = false;
  const auto first = loop.After(kLong - 3000, [&] { second.reset(); });
  second = loop.After(kLong - 2000, [&] { rang = true; });
  Suspend(kLong);
  REQUIRE(RunLoopUntil(loop, [&] { return second == nullptr; }));
  CHECK(!rang);
}

Test(suspension, what_is_done_again_and_again_is_done_at_once) {
  EventLoop loop;
  int calls = 0;
  const auto timer = loop.Every(kLong, [&] { calls++; });
  Suspend(kLong);
  REQUIRE(RunLoopUntil(loop, [&] { return calls > 0; }));
  SECTION("and once, however often it was missed") {
    Suspend(5 * kLong);
    REQUIRE(RunLoopUntil(loop, [&] { return calls > 1; }));
    CHECK(calls == 2);
  }
}

Test(suspension, is_no_silence_of_others) {
  // What they sent meanwhile has not been read yet.
  EventLoop loop;
  bool rang = false;
  const Millis before = loop.RunningNow();
  const auto timer = loop.AfterRunning(kLong, [&] { rang = true; });
  Suspend(2 * kLong);
  bool ran = false;
  const auto some = loop.After(300, [&] { ran = true; });
  REQUIRE(RunLoopUntil(loop, [&] { return ran; }));
  CHECK(!rang);
  CHECK(loop.RunningNow() - before < kLong);
}
