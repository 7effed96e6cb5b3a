/// Grants retries to routers that have spent their own share of the budget.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "daemons/control/control_context.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/routing/retry_pool.h"

namespace spindleweir {

/// The state of other parts that a retry service reads.
struct RetryServiceHooks {
  /// The routers that report to this control, and all routers.
  std::function<RouterShare()> mRouters;
  /// Whether the configuration in force has a service.
  std::function<bool(const std::string& aService)> mKnowsService;
};

/// Answers control.retries on one control process, from a retry pool per
/// service. Grants nothing for a service that is not known.
class RetryService {
 public:
  RetryService(ControlContext& aContext, RetryServiceHooks aHooks);

 private:
  RetryCreditGrant Answer(const RetryCreditRequest& aRequest);

  ControlContext& mContext;
  RetryServiceHooks mHooks;
  RetryAllowanceOptions mOptions;
  std::map<std::string, RetryPool> mPools;  ///< By service.
};

}  // namespace spindleweir
