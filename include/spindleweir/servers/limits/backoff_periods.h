/// Back-off periods that upstreams ask for: one that refuses a request may
/// state how long the sender is to send nothing more.
#pragma once

#include <map>
#include <set>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The back-off periods that one router was asked for. They are observed even
/// if no other upstream is available. The class only decides; the time is
/// passed to each call.
class BackoffPeriods {
 public:
  /// An upstream asked for a back-off of aDuration. An earlier period that ends
  /// later stays in force.
  void Extend(const std::string& aInstance, Millis aDuration, Millis aNow);
  /// Ends the period: another incarnation, which has asked for none, is there.
  void Forget(const std::string& aInstance) { mUntil.erase(aInstance); }
  bool IsActive(const std::string& aInstance, Millis aNow) const;
  /// The upstreams that no request may be sent to at present.
  std::set<std::string> HeldUpstreams(Millis aNow);

 private:
  std::map<std::string, Millis> mUntil;  ///< By instance.
};

}  // namespace spindleweir
