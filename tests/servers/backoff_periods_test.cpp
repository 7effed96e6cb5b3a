#include "spindleweir/servers/limits/backoff_periods.h"

#include "tests/test_tools.h"

using namespace spindleweir;

Test(backoff_periods, last_as_long_as_the_upstream_asked) {
  BackoffPeriods backoffs;
  backoffs.Extend("a", 3000, 100);
  backoffs.Extend("b", 500, 100);
  CHECK(backoffs.HeldUpstreams(200) == (std::set<std::string>{"a", "b"}));
  CHECK(backoffs.HeldUpstreams(600) == std::set<std::string>{"a"});
  CHECK(backoffs.IsActive("a", 3099) && !backoffs.IsActive("a", 3100));
  SECTION("a shorter period does not end a longer one") {
    backoffs.Extend("a", 10, 700);
    CHECK(backoffs.IsActive("a", 3000));
  }
  SECTION("another incarnation has no back-off period") {
    backoffs.Forget("a");
    CHECK(backoffs.HeldUpstreams(800).empty());
  }
}
