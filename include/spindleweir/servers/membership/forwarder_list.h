/// In which order a router tries the routers that it was offered to forward its
/// calls.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/forwarder_offer.h"

namespace spindleweir {

/// The order in which a router tries the forwarders that it was offered.
struct ForwarderListOptions {
  /// How much sooner forwarders of the router's own zone are tried, from 0: by
  /// chance alone, to 1: before all others.
  double mLocalPreference = 1;
};

/// The routers that one router was offered.
class ForwarderList {
 public:
  explicit ForwarderList(ForwarderListOptions aOptions = {})
      : mOptions(aOptions) {}

  /// Replaces the offered routers.
  void Set(std::vector<ForwarderInfo> aForwarders, Millis aNow);
  /// The forwarder could not forward a call: it is the last choice for a while.
  void OnFailed(const std::string& aAddress, Millis aNow);
  /// The forwarders in the order in which to try them: those that failed lately
  /// last, those of aZone preferred, otherwise by chance. aRandom: from 0 to 1.
  std::vector<std::string> Order(const std::string& aZone,
                                 const std::function<double()>& aRandom,
                                 Millis aNow) const;
  bool Empty() const { return mForwarders.empty(); }
  /// Whether to ask control for forwarders. aUrgent: they are needed now.
  bool IsDue(bool aUrgent, Millis aNow) const;

 private:
  ForwarderListOptions mOptions;
  std::vector<ForwarderInfo> mForwarders;
  std::map<std::string, Millis> mFailedAt;  ///< By address.
  Millis mSetAt = -1;                       ///< -1: never.
};

}  // namespace spindleweir
