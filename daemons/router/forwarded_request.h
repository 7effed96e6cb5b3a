/// A caller's request that another router handles, because this one has lost
/// its links to the upstreams.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "daemons/router/request_handler.h"
#include "daemons/router/router_context.h"

namespace spindleweir {

/// Hands the whole request to other routers, one after the other, until one has
/// not proved that it ran nothing. That router admits it, takes its claim and
/// writes its receipt. The router's OpenRequests own the object.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  /// Header with the cluster's key; a request with it is not handed on.
  static constexpr const char* kClusterKeyHeader = "X-Cluster-Key";

  /// aRouters: RPC addresses, in the order in which to try them. aStreams: the
  /// answer is a stream of events.
  ForwardedRequest(RouterContext& aContext, CallerRequest aRequest,
                   std::vector<Endpoint> aRouters, bool aStreams);

  void Begin();

 private:
  void TryNext();
  HttpCallOptions Options(const Endpoint& aRouter);
  void HandleData(std::string_view aBytes);
  void HandleResult(const HttpResult& aResult);
  /// Whether the answer proves that the router ran nothing and another one may
  /// serve the request.
  static bool IsForOthers(const HttpResult& aResult);
  void Relay(const HttpResult& aResult);
  void Fail(ResultCode aCode);
  void ApplyBackpressure();
  void End();

  RouterContext& mContext;
  CallerRequest mRequest;
  std::vector<Endpoint> mRouters;  ///< Still to be tried.
  bool mStreams;
  bool mStarted = false;  ///< The caller has a part of the answer.
  std::unique_ptr<HttpCall> mCall;
  std::unique_ptr<Timer> mBackpressureTimer;
};

}  // namespace spindleweir
