/// One HTTP call for programs that have nothing else to do meanwhile.
#pragma once

#include "spindleweir/drivers/http_client.h"

namespace spindleweir {

/// Makes the call in a loop of its own and returns how it ended; mOnDone is
/// not used.
HttpResult CallAndWait(HttpCallOptions aOptions);

}  // namespace spindleweir
