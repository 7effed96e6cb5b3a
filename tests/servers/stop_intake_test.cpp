/// What a router that stops still takes.
#include "spindleweir/servers/limits/stop_intake.h"

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStopAt = 1000;
constexpr Millis kLongLeft = 20000;

StopIntake Learnt() {
  StopIntake intake({.mGrace = 7700});
  for (Millis took = 100; took <= 6400; took += 100) {
    intake.Record("stream", took);
  }
  intake.Record("call", 20);
  return intake;
}

}  // namespace

Test(stop_intake, before_the_signal_all_is_taken) {
  CHECK(Learnt().Takes("stream", kLongLeft, kStopAt));
}

Test(stop_intake, after_it_what_ends_in_time_is_taken) {
  StopIntake intake = Learnt();
  CHECK(intake.UsualDuration("stream") == 6000);
  intake.Stop(kStopAt);
  CHECK(intake.Takes("stream", kLongLeft, kStopAt + 1600));
  SECTION("a stream that usually lasts longer than what is left is not") {
    CHECK(!intake.Takes("stream", kLongLeft, kStopAt + 1800));
  }
  SECTION("but where its own time is short, or its route is") {
    CHECK(intake.Takes("stream", 1500, kStopAt + 1800));
    CHECK(intake.Takes("call", kLongLeft, kStopAt + 2700));
  }
  SECTION("and nothing that comes late") {
    CHECK(!intake.Takes("call", kLongLeft, kStopAt + 2900));
  }
}

Test(stop_intake, what_is_not_known_is_taken_and_old_answers_are_forgotten) {
  StopIntake intake = Learnt();
  intake.Stop(kStopAt);
  CHECK(intake.Takes("new", kLongLeft, kStopAt + 2000));
  for (int i = 0; i < 64; i++) {
    intake.Record("stream", 500);
  }
  CHECK(intake.UsualDuration("stream") == 500);
  CHECK(intake.Takes("stream", kLongLeft, kStopAt + 2700));
}
