#include "spindleweir/servers/limits/recent_maximum.h"

namespace spindleweir {

void RecentMaximum::Record(int aNumber, Millis aNow) {
  while (!mItems.empty() && mItems.back().mNumber <= aNumber) {
    mItems.pop_back();
  }
  mItems.push_back({.mNumber = aNumber, .mAt = aNow});
  while (aNow - mItems.front().mAt > mRetention) {
    mItems.pop_front();
  }
}

}  // namespace spindleweir
