/// One caller's connection at a HttpServer, from its first request on: evhttp
/// has no callback for accepted connections.
#pragma once

#include <memory>

#include "spindleweir/core/clock.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace spindleweir {

class HttpExchange;
class HttpServer;

/// Tracks whether a request is in progress. Lives until evhttp frees the
/// connection.
class HttpConnection {
 public:
  HttpConnection(HttpServer& aServer, evhttp_connection* aHandle);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void BeginExchange(std::shared_ptr<HttpExchange> aExchange);
  /// The answer is complete, though possibly not yet written.
  void FinishExchange();
  /// Whether no request is in progress or partly received, and no answer
  /// pending.
  bool Idle() const;
  /// Shuts down the sending side. A request that arrives afterwards is not
  /// processed.
  void CloseGracefully();
  bool Closing() const { return mClosingSince > 0; }
  /// Whether the caller's time to close its side has run out.
  bool LingerExpired() const;

 private:
  static void HandleClose(evhttp_connection* aHandle, void* aSelf);
  static void HandleArrived(evbuffer* aBuffer, const evbuffer_cb_info* aInfo,
                            void* aSelf);
  evbuffer* Input() const;
  evbuffer* Output() const;

  HttpServer& mServer;
  evhttp_connection* mHandle;
  std::shared_ptr<HttpExchange> mExchange;
  bool mArrived = false;     ///< Bytes of another request have arrived.
  Millis mClosingSince = 0;  ///< By SteadyNow(); 0: not closing.
};

}  // namespace spindleweir
