/// Which changes of upstreams a router logs one by one.
#pragma once

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// The changes in one answer of a control. A start or a placement brings one
/// for each upstream of the fleet to each router, which every control logs
/// already; the router logs only their number. A new state or incarnation of a
/// known upstream may end its requests, and gets a line of its own.
class UpstreamChanges {
 public:
  /// Counts a change. aBefore: the record before it; nullptr if the upstream
  /// was unknown. Returns whether the change gets a line of its own.
  bool Count(const UpstreamRecord* aBefore, const UpstreamRecord& aAfter);

  int Added() const { return mAdded; }      ///< Without a line of their own.
  int Updated() const { return mUpdated; }  ///< The same.
  bool Empty() const { return mAdded + mUpdated == 0; }

 private:
  int mAdded = 0;
  int mUpdated = 0;
};

}  // namespace spindleweir
