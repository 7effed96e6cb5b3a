/// Hands out retries to routers whose own part is spent.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "daemons/control/control_context.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/routing/retry_pool.h"

namespace spindleweir {

/// Where it learns what it needs.
struct RetryServiceHooks {
  std::function<RouterShare()> mRouters;
  /// Whether the configuration in force has a service.
  std::function<bool(const std::string& aService)> mKnowsService;
};

/// The answering side of control.retries, on one control process.
class RetryService {
 public:
  RetryService(ControlContext& aContext, RetryServiceHooks aHooks);

 private:
  RetryGrant Answer(const RetryWish& aRequest);

  ControlContext& mContext;
  RetryServiceHooks mHooks;
  RetryAllowanceOptions mOptions;
  std::map<std::string, RetryPool> mPools;  ///< By service.
};

}  // namespace spindleweir
