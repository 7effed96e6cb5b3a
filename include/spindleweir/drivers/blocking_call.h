/// A blocking HTTP call, for programs without an event loop of their own.
#pragma once

#include "spindleweir/drivers/http_client.h"

namespace spindleweir {

/// Makes the call in a private event loop and returns its result. Replaces
/// mOnDone.
HttpResult CallAndWait(HttpCallOptions aOptions);

}  // namespace spindleweir
