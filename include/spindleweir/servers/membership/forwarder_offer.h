/// Which routers control offers to a router that cannot reach upstreams, to
/// forward its calls.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// A router that forwards calls of others.
struct ForwarderInfo {
  std::string mAddress;  ///< "IP:PORT" for calls to forward.
  std::string mZone;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("address", mAddress);
    aCodec.Required("zone", mZone);
  }

  bool operator==(const ForwarderInfo&) const = default;
};

/// How many routers a control offers.
struct ForwarderOfferOptions {
  std::size_t mLocal = 2;   ///< Of the zone of the router that asks.
  std::size_t mRemote = 4;  ///< Of other zones.
  /// A router that has not polled within this time is not offered.
  Millis mPollWindow = 2500;
};

/// The routers that one control may offer.
class ForwarderOffer {
 public:
  explicit ForwarderOffer(ForwarderOfferOptions aOptions = {})
      : mOptions(aOptions) {}

  /// A router polled. aInfo without an address: it forwards nothing at present.
  void OnPolled(const std::string& aProcess, const ForwarderInfo& aInfo,
                Millis aNow);
  /// The routers offered to a router. Each one gets others, so that the calls
  /// of many spread over all that can forward.
  std::vector<ForwarderInfo> For(const std::string& aProcess,
                                 const std::string& aZone, Millis aNow) const;

 private:
  struct Forwarder {
    ForwarderInfo mInfo;
    Millis mPolledAt = 0;
  };

  ForwarderOfferOptions mOptions;
  std::map<std::string, Forwarder> mForwarders;  ///< By process.
};

}  // namespace spindleweir
