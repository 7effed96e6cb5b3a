/// The operators' interface of a control whose start waits for the disk.
#pragma once

#include "spindleweir/core/counters.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Answers /healthz and /metrics; everything else, readiness included, with
/// kStorageFailed.
void AnswerWhileWaiting(HttpExchange& aExchange, const Counters& aCounters);

}  // namespace spindleweir
