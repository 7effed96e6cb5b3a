#include "daemons/loop_wait_log.h"

#include "spindleweir/core/log.h"

namespace spindleweir {

LoopWaitLog::LoopWaitLog(EventLoop& aLoop, Counters& aCounters) : mLoop(aLoop) {
  mLoop.SetWaitHook([&aCounters](const LoopWait& aWait) {
    aCounters.Observe("loop_wait_ms", aWait.mTook);
    LogLine(LogLevel::kWarning, "loop_waited")
        .Add("took_ms", static_cast<Json::Int64>(aWait.mTook))
        .Add("in_syncs_ms", static_cast<Json::Int64>(aWait.mInSyncs))
        .Add("computed_ms", static_cast<Json::Int64>(aWait.mComputed));
  });
}

LoopWaitLog::~LoopWaitLog() {
  mLoop.SetWaitHook({});
}

}  // namespace spindleweir
