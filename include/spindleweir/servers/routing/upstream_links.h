/// Which upstreams this router cannot connect to because its own links have
/// failed, not the upstreams: other routers reach them, or no upstream at all
/// can be reached from here.
#pragma once

#include <map>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// When a link counts as lost, and when it is tried again.
struct UpstreamLinksOptions {
  /// A link counts as lost for this time after the last proof.
  Millis mRetention = 3000;
  /// With this many upstreams that could not be reached, and no connection
  /// since, all links count as lost. Two upstreams that fail together may have
  /// a cause of their own.
  std::size_t mLinksToCutOff = 3;
  /// While links are lost, at most one connection is tried in this time.
  Millis mTrialInterval = 250;
};

/// The links of one router. The class only decides; the time is passed to each
/// call.
class UpstreamLinks {
 public:
  explicit UpstreamLinks(UpstreamLinksOptions aOptions = {})
      : mOptions(aOptions) {}

  /// A connection of this router's own to the upstream was made.
  void OnConnected(const std::string& aInstance, Millis aNow);
  /// No connection to the upstream came about.
  void OnFailed(const std::string& aInstance, Millis aNow);
  /// Another router connected to the upstream, to which this one could not.
  void OnForwarded(const std::string& aInstance, Millis aNow);
  void Forget(const std::string& aInstance) { mLinks.erase(aInstance); }

  /// Whether calls to the upstream go by way of another router at once.
  bool IsLost(const std::string& aInstance, Millis aNow) const;
  /// Whether this router has lost its links to all upstreams.
  bool IsCutOff(Millis aNow) const;
  /// Whether to try a connection to an upstream whose link is lost. Counts as a
  /// trial if so.
  bool StartTrial(Millis aNow);

 private:
  /// A link without a connection since its last failure.
  struct Link {
    Millis mFailedAt = -1;     ///< Last failure.
    Millis mForwardedAt = -1;  ///< Last proof that it is lost; -1: none.
  };

  /// Removes what no longer counts.
  void RemoveExpired(Millis aNow);

  UpstreamLinksOptions mOptions;
  std::map<std::string, Link> mLinks;  ///< By instance.
  Millis mConnectedAt = -1;            ///< Last connection; -1: none.
  Millis mTriedAt = -1;                ///< Last trial; -1: none.
};

}  // namespace spindleweir
