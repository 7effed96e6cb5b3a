/// Options that every connection which may hang is given.
#pragma once

namespace spindleweir {

/// Sets no-delay, keep-alive probes and the longest time without an
/// acknowledgement from the other side, in milliseconds.
void SetSocketOptions(int aFd, int aUserTimeout);

}  // namespace spindleweir
