#include "spindleweir/servers/limits/router_count.h"

namespace spindleweir {

void RouterCount::OnReport(int aRouters, Millis aNow) {
  if (aRouters < 1) {
    return;
  }
  while (!mReports.empty() && mReports.back().mRouters <= aRouters) {
    mReports.pop_back();
  }
  mReports.push_back({.mRouters = aRouters, .mAt = aNow});
  while (aNow - mReports.front().mAt > mOptions.mRetention) {
    mReports.pop_front();
  }
}

}  // namespace spindleweir
