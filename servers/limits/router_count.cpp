#include "spindleweir/servers/limits/router_count.h"

#include <algorithm>

namespace spindleweir {

void RouterCount::OnReport(int aRouters, Millis aNow) {
  if (aRouters < 1) {
    return;
  }
  if (mReportedAt >= 0) {
    mContact += std::clamp<Millis>(aNow - mReportedAt, 0, mMaxGap);
  }
  mReportedAt = aNow;
  mReports.Record(aRouters, mContact);
}

}  // namespace spindleweir
