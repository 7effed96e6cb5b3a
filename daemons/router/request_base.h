/// What a caller's request carries besides its body.
#pragma once

#include <memory>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/drivers/http_server.h"
#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// A caller's request after its headers were checked.
struct CallerRequest {
  std::string mId;
  WorkspaceSpec mWorkspace;
  std::shared_ptr<HttpExchange> mExchange;
  std::string mIdempotencyKey;  ///< Empty: none.
  int mPriority = 0;
  Millis mDeadline = 0;  ///< Absolute, steady; 0: none.
  Millis mStarted = 0;   ///< Steady.

  /// What its idempotency key claims on a route.
  std::string ClaimKey(const std::string& aRoute) const {
    return mWorkspace.mName + "\n" + aRoute + "\n" + mIdempotencyKey;
  }
};

}  // namespace spindleweir
