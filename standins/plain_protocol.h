/// A plain implementation of the seam towards callers, upstreams and
/// operators, for tests and development.
#pragma once

#include "spindleweir/daemons/traffic_protocols.h"

namespace spindleweir {

/// Headers X-Request, X-Key, X-Deadline, X-After; answers carry X-Signature,
/// and X-Ran: no where they did not run.
CallerProtocol PlainCallerProtocol();
/// The product's own words as JSON.
DocumentProtocol PlainDocumentProtocol();
/// Where an order to move a request goes; its body names the path.
inline constexpr const char* kRepathTarget = "/repath";
/// Orders and reports as JSON.
EngineProtocol PlainEngineProtocol();

}  // namespace spindleweir
