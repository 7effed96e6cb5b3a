/// Calls of engines with messages of the seam.
#pragma once

#include <string>

#include "spindleweir/daemons/traffic_protocols.h"
#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

/// A call that sends aMessage to the upstream at aAddress ("IP:PORT").
StreamCallOptions MakeEngineCall(EngineMessage aMessage,
                                 const std::string& aAddress, Millis aTimeout);

}  // namespace spindleweir
