/// What a process tells of the times in which its event loop did not run.
#pragma once

#include "spindleweir/core/counters.h"
#include "spindleweir/drivers/event_loop.h"

namespace spindleweir {

/// While it exists, each such time is logged (loop_waited) and added to the
/// histogram loop_wait_ms.
class LoopWaitLog {
 public:
  LoopWaitLog(EventLoop& aLoop, Counters& aCounters);
  ~LoopWaitLog();
  LoopWaitLog(const LoopWaitLog&) = delete;
  LoopWaitLog& operator=(const LoopWaitLog&) = delete;

 private:
  EventLoop& mLoop;
};

}  // namespace spindleweir
