/// A stand-in of the platform's list of VMs: serves a JSON file, late.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// How the stand-in is set up.
struct PlatformStandinOptions {
  Endpoint mListen;
  std::string mFile;  ///< {"vms": [...]}; read again when it changes.
  Millis mLag = 0;    ///< How old what it serves is.
};

/// Serves GET /v1/vms.
class PlatformStandin {
 public:
  PlatformStandin(EventLoop& aLoop, PlatformStandinOptions aOptions);

  const Endpoint& Address() const { return mServer->Address(); }

 private:
  /// A content of the file and when it was seen.
  struct Version {
    Millis mSeenAt;
    std::string mText;
  };

  void ReadList();
  const std::string& VisibleList();

  PlatformStandinOptions mOptions;
  std::deque<Version> mVersions;  ///< Oldest first.
  std::unique_ptr<Timer> mTimer;
  std::unique_ptr<HttpServer> mServer;
};

}  // namespace spindleweir
