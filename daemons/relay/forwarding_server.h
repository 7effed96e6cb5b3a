/// Forwards calls to upstreams for routers that have lost their own links to
/// them. Each call goes on to its upstream directly, never to another router.
#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "daemons/relay/forwarding_protocol.h"
#include "daemons/relay/link_check.h"
#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// One per router. Refuses what would burden the router's own callers.
class ForwardingServer {
 public:
  /// Throws kCannotListen.
  explicit ForwardingServer(RelayContext& aContext);
  ~ForwardingServer();
  ForwardingServer(const ForwardingServer&) = delete;
  ForwardingServer& operator=(const ForwardingServer&) = delete;

  const Endpoint& Address() const { return mServer.Address(); }
  /// The number of calls that are being forwarded, or whose answers are not
  /// read to the end yet.
  std::size_t OpenCalls() const { return mServer.Connections(); }
  /// Ends all calls.
  void EndCalls();

 private:
  struct ForwardedCall {
    std::shared_ptr<StreamExchange> mExchange;
    ForwardingFacts mFacts;
    HttpHeaders mHeaders;  ///< Of the request, for the upstream.
    std::unique_ptr<StreamCall> mCall;
    std::unique_ptr<LinkCheck> mLinkCheck;
    Millis mStartedAt = 0;
    bool mConnected = false;
    bool mWasRefused = false;  ///< The connection, by the upstream.
  };

  void Handle(const std::shared_ptr<StreamExchange>& aExchange);
  /// Whether another call can be taken.
  bool HasRoom() const;
  void Start(const std::shared_ptr<ForwardedCall>& aCall,
             const UpstreamRecord& aUpstream);
  void HandleHead(ForwardedCall& aCall, const AnswerHead& aHead);
  void HandleEnd(ForwardedCall& aCall, StreamEnd aEnd);
  /// Finds out whether this router reaches another upstream, and refuses the
  /// call accordingly.
  void CheckOwnLinks(ForwardedCall& aCall);
  void EndUnsent(ForwardedCall& aCall, ForwardingRefusal aRefusal);
  void Refuse(StreamExchange& aExchange, ForwardingRefusal aRefusal);
  /// Releases the call in the next iteration of the loop.
  void Remove(ForwardedCall& aCall);

  RelayContext& mContext;
  std::unordered_map<ForwardedCall*, std::shared_ptr<ForwardedCall>> mCalls;
  StreamServer mServer;
};

}  // namespace spindleweir
