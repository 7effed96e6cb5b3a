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

Test(counters, histogram_buckets_are_cumulative) {
  Counters counters;
  for (std::int64_t value : {1, 2, 3, 1000000}) {
    counters.Observe("wait_ms", value);
  }
  const std::string text = counters.Text();
  CHECK(text.find("wait_ms_bucket{le=\"1\"} 1\n") != std::string::npos);
  CHECK(text.find("wait_ms_bucket{le=\"4\"} 3\n") != std::string::npos);
  CHECK(text.find("wait_ms_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
  CHECK(text.find("wait_ms_count 4\n") != std::string::npos);
}
