#include "spindleweir/servers/limits/router_count.h"

namespace spindleweir {

void RouterCount::Take(int aRouters, Millis aNow) {
  if (aRouters < 1) {
    return;
  }
  while (!mTold.empty() && mTold.back().mRouters <= aRouters) {
    mTold.pop_back();
  }
  mTold.push_back({.mRouters = aRouters, .mAt = aNow});
  while (aNow - mTold.front().mAt > mOptions.mKept) {
    mTold.pop_front();
  }
}

}  // namespace spindleweir
