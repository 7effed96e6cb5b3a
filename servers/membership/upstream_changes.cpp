#include "spindleweir/servers/membership/upstream_changes.h"

namespace spindleweir {

bool UpstreamChanges::Count(const UpstreamRecord* aBefore,
                            const UpstreamRecord& aAfter) {
  if (aBefore == nullptr) {
    const bool isReady = aAfter.mState == UpstreamState::kReady;
    mAdded += isReady ? 1 : 0;
    return !isReady;
  }
  const bool sameState =
      aBefore->mState == aAfter.mState && aBefore->mStart == aAfter.mStart;
  mUpdated += sameState ? 1 : 0;
  return !sameState;
}

}  // namespace spindleweir
