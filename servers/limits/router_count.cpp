#include "spindleweir/servers/limits/router_count.h"

namespace spindleweir {

void RouterCount::OnReport(int aRouters, Millis aNow) {
  if (aRouters < 1) {
    return;
  }
  mReports.Record(aRouters, aNow);
}

}  // namespace spindleweir
