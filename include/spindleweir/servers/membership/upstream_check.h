/// What word of an upstream must say before anything is done with it, whoever
/// wrote it: a row that does not is left out, and those beside it hold.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Throws kBadHeartbeat where a name is missing or cannot be a part of a
/// header, the address is no "IP:PORT", or a number is out of range. Of one
/// that is gone only the instance is looked at: nothing else may be known.
void RequireUsable(const UpstreamRecord& aRecord);
void RequireUsable(const UpstreamHeartbeat& aBeat);
void RequireUsable(const SilentUpstream& aSilent);
/// A name of an instance, as it can stand in a header.
void RequireInstance(std::string_view aInstance);

/// An age as it is told. Throws kBadHeartbeat where it is negative or above 30
/// days.
void RequireAge(Millis aAge);

/// Called for each row that is left out.
using InvalidRowHook =
    std::function<void(const std::string& aInstance, const Error& aWhy)>;

/// Whether word that is left out is logged: one line in ten seconds for each
/// kind, whatever the number, so that a writer gone wrong fills no disk.
class InvalidMessageLogLimiter {
 public:
  struct Decision {
    bool mShouldLog = false;
    int mSuppressed = 0;  ///< Since the last line.
  };
  Decision OnInvalidMessage(Millis aNow);

 private:
  Millis mLoggedAt = -1;
  int mSuppressed = 0;
};

}  // namespace spindleweir
