#include "daemons/control/retry_service.h"

#include <utility>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

RetryService::RetryService(ControlContext& aContext, RetryServiceHooks aHooks)
    : mContext(aContext),
      mHooks(std::move(aHooks)),
      mOptions(aContext.mOptions.mRetries) {
  mOptions.mStartedAt = SteadyNow();
  mContext.mDispatcher.On(
      rpc_method::kRetries, [this](const Json::Value& aMessage) {
        return ToJson(Answer(FromJson<RetryCreditRequest>(aMessage)));
      });
}

RetryCreditGrant RetryService::Answer(const RetryCreditRequest& aRequest) {
  if (!mHooks.mKnowsService(aRequest.mService)) {
    return {};
  }
  RetryPool& pool =
      mPools.try_emplace(aRequest.mService, mOptions).first->second;
  const RouterShare routers = mHooks.mRouters();
  const Millis now = SteadyNow();
  const RetryCreditGrant grant{pool.Grant(aRequest.mWanted, routers, now)};
  mContext.mCounters.Add("retries_granted", {}, grant.mGranted);
  LogLine(LogLevel::kInfo, "retries_granted")
      .Add("router", aRequest.mProcess)
      .Add("service", aRequest.mService)
      .Add("wanted", aRequest.mWanted)
      .Add("granted", grant.mGranted)
      .Add("left", pool.Available(routers, now))
      .Add("routers_here", routers.mLocal)
      .Add("routers", routers.mTotal);
  return grant;
}

}  // namespace spindleweir
