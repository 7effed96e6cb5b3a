#include "drivers/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace spindleweir {

namespace {

constexpr int kMillisPerSecond = 1000;

void SetInt(int aFd, int aLevel, int aName, int aValue) {
  // Best effort: unsupported options are not needed for correct operation.
  (void)setsockopt(aFd, aLevel, aName, &aValue, sizeof(aValue));
}

}  // namespace

void SetSocketOptions(int aFd, int aUserTimeout) {
  SetInt(aFd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetInt(aFd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInt(aFd, IPPROTO_TCP, TCP_KEEPIDLE,
         std::max(1, aUserTimeout / 2 / kMillisPerSecond));
  SetInt(aFd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetInt(aFd, IPPROTO_TCP, TCP_KEEPCNT, 2);
  SetInt(aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, aUserTimeout);
}

void SetSocketBuffers(int aFd, std::size_t aBytes) {
  // The kernel doubles the value, for its own overhead.
  const auto size = static_cast<int>(aBytes / 2);
  SetInt(aFd, SOL_SOCKET, SO_RCVBUF, size);
  SetInt(aFd, SOL_SOCKET, SO_SNDBUF, size);
}

}  // namespace spindleweir
