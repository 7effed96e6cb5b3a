/// Rests that upstreams ask for: one that turned a request away may say how
/// long it wants nothing from who sent it.
#pragma once

#include <map>
#include <set>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Those that one router was asked for. They are kept whatever else there is.
/// Decisions only: the time comes with each call.
class BackoffPeriods {
 public:
  /// An upstream asked for so much; an earlier rest that lasts longer holds.
  void Extend(const std::string& aInstance, Millis aDuration, Millis aNow);
  /// Another incarnation has asked for nothing.
  void Forget(const std::string& aInstance) { mUntil.erase(aInstance); }
  bool IsActive(const std::string& aInstance, Millis aNow) const;
  /// The upstreams that nothing may be sent to at present.
  std::set<std::string> HeldUpstreams(Millis aNow);

 private:
  std::map<std::string, Millis> mUntil;  ///< By instance.
};

}  // namespace spindleweir
