/// HTTP server over evhttp: requests in, whole or streamed answers out.
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

/// One request and the answer to it. Held by shared_ptr: it may outlive its
/// connection, and then does nothing.
class HttpExchange {
 public:
  HttpExchange(HttpConnection& aConnection, evhttp_request* aRequest);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& Method() const { return mMethod; }
  const std::string& Path() const { return mPath; }
  const std::string& Body() const { return mBody; }
  /// The first header of that name, in any case; empty where there is none.
  std::string_view Header(const char* aName) const;
  /// The token of "Authorization: Bearer TOKEN", or empty.
  std::string_view BearerKey() const;

  /// Adds a header to the answer; before Reply or StartStream.
  void AddHeader(const char* aName, const std::string& aValue);
  /// Sends a whole answer.
  void Reply(int aStatus, std::string_view aType, std::string_view aBody);
  /// Begins a chunked answer.
  void StartStream(int aStatus, std::string_view aType);
  void Write(std::string_view aBytes);
  void EndStream();
  /// Bytes written but not yet taken by the caller's connection.
  std::size_t PendingBytes() const;

  /// Whether the caller's connection is gone, or the answer is complete.
  bool Closed() const { return mRequest == nullptr; }
  /// Called once when the caller's connection closes before the end.
  void OnClosed(std::function<void()> aCall) { mOnClosed = std::move(aCall); }

 private:
  friend class HttpConnection;
  friend class HttpServer;
  void CallerLeft();
  void WatchClose();
  void Detach();

  HttpConnection* mConnection;  ///< nullptr: it or the exchange has ended.
  evhttp_request* mRequest;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::function<void()> mOnClosed;
};

/// How a server listens.
struct HttpServerOptions {
  Endpoint mListen;  ///< Port 0: chosen by the system.
  std::size_t mMaximumHeaderBytes = 16 * 1024;
  std::size_t mMaximumBodyBytes = 1024 * 1024;
  int mIdleSeconds = 60;  ///< A connection silent for longer is closed.
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

  /// The address with the port in force.
  const Endpoint& Address() const { return mAddress; }
  /// From now on every answer closes its connection.
  void SetClosing() { mClosing = true; }
  /// Closes in order the connections that wait for another request, and those
  /// for good whose callers did not close their side within a second. To be
  /// called again until there are none.
  void CloseIdle();
  /// Takes no new connection. False: somebody has connected who is not accepted
  /// yet, and would be reset; to be called again.
  bool StopListening();
  /// Those on which a request has come.
  std::size_t Connections() const { return mConnections.size(); }

 private:
  friend class HttpConnection;
  static void HandleRequest(evhttp_request* aRequest, void* aSelf);
  HttpConnection& ConnectionOf(evhttp_request* aRequest);
  void Remove(evhttp_connection* aHandle);

  evhttp* mHttp;
  evhttp_bound_socket* mSocket = nullptr;  ///< nullptr: does not listen.
  HttpServerOptions mOptions;
  Endpoint mAddress;
  bool mClosing = false;
  std::unordered_map<evhttp_connection*, std::unique_ptr<HttpConnection>>
      mConnections;
};

}  // namespace spindleweir
