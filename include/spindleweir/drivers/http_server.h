/// HTTP server based on evhttp, with complete or streamed answers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace spindleweir {

class HttpConnection;

/// One header of a request or an answer.
struct HttpHeader {
  std::string mName;
  std::string mValue;
};

/// One request and its answer. Held by shared_ptr: it may outlive its
/// connection; its methods then have no effect.
class HttpExchange {
 public:
  HttpExchange(HttpConnection& aConnection, evhttp_request* aRequest);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& Method() const { return mMethod; }
  const std::string& Path() const { return mPath; }
  const std::string& Body() const { return mBody; }
  /// The first header of that name, ignoring case; empty if there is none.
  std::string_view Header(const char* aName) const;
  /// The token of "Authorization: Bearer TOKEN", or empty.
  std::string_view BearerKey() const;

  /// Adds a header to the answer. To be called before Reply or StartStream.
  void AddHeader(const char* aName, const std::string& aValue);
  /// Sends a complete answer.
  void Reply(int aStatus, std::string_view aType, std::string_view aBody);
  /// Begins a chunked answer.
  void StartStream(int aStatus, std::string_view aType);
  void Write(std::string_view aBytes);
  void EndStream();
  /// Bytes written that are not yet sent on the caller's connection.
  std::size_t PendingBytes() const;

  /// Whether the caller's connection is gone, or the answer is complete.
  bool Closed() const { return mRequest == nullptr; }
  /// Calls aCall once if the connection closes before the answer is complete.
  void OnClosed(std::function<void()> aCall) { mOnClosed = std::move(aCall); }

 private:
  friend class HttpConnection;
  friend class HttpServer;
  void CallerLeft();
  void WatchClose();
  void Detach();

  HttpConnection* mConnection;  ///< nullptr: connection or exchange ended.
  evhttp_request* mRequest;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::function<void()> mOnClosed;
};

/// Options of a server.
struct HttpServerOptions {
  Endpoint mListen;  ///< Port 0: chosen by the system.
  std::size_t mMaximumHeaderBytes = 16 * 1024;
  std::size_t mMaximumBodyBytes = 1024 * 1024;
  int mIdleSeconds = 60;  ///< Connections idle for longer are closed.
  std::function<void(const std::shared_ptr<HttpExchange>&)> mHandle;
};

/// Listens on one address.
class HttpServer {
 public:
  /// Throws kCannotListen.
  HttpServer(EventLoop& aLoop, HttpServerOptions aOptions);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The address with the actual port.
  const Endpoint& Address() const { return mAddress; }
  /// From now on every answer closes its connection.
  void SetClosing() { mClosing = true; }
  /// Gracefully closes idle connections, and frees those whose callers didn't
  /// close their side within a second. To be called again until Connections()
  /// is 0.
  void CloseIdle();
  /// Stops accepting connections. Returns false if one is still to be accepted,
  /// which would be reset; to be called again then.
  bool StopListening();
  /// Number of connections that have received a request.
  std::size_t Connections() const { return mConnections.size(); }

 private:
  friend class HttpConnection;
  static void HandleRequest(evhttp_request* aRequest, void* aSelf);
  HttpConnection& ConnectionOf(evhttp_request* aRequest);
  void Remove(evhttp_connection* aHandle);

  evhttp* mHttp;
  evhttp_bound_socket* mSocket = nullptr;  ///< nullptr: not listening.
  HttpServerOptions mOptions;
  Endpoint mAddress;
  bool mClosing = false;
  std::unordered_map<evhttp_connection*, std::unique_ptr<HttpConnection>>
      mConnections;
};

}  // namespace spindleweir
