/// Which of the controls that a router polls have fallen behind the others.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The versions in one control's answer and in the router that polled it.
struct SourceVersions {
  std::int64_t mHeld = 0;  ///< By the router, with all that the answer brought.
  /// The newest accepted version, as the leader confirmed it to the control.
  std::int64_t mConfirmed = 0;
};

struct SourceLagOptions {
  /// A version reaches all controls within a poll interval of theirs, so that a
  /// control that still lacks it after several of them does not receive it.
  Millis mTolerance = 1500;
};

/// Detects controls that know of a newer version but do not send it: a router
/// all of whose sources are such controls would not get a lease. Takes the time
/// with each call.
class SourceLag {
 public:
  explicit SourceLag(SourceLagOptions aOptions) : mOptions(aOptions) {}

  /// A control answered. Returns whether it has been behind for longer than
  /// tolerated; the time then counts anew.
  bool OnAnswer(const std::string& aAddress, const SourceVersions& aVersions,
                Millis aNow);

 private:
  SourceLagOptions mOptions;
  std::map<std::string, Millis> mBehindSince;  ///< By address.
};

}  // namespace spindleweir
