/// One caller's connection at a HttpServer, from its first request on: evhttp
/// tells of none before.
#pragma once

#include <memory>

#include "spindleweir/core/clock.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace spindleweir {

class HttpExchange;
class HttpServer;

/// Knows whether something is under way on it. Lives until evhttp frees the
/// connection.
class HttpConnection {
 public:
  HttpConnection(HttpServer& aServer, evhttp_connection* aHandle);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void BeginExchange(std::shared_ptr<HttpExchange> aExchange);
  /// The answer is complete, if not yet written.
  void FinishExchange();
  /// Whether no request is under way, has begun to come, or is still answered.
  bool Idle() const;
  /// Tells the caller that nothing more comes. A request that crosses this is
  /// not taken.
  void CloseGracefully();
  bool Closing() const { return mClosingSince > 0; }
  /// Whether its caller had time enough to close its side.
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
  bool mArrived = false;     ///< Bytes of another request have come.
  Millis mClosingSince = 0;  ///< Steady; 0: not closing.
};

}  // namespace spindleweir
