/// What a router that stops still takes.
#include "spindleweir/servers/limits/shutdown_admission.h"

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStopAt = 1000;
constexpr Millis kLongLeft = 20000;
constexpr double kTokens = 200;

ShutdownAdmission Learnt() {
  ShutdownAdmission intake({.mGrace = 7700});
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

Test(shutdown_admission, before_the_signal_all_is_taken) {
  CHECK(Learnt().Admits("model", kTokens, kLongLeft, kStopAt));
}

Test(shutdown_admission, after_it_what_ends_in_time_is_taken) {
  ShutdownAdmission intake = Learnt();
  CHECK(intake.TypicalDuration("model", kTokens) == 6000);
  CHECK(intake.TypicalDuration("model", kTokens / 2) == 3000);
  intake.Stop(kStopAt);
  CHECK(intake.Admits("model", kTokens, kLongLeft, kStopAt + 1600));
  SECTION("a stream that usually lasts longer than what is left is not") {
    CHECK(!intake.Admits("model", kTokens, kLongLeft, kStopAt + 1800));
  }
  SECTION("but a short one, or where its own time is short, or its route's") {
    CHECK(intake.Admits("model", kTokens / 2, kLongLeft, kStopAt + 1800));
    CHECK(intake.Admits("model", kTokens, 1500, kStopAt + 1800));
    CHECK(intake.Admits("plain", 0, kLongLeft, kStopAt + 2700));
  }
  SECTION("and nothing that comes late") {
    CHECK(!intake.Admits("plain", 0, kLongLeft, kStopAt + 2900));
  }
}

Test(shutdown_admission,
     what_is_not_known_is_taken_and_old_answers_are_forgotten) {
  ShutdownAdmission intake = Learnt();
  intake.Stop(kStopAt);
  CHECK(intake.Admits("new", kTokens, kLongLeft, kStopAt + 2000));
  for (int i = 0; i < 64; i++) {
    intake.Record("model", kTokens, 500);
  }
  CHECK(intake.TypicalDuration("model", kTokens) == 500);
  CHECK(intake.Admits("model", kTokens, kLongLeft, kStopAt + 2700));
}
