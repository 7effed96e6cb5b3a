/// Validation of all data about upstreams, whichever process sent it. An
/// invalid row is left out; the other rows of its message stay valid.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Throws kBadHeartbeat if a name is missing or cannot be part of a header, the
/// address is not "IP:PORT", or a number is out of range. Of a gone upstream
/// only the instance, sequence, start and age are checked: the rest may be
/// unknown.
void RequireUsable(const UpstreamRecord& aRecord);
void RequireUsable(const UpstreamHeartbeat& aHeartbeat);
void RequireUsable(const SilentUpstream& aSilent);
/// Throws kBadHeartbeat unless the name of an instance is 1 to 256 printable
/// ASCII characters without spaces, as a header needs it.
void RequireInstance(std::string_view aInstance);

/// Checks a received age. Throws kBadHeartbeat if it is negative or above 30
/// days.
void RequireAge(Millis aAge);

/// Called for each row that is left out.
using InvalidRowHook =
    std::function<void(const std::string& aInstance, const Error& aWhy)>;

/// Limits the log lines about one kind of invalid message to one in ten
/// seconds, so that a faulty sender cannot fill the disk.
class InvalidMessageLogLimiter {
 public:
  struct Decision {
    bool mShouldLog = false;
    int mSuppressed = 0;  ///< Messages not logged since the last line.
  };
  /// Counts an invalid message. Returns whether it should be logged.
  Decision OnInvalidMessage(Millis aNow);

 private:
  Millis mLoggedAt = -1;  ///< -1: never.
  int mSuppressed = 0;
};

}  // namespace spindleweir
