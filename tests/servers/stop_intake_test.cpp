/// What a router that stops still takes.
#include "spindleweir/servers/limits/stop_intake.h"

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStopAt = 1000;
constexpr Millis kLongLeft = 20000;
constexpr double kTokens = 200;

StopIntake Learnt() {
  StopIntake intake({.mGrace = 7700});
  for (int millisEach = 1; millisEach <= 64; millisEach++) {
    // Whatever they expected, it is what a token takes that is learnt.
    const double tokens = millisEach % 2 == 0 ? 100 : 300;
    intake.Record("model", tokens,
                  static_cast<Millis>(tokens * millisEach / 2));
  }
  intake.Record("plain", 0, 20);
  return intake;
}

}  // namespace

Test(stop_intake, before_the_signal_all_is_taken) {
  CHECK(Learnt().Takes("model", kTokens, kLongLeft, kStopAt));
}

Test(stop_intake, after_it_what_ends_in_time_is_taken) {
  StopIntake intake = Learnt();
  CHECK(intake.UsualDuration("model", kTokens) == 6000);
  CHECK(intake.UsualDuration("model", kTokens / 2) == 3000);
  intake.Stop(kStopAt);
  CHECK(intake.Takes("model", kTokens, kLongLeft, kStopAt + 1600));
  SECTION("a stream that usually lasts longer than what is left is not") {
    CHECK(!intake.Takes("model", kTokens, kLongLeft, kStopAt + 1800));
  }
  SECTION("but a short one, or where its own time is short, or its route's") {
    CHECK(intake.Takes("model", kTokens / 2, kLongLeft, kStopAt + 1800));
    CHECK(intake.Takes("model", kTokens, 1500, kStopAt + 1800));
    CHECK(intake.Takes("plain", 0, kLongLeft, kStopAt + 2700));
  }
  SECTION("and nothing that comes late") {
    CHECK(!intake.Takes("plain", 0, kLongLeft, kStopAt + 2900));
  }
}

Test(stop_intake, what_is_not_known_is_taken_and_old_answers_are_forgotten) {
  StopIntake intake = Learnt();
  intake.Stop(kStopAt);
  CHECK(intake.Takes("new", kTokens, kLongLeft, kStopAt + 2000));
  for (int i = 0; i < 64; i++) {
    intake.Record("model", kTokens, 500);
  }
  CHECK(intake.UsualDuration("model", kTokens) == 500);
  CHECK(intake.Takes("model", kTokens, kLongLeft, kStopAt + 2700));
}
