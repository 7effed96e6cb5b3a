#include "standins/raw_upstream.h"

#include <event2/buffer.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <string_view>

namespace spindleweir {

namespace {

/// What an answer without end writes at a time.
constexpr std::size_t kRepeatedBytes = 16384;

}  // namespace

RawUpstream::RawUpstream(EventLoop& aLoop, std::string aInstance)
    : mLoop(aLoop), mInstance(std::move(aInstance)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  mListener = evconnlistener_new_bind(
      mLoop.Base(), &HandleAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
      reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

RawUpstream::~RawUpstream() {
  evconnlistener_free(mListener);
  for (bufferevent* connection : mConnections) {
    bufferevent_free(connection);
  }
}

std::string RawUpstream::Address() const {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  (void)getsockname(evconnlistener_get_fd(mListener),
                    reinterpret_cast<sockaddr*>(&address), &n);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void RawUpstream::SetAnswers(std::vector<std::string> aAnswers) {
  mAnswers = std::move(aAnswers);
  mAnswered = 0;
}

void RawUpstream::AnswerWithoutEnd(std::string aBegin,
                                   std::string_view aRepeated) {
  SetAnswers({std::move(aBegin)});
  mWritten = 0;
  while (mRepeated.size() < kRepeatedBytes) {
    mRepeated += aRepeated;
  }
}

std::string RawUpstream::StreamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "X-Signature: raw\r\n\r\n";
}

std::string RawUpstream::Events(int aFrom, int aTo) {
  std::string events;
  for (int id = aFrom; id <= aTo; id++) {
    events += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return events;
}

void RawUpstream::HandleAccept(evconnlistener*, evutil_socket_t aSocket,
                               sockaddr*, int, void* aSelf) {
  auto& self = *static_cast<RawUpstream*>(aSelf);
  bufferevent* connection =
      bufferevent_socket_new(self.mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(connection, &HandleRead, nullptr, &HandleEvent, aSelf);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
  self.mConnections.insert(connection);
}

void RawUpstream::HandleRead(bufferevent* aConnection, void* aSelf) {
  auto& self = *static_cast<RawUpstream*>(aSelf);
  evbuffer* input = bufferevent_get_input(aConnection);
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0 || self.mAnswers.empty()) {
    return;
  }
  const auto last = static_cast<int>(self.mAnswers.size()) - 1;
  const std::string& answer =
      self.mAnswers[static_cast<std::size_t>(std::min(self.mAnswered, last))];
  self.mAnswered++;
  evbuffer_drain(input, evbuffer_get_length(input));
  bufferevent_setcb(aConnection, nullptr, &HandleDrained, &HandleEvent, aSelf);
  bufferevent_write(aConnection, answer.data(), answer.size());
}

void RawUpstream::HandleDrained(bufferevent* aConnection, void* aSelf) {
  auto& self = *static_cast<RawUpstream*>(aSelf);
  if (self.mRepeated.empty()) {
    self.Close(aConnection);
    return;
  }
  self.mWritten += self.mRepeated.size();
  bufferevent_write(aConnection, self.mRepeated.data(), self.mRepeated.size());
}

void RawUpstream::HandleEvent(bufferevent* aConnection, short, void* aSelf) {
  static_cast<RawUpstream*>(aSelf)->Close(aConnection);
}

void RawUpstream::Close(bufferevent* aConnection) {
  mConnections.erase(aConnection);
  bufferevent_free(aConnection);
}

}  // namespace spindleweir
