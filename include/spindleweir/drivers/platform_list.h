/// The adapter to the platform's list of VMs. It lags, so that it is a hint.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "spindleweir/drivers/http_client.h"

namespace spindleweir {

/// One VM of the list.
struct PlatformVm {
  std::string mVm;
  std::string mZone;
  std::string mService;  ///< The plain service it runs; empty: an engine.
  std::string mAddress;  ///< "ip:port".
  bool mLeaving = false;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("vm", mVm);
    aCodec.Required("zone", mZone);
    aCodec.Field("service", mService);
    aCodec.Required("address", mAddress);
    aCodec.Field("leaving", mLeaving);
  }
};

/// The whole answer of the platform.
struct PlatformAnswer {
  std::vector<PlatformVm> mVms;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("vms", mVms);
  }
};

/// Reads the list once; nullptr where it cannot be had.
void ReadPlatformList(HttpClient& aClient, const Endpoint& aPlatform,
                      std::function<void(const PlatformAnswer*)> aDone);

}  // namespace spindleweir
