// A control process ended with code 143 instead of 0: after a stop signal the
// loop ended and its handler was removed, so that a second signal met the
// default disposition and killed the process.
#include <signal.h>

#include "spindleweir/drivers/event_loop.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(stop_signal, a_second_signal_during_shutdown_is_ignored) {
  EventLoop loop;
  int stopRequests = 0;
  auto handler = loop.OnStopSignal([&] {
    stopRequests++;
    loop.Stop();
  });
  raise(SIGTERM);
  loop.Run();
  CHECK(stopRequests == 1);
  handler.reset();
  raise(SIGTERM);
  raise(SIGINT);
  CHECK(stopRequests == 1);
}

Test(stop_signal, a_signal_before_the_loop_runs_is_handled_when_it_runs) {
  EventLoop loop;
  bool stopRequests = false;
  const auto handler = loop.OnStopSignal([&] {
    stopRequests = true;
    loop.Stop();
  });
  raise(SIGTERM);
  loop.Run();
  CHECK(stopRequests);
}

// A reload signal shortly after the start ended a router, which had no handler
// until all its parts were constructed.
Test(stop_signal, a_reload_signal_before_the_settings_are_read_is_ignored) {
  EventLoop::IgnoreReloadSignal();
  raise(SIGHUP);
  EventLoop loop;
  int stopRequests = 0;
  const auto handler = loop.OnReloadSignal([&] {
    stopRequests++;
    loop.Stop();
  });
  SECTION("a later signal is handled") {
    raise(SIGHUP);
    loop.Run();
    CHECK(stopRequests == 1);
  }
}
