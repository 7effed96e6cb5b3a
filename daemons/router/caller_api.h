/// The HTTP paths of the caller port, and the checks before a request starts.
#pragma once

#include <memory>
#include <string>

#include "daemons/router/claim_client.h"
#include "daemons/router/request_handler.h"
#include "daemons/router/router_context.h"

namespace spindleweir {

/// Handles every request that arrives on the caller port.
class CallerApi {
 public:
  explicit CallerApi(RouterContext& aContext);

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

 private:
  void Route(const std::shared_ptr<HttpExchange>& aExchange);
  /// Checks readiness, bearer key and headers. Throws kStopping, kNotReady,
  /// kUnauthorized or kBadHeader.
  CallerRequest CheckRequest(const std::shared_ptr<HttpExchange>& aExchange);
  void StartCompletion(const std::shared_ptr<HttpExchange>& aExchange,
                       bool aChat);
  void StartService(const std::shared_ptr<HttpExchange>& aExchange);
  void ListModels(const std::shared_ptr<HttpExchange>& aExchange);

  RouterContext& mContext;
  ClaimClient mClaims;
};

}  // namespace spindleweir
