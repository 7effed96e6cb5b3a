/// Socket options that detect unresponsive peers and limit kernel buffers.
#pragma once

#include <cstddef>

namespace spindleweir {

/// Sets TCP_NODELAY, keep-alive probes and aUserTimeout: the maximum time
/// without an acknowledgement from the peer, in milliseconds.
void SetSocketOptions(int aFd, int aUserTimeout);

/// Limits the kernel's receive and send buffers. To be called before the
/// connection is made, since an advertised window cannot be withdrawn.
void SetSocketBuffers(int aFd, std::size_t aBytes);

}  // namespace spindleweir
