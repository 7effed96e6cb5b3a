#include "spindleweir/drivers/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>

#include <vector>

#include "drivers/http_connection.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/http_message.h"

namespace spindleweir {

namespace {

constexpr std::size_t kReadAheadBytes = 2 * 1024 * 1024;

const char* MethodName(evhttp_cmd_type aType) {
  switch (aType) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

std::string PathOf(evhttp_request* aRequest) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  return path == nullptr ? "/" : path;
}

std::string BodyOf(evhttp_request* aRequest) {
  evbuffer* buf = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(buf), '\0');
  evbuffer_remove(buf, body.data(), body.size());
  return body;
}

Endpoint AddressOf(evhttp_bound_socket* aSocket, const Endpoint& aConfigured) {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  Endpoint endpoint = aConfigured;
  if (getsockname(evhttp_bound_socket_get_fd(aSocket),
                  reinterpret_cast<sockaddr*>(&address), &n) == 0) {
    endpoint.mPort = ntohs(address.sin_port);
  }
  return endpoint;
}

}  // namespace

HttpExchange::HttpExchange(HttpConnection& aConnection,
                           evhttp_request* aRequest)
    : mConnection(&aConnection),
      mRequest(aRequest),
      mMethod(MethodName(evhttp_request_get_command(aRequest))),
      mPath(PathOf(aRequest)),
      mBody(BodyOf(aRequest)) {}

HttpExchange::~HttpExchange() = default;

std::string_view HttpExchange::Header(const char* aName) const {
  if (mRequest == nullptr) {
    return {};
  }
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(mRequest), aName);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

std::string_view HttpExchange::BearerKey() const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = Header("Authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size())
                                    : std::string_view();
}

void HttpExchange::AddHeader(const char* aName, const std::string& aValue) {
  if (mRequest != nullptr) {
    evhttp_add_header(evhttp_request_get_output_headers(mRequest), aName,
                      aValue.c_str());
  }
}

void HttpExchange::Reply(int aStatus, std::string_view aType,
                         std::string_view aBody) {
  if (mRequest == nullptr) {
    return;
  }
  AddHeader("Content-Type", std::string(aType));
  // evhttp writes whatever it is given, also after a head that ends the answer,
  // where the caller would take it for the next one.
  if (mMethod != "HEAD" && MayHaveBody(aStatus)) {
    evbuffer* buf = evhttp_request_get_output_buffer(mRequest);
    evbuffer_add(buf, aBody.data(), aBody.size());
  }
  evhttp_request* request = mRequest;
  Detach();
  evhttp_send_reply(request, aStatus, nullptr, nullptr);
}

void HttpExchange::StartStream(int aStatus, std::string_view aType) {
  if (mRequest == nullptr) {
    return;
  }
  AddHeader("Content-Type", std::string(aType));
  evhttp_send_reply_start(mRequest, aStatus, nullptr);
}

void HttpExchange::Write(std::string_view aBytes) {
  if (mRequest == nullptr || aBytes.empty()) {
    return;
  }
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, aBytes.data(), aBytes.size());
  evhttp_send_reply_chunk(mRequest, buf);
  evbuffer_free(buf);
}

void HttpExchange::EndStream() {
  if (mRequest == nullptr) {
    return;
  }
  evhttp_request* request = mRequest;
  Detach();
  evhttp_send_reply_end(request);
}

std::size_t HttpExchange::PendingBytes() const {
  if (mRequest == nullptr) {
    return 0;
  }
  bufferevent* bev = evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(mRequest));
  return evbuffer_get_length(bufferevent_get_output(bev));
}

void HttpExchange::CallerLeft() {
  evhttp_request* request = mRequest;
  mRequest = nullptr;
  mConnection = nullptr;
  if (evhttp_request_get_connection(request) == nullptr) {
    // evhttp leaves the request to the code that answers it. Without this call
    // 0.5 KB and the headers would leak for each caller that disconnects early.
    evhttp_request_free(request);
  }
  const std::function<void()> call = std::move(mOnClosed);
  if (call) {
    call();
  }
}

void HttpExchange::WatchClose() {
  // A disconnect is only detected by reading. Further requests on the
  // connection have to wait, so the read callback is removed meanwhile; evhttp
  // sets its own again after the answer.
  bufferevent* bev = evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(mRequest));
  bufferevent_data_cb write = nullptr;
  bufferevent_event_cb event = nullptr;
  void* context = nullptr;
  bufferevent_getcb(bev, nullptr, &write, &event, &context);
  bufferevent_setcb(bev, nullptr, write, event, context);
  bufferevent_setwatermark(bev, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(bev, EV_READ);
}

void HttpExchange::Detach() {
  HttpConnection* connection = mConnection;
  mRequest = nullptr;
  mConnection = nullptr;
  mOnClosed = nullptr;
  // The connection may hold the last reference to this.
  connection->FinishExchange();
}

HttpServer::HttpServer(EventLoop& aLoop, HttpServerOptions aOptions)
    : mHttp(evhttp_new(aLoop.Base())), mOptions(std::move(aOptions)) {
  evhttp_set_max_headers_size(mHttp,
                              static_cast<long>(mOptions.mMaximumHeaderBytes));
  evhttp_set_max_body_size(mHttp,
                           static_cast<long>(mOptions.mMaximumBodyBytes));
  evhttp_set_timeout(mHttp, mOptions.mIdleSeconds);
  evhttp_set_allowed_methods(mHttp, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                        EVHTTP_REQ_PATCH);
  evhttp_set_gencb(mHttp, &HttpServer::HandleRequest, this);
  mSocket = evhttp_bind_socket_with_handle(
      mHttp, mOptions.mListen.mHost.c_str(),
      static_cast<std::uint16_t>(mOptions.mListen.mPort));
  if (mSocket == nullptr) {
    evhttp_free(mHttp);
    throw Error(ResultCode::kCannotListen,
                "cannot listen on " + mOptions.mListen.Text());
  }
  mAddress = AddressOf(mSocket, mOptions.mListen);
}

HttpServer::~HttpServer() {
  evhttp_free(mHttp);
}

bool HttpServer::StopListening() {
  if (mSocket == nullptr) {
    return true;
  }
  pollfd waiting{.fd = evhttp_bound_socket_get_fd(mSocket),
                 .events = POLLIN,
                 .revents = 0};
  if (poll(&waiting, 1, 0) > 0) {
    return false;
  }
  evhttp_del_accept_socket(mHttp, mSocket);
  mSocket = nullptr;
  mClosing = true;
  return true;
}

void HttpServer::CloseIdle() {
  std::vector<evhttp_connection*> lingered;
  for (const auto& [handle, connection] : mConnections) {
    if (connection->Idle()) {
      connection->CloseGracefully();
    }
    if (connection->LingerExpired()) {
      lingered.push_back(handle);
    }
  }
  for (evhttp_connection* handle : lingered) {
    evhttp_connection_free(handle);
  }
}

HttpConnection& HttpServer::ConnectionOf(evhttp_request* aRequest) {
  evhttp_connection* handle = evhttp_request_get_connection(aRequest);
  std::unique_ptr<HttpConnection>& connection = mConnections[handle];
  if (connection == nullptr) {
    connection = std::make_unique<HttpConnection>(*this, handle);
  }
  return *connection;
}

void HttpServer::Remove(evhttp_connection* aHandle) {
  mConnections.erase(aHandle);
}

void HttpServer::HandleRequest(evhttp_request* aRequest, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  HttpConnection& connection = self->ConnectionOf(aRequest);
  if (connection.Closing()) {
    // The answer cannot be sent: the write fails and closes the connection.
    evhttp_send_error(aRequest, HTTP_SERVUNAVAIL, nullptr);
    return;
  }
  if (self->mClosing) {
    evhttp_add_header(evhttp_request_get_output_headers(aRequest), "Connection",
                      "close");
  }
  const auto exchange = std::make_shared<HttpExchange>(connection, aRequest);
  connection.BeginExchange(exchange);
  exchange->WatchClose();
  self->mOptions.mHandle(exchange);
}

}  // namespace spindleweir
