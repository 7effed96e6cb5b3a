/// Options that every connection which may hang is given.
#pragma once

#include <cstddef>

namespace spindleweir {

/// Sets no-delay, keep-alive probes and the longest time without an
/// acknowledgement from the other side, in milliseconds.
void SetSocketOptions(int aFd, int aUserTimeout);

/// Bounds what the kernel holds each way, unread and not taken yet; to be set
/// before a connection is made, since a window that was told is not taken back.
void SetSocketBuffers(int aFd, std::size_t aBytes);

}  // namespace spindleweir
