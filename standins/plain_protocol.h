/// Plain implementations of the protocols for callers, upstreams and operators,
/// for tests and development.
#pragma once

#include "spindleweir/daemons/traffic_protocols.h"

namespace spindleweir {

/// Ids of the shared parts of a request's prompt, separated by commas.
inline constexpr const char* kPartsHeader = "X-Parts";

/// Requests carry the headers X-Request, X-Key, X-Deadline, X-After and
/// kPartsHeader; answers
/// carry X-Signature, and "X-Ran: no" if the upstream didn't run the request.
CallerProtocol PlainCallerProtocol();
/// Reads configuration documents as JSON with the field names of
/// TrafficConfiguration.
DocumentProtocol PlainDocumentProtocol();
/// Target of an order that moves a request to another path; the body lists the
/// instances of the new path.
inline constexpr const char* kRepathTarget = "/repath";
/// In messages to engines: the instance that is meant. Any other one answers
/// 421.
inline constexpr const char* kExpectedInstanceHeader = "X-Expect-Instance";
/// Writes orders for engines as bare messages; every state read is empty.
EngineProtocol PlainEngineProtocol();

}  // namespace spindleweir
