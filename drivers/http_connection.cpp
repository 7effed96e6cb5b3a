#include "drivers/http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

namespace {

constexpr Millis kLingerTimeout = 1000;

}  // namespace

HttpConnection::HttpConnection(HttpServer& aServer, evhttp_connection* aHandle)
    : mServer(aServer), mHandle(aHandle) {
  evhttp_connection_set_closecb(mHandle, &HttpConnection::HandleClose, this);
  evbuffer_add_cb(Input(), &HttpConnection::HandleArrived, this);
}

HttpConnection::~HttpConnection() {
  evbuffer_remove_cb(Input(), &HttpConnection::HandleArrived, this);
}

evbuffer* HttpConnection::Input() const {
  return bufferevent_get_input(evhttp_connection_get_bufferevent(mHandle));
}

evbuffer* HttpConnection::Output() const {
  return bufferevent_get_output(evhttp_connection_get_bufferevent(mHandle));
}

void HttpConnection::HandleArrived(evbuffer*, const evbuffer_cb_info* aInfo,
                                   void* aSelf) {
  // evhttp drains the buffer before a request is complete.
  if (aInfo->n_added > 0) {
    static_cast<HttpConnection*>(aSelf)->mArrived = true;
  }
}

void HttpConnection::HandleClose(evhttp_connection* aHandle, void* aSelf) {
  auto* self = static_cast<HttpConnection*>(aSelf);
  const std::shared_ptr<HttpExchange> exchange = std::move(self->mExchange);
  self->mServer.Remove(aHandle);
  if (exchange != nullptr) {
    exchange->CallerLeft();
  }
}

void HttpConnection::BeginExchange(std::shared_ptr<HttpExchange> aExchange) {
  mExchange = std::move(aExchange);
}

void HttpConnection::FinishExchange() {
  const std::shared_ptr<HttpExchange> exchange = std::move(mExchange);
  mExchange = nullptr;
  mArrived = evbuffer_get_length(Input()) > 0;
}

bool HttpConnection::Idle() const {
  const bool waiting = mExchange == nullptr && !mArrived && !Closing();
  if (!waiting || evbuffer_get_length(Output()) > 0) {
    return false;
  }
  // Closing with unread bytes would reset the connection, and the caller would
  // lose the unread part of the previous answer.
  int n = 0;
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(mHandle));
  return ioctl(fd, FIONREAD, &n) != 0 || n == 0;
}

void HttpConnection::CloseGracefully() {
  mClosingSince = SteadyNow();
  shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(mHandle)),
           SHUT_WR);
}

bool HttpConnection::LingerExpired() const {
  return Closing() && SteadyNow() - mClosingSince >= kLingerTimeout;
}

}  // namespace spindleweir
