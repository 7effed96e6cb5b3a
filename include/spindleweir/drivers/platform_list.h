/// The adapter to the platform's list of VMs. The list lags: it is only a hint.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "spindleweir/drivers/http_client.h"

namespace spindleweir {

/// One VM in the list.
struct PlatformVm {
  std::string mVm;
  std::string mZone;
  std::string mService;  ///< The plain service it runs; empty for an engine.
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

/// The platform's answer.
struct PlatformAnswer {
  std::vector<PlatformVm> mVms;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("vms", mVms);
  }
};

/// Fetches the list once; passes nullptr to aDone if that fails.
void ReadPlatformList(HttpClient& aClient, const Endpoint& aPlatform,
                      std::function<void(const PlatformAnswer*)> aDone);

}  // namespace spindleweir
