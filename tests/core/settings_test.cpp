#include <gflags/gflags.h>
#include <stdlib.h>

#include "spindleweir/core/settings.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(settings, invalid_endpoints_are_refused) {
  CHECK(ParseEndpoint("10.0.0.1:80", "--x").Text() == "10.0.0.1:80");
  for (const char* text : {"", "80", ":80", "h:", "h:x", "h:70000", "h:-1"}) {
    SECTION(text) {
      CHECK(CodeThrownBy([&] { ParseEndpoint(text, "--x"); }) ==
            ResultCode::kBadSetting);
    }
  }
}

Test(settings, unknown_settings_are_refused) {
  SECTION("a flag") {
    const std::string flag = "--no_such_flag=1";
    std::string program = "program";
    std::string argument = flag;
    char* arguments[] = {program.data(), argument.data()};
    CHECK(CodeThrownBy([&] { LoadSettings(2, arguments); }) ==
          ResultCode::kUnknownSetting);
  }
  SECTION("an environment variable") {
    setenv("SPINDLEWEIR_NO_SUCH", "1", 1);
    std::string program = "program";
    char* arguments[] = {program.data()};
    CHECK(CodeThrownBy([&] { LoadSettings(1, arguments); }) ==
          ResultCode::kUnknownSetting);
  }
}

Test(settings, missing_and_out_of_range_values_are_refused) {
  CHECK(CodeThrownBy([] { RequireSetting("", "--id"); }) ==
        ResultCode::kMissingSetting);
  CHECK(CodeThrownBy([] { RequireRange(5, 1, 4, "--n"); }) ==
        ResultCode::kBadSetting);
  CHECK(SplitList("a,,b,").size() == 2);
}
