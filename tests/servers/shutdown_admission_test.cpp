/// Tests of which requests a router admits while it shuts down.
#include "spindleweir/servers/limits/shutdown_admission.h"

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStopAt = 1000;
constexpr Millis kLongTimeLeft = 20000;
constexpr double kTokens = 200;

ShutdownAdmission WithSamples() {
  ShutdownAdmission admission({.mGrace = 7700});
  for (int halfMillisPerToken = 1; halfMillisPerToken <= 64;
       halfMillisPerToken++) {
    // The time per token is recorded, so the expected tokens don't matter.
    const double tokens = halfMillisPerToken % 2 == 0 ? 100 : 300;
    admission.Record("model", tokens,
                     static_cast<Millis>(tokens * halfMillisPerToken / 2));
  }
  admission.Record("plain", 0, 20);
  return admission;
}

}  // namespace

Test(shutdown_admission, admits_everything_before_the_signal) {
  CHECK(WithSamples().Admits("model", kTokens, kLongTimeLeft, kStopAt));
}

Test(shutdown_admission, admits_what_ends_in_time_after_the_signal) {
  ShutdownAdmission admission = WithSamples();
  CHECK(admission.TypicalDuration("model", kTokens) == 6000);
  CHECK(admission.TypicalDuration("model", kTokens / 2) == 3000);
  admission.Stop(kStopAt);
  CHECK(admission.Admits("model", kTokens, kLongTimeLeft, kStopAt + 1600));
  SECTION(
      "a stream that typically lasts longer than the time left is refused") {
    CHECK(!admission.Admits("model", kTokens, kLongTimeLeft, kStopAt + 1800));
  }
  SECTION(
      "a short request, or one whose caller or route waits a short time, is "
      "admitted") {
    CHECK(
        admission.Admits("model", kTokens / 2, kLongTimeLeft, kStopAt + 1800));
    CHECK(admission.Admits("model", kTokens, 1500, kStopAt + 1800));
    CHECK(admission.Admits("plain", 0, kLongTimeLeft, kStopAt + 2700));
  }
  SECTION("requests after the admission window are refused") {
    CHECK(!admission.Admits("plain", 0, kLongTimeLeft, kStopAt + 2900));
  }
}

Test(shutdown_admission, admits_unknown_services_and_uses_only_recent_answers) {
  ShutdownAdmission admission = WithSamples();
  admission.Stop(kStopAt);
  CHECK(admission.Admits("new", kTokens, kLongTimeLeft, kStopAt + 2000));
  for (int i = 0; i < 64; i++) {
    admission.Record("model", kTokens, 500);
  }
  CHECK(admission.TypicalDuration("model", kTokens) == 500);
  CHECK(admission.Admits("model", kTokens, kLongTimeLeft, kStopAt + 2700));
}
