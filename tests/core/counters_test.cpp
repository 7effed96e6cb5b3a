#include "spindleweir/core/counters.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(counters, text_is_in_prometheus_format) {
  Counters counters;
  counters.Add("requests", "code=\"Ok\"");
  counters.Add("requests", "code=\"Ok\"", 2);
  counters.Set("open_requests", 4);
  CHECK(counters.Value("requests", "code=\"Ok\"") == 3);
  CHECK(counters.Text() ==
        "# TYPE spindleweir_open_requests gauge\n"
        "spindleweir_open_requests 4\n"
        "# TYPE spindleweir_requests_total counter\n"
        "spindleweir_requests_total{code=\"Ok\"} 3\n");
}
