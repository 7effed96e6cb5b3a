/// HTTP calls to engines with messages of the EngineProtocol.
#pragma once

#include <string>

#include "spindleweir/daemons/traffic_protocols.h"
#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

/// Options of a call that sends aMessage to the upstream at aAddress
/// ("IP:PORT"). Throws if the address is invalid.
StreamCallOptions MakeEngineCall(EngineMessage aMessage,
                                 const std::string& aAddress, Millis aTimeout);

}  // namespace spindleweir
