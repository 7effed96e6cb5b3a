/// Which crash records routers and controls send each other, and when. A burst
/// of crashes changes many records many times, and a control has little
/// processor time for each of its routers.
#pragma once

#include <cstdint>

#include "spindleweir/servers/limits/crash_ledger.h"
#include "spindleweir/servers/membership/poll_schedule.h"

namespace spindleweir {

/// A process that polls a control.
struct CrashPoller {
  bool mIsControl = false;
  PollingRouter mRouter;    ///< Of routers only.
  std::int64_t mKnown = 0;  ///< Revision of the control that it has.
};

/// The records that a control answers a poll with.
CrashLedger::Changes CrashesForPoller(const CrashLedger& aLedger,
                                      const CrashPoller& aPoller, Millis aNow);

/// The records that a router polls a control with. aAcknowledged: revision of
/// the router that the control has.
CrashLedger::Changes CrashesForControl(const CrashLedger& aLedger,
                                       std::int64_t aAcknowledged, Millis aNow);

}  // namespace spindleweir
