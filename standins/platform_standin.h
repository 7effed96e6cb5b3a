/// A stand-in for the platform's list of VMs: serves a JSON file with a delay.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Options of the stand-in.
struct PlatformStandinOptions {
  Endpoint mListen;
  std::string mFile;  ///< {"vms": [...]}; polled for changes.
  Millis mLag = 0;    ///< Age of the served content.
};

/// Serves GET /v1/vms.
class PlatformStandin {
 public:
  PlatformStandin(EventLoop& aLoop, PlatformStandinOptions aOptions);

  const Endpoint& Address() const { return mServer->Address(); }

 private:
  /// Content of the file and the time at which it was first read.
  struct Version {
    Millis mSeenAt;
    std::string mText;
  };

  /// Reads the file and adds a version if its content has changed.
  void ReadList();
  /// Returns the newest content that is at least mLag old.
  const std::string& VisibleList();

  PlatformStandinOptions mOptions;
  std::deque<Version> mVersions;  ///< Oldest first.
  std::unique_ptr<Timer> mTimer;
  std::unique_ptr<HttpServer> mServer;
};

}  // namespace spindleweir
