/// A caller that uses a raw socket, for tests of servers.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>

#include "spindleweir/core/settings.h"
#include "tests/test_tools.h"

namespace spindleweir {

/// A caller with a small receive buffer that reads only in Read().
class RawSocketCaller {
 public:
  explicit RawSocketCaller(const Endpoint& aServer)
      : mFd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    constexpr int kReceiveBufferBytes = 2048;
    (void)setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                     sizeof(kReceiveBufferBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aServer.mPort));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    (void)connect(mFd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~RawSocketCaller() { close(mFd); }
  RawSocketCaller(const RawSocketCaller&) = delete;
  RawSocketCaller& operator=(const RawSocketCaller&) = delete;

  /// Sends once, when connected.
  void Send(EventLoop& aLoop, std::string_view aBytes) const {
    bool sent = false;
    REQUIRE(RunLoopUntil(aLoop, [&] {
      sent = sent || send(mFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) > 0;
      return sent;
    }));
  }
  /// Sends without waiting: a connected loopback socket accepts the bytes.
  void SendNow(std::string_view aBytes) const {
    CHECK(send(mFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(aBytes.size()));
  }
  void Read() {
    char buf[4096];
    const ssize_t n = recv(mFd, buf, sizeof(buf), 0);
    mEnded = mEnded || n == 0;
    mWasReset = mWasReset || (n < 0 && errno == ECONNRESET);
    mEnded = mEnded || mWasReset;
    if (n > 0) {
      mReceived.append(buf, static_cast<std::size_t>(n));
    }
  }

  std::string mReceived;
  bool mEnded = false;
  bool mWasReset = false;

 private:
  int mFd;
};

}  // namespace spindleweir
