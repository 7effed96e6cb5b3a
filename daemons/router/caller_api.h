/// The HTTP paths of the caller port, and the checks before a request starts.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemons/router/claim_client.h"
#include "daemons/router/request_handler.h"
#include "daemons/router/router_context.h"

namespace spindleweir {

/// Handles every request that arrives on the caller port.
class CallerApi {
 public:
  /// aOtherRouters: RPC addresses of routers to which requests may be handed,
  /// in the order in which to try them.
  CallerApi(RouterContext& aContext,
            std::function<std::vector<Endpoint>()> aOtherRouters);

  /// aOrigin: who sent the request.
  enum class Origin { kCaller, kRouter };
  void Handle(const std::shared_ptr<HttpExchange>& aExchange,
              Origin aOrigin = Origin::kCaller);

 private:
  void Route(const std::shared_ptr<HttpExchange>& aExchange, Origin aOrigin);
  /// Hands a request to another router if this one is cut off from the
  /// upstreams. Returns false, without any effect, if it isn't.
  bool Forward(const std::shared_ptr<HttpExchange>& aExchange, bool aStreams);
  /// Checks readiness, bearer key and headers. Throws kStopping, kNotReady,
  /// kUnauthorized or kBadHeader.
  CallerRequest CheckRequest(const std::shared_ptr<HttpExchange>& aExchange);
  void StartCompletion(const std::shared_ptr<HttpExchange>& aExchange,
                       bool aChat);
  void StartService(const std::shared_ptr<HttpExchange>& aExchange);
  void ListModels(const std::shared_ptr<HttpExchange>& aExchange);

  RouterContext& mContext;
  std::function<std::vector<Endpoint>()> mOtherRouters;
  ClaimClient mClaims;
};

}  // namespace spindleweir
