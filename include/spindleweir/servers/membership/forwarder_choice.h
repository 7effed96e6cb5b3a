/// Which routers may forward calls for a router that cannot reach upstreams:
/// control offers some to each router, and each router chooses among these.
#pragma once

#include <functional>
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
