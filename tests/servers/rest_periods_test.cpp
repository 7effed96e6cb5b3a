#include "spindleweir/servers/limits/rest_periods.h"

#include "tests/test_tools.h"

using namespace spindleweir;

Test(rest_periods, hold_for_as_long_as_was_asked) {
  RestPeriods rests;
  rests.Ask("a", 3000, 100);
  rests.Ask("b", 500, 100);
  CHECK(rests.Held(200) == (std::set<std::string>{"a", "b"}));
  CHECK(rests.Held(600) == std::set<std::string>{"a"});
  CHECK(rests.Holds("a", 3099) && !rests.Holds("a", 3100));
  SECTION("a shorter one does not end a longer one") {
    rests.Ask("a", 10, 700);
    CHECK(rests.Holds("a", 3000));
  }
  SECTION("another incarnation has asked for none") {
    rests.Forget("a");
    CHECK(rests.Held(800).empty());
  }
}
