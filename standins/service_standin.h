/// A stand-in for a plain service such as kaunter-api: counts and records each
/// call that it runs.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_server.h"
#include "standins/record.h"

namespace spindleweir {

/// Options of a stand-in service.
struct ServiceStandinOptions {
  std::string mVm;
  Endpoint mListen;
  Millis mDelay = 5;    ///< From running a call to its answer.
  std::string mRecord;  ///< Path; empty: writes no record.
};

/// One instance. GET /runs returns the number of calls that it ran.
class ServiceStandin {
 public:
  ServiceStandin(EventLoop& aLoop, ServiceStandinOptions aOptions);

  const Endpoint& Address() const { return mServer->Address(); }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

  EventLoop& mLoop;
  ServiceStandinOptions mOptions;
  Record mRecord;
  int mRuns = 0;
  std::map<int, std::unique_ptr<Timer>> mAnswers;
  std::unique_ptr<HttpServer> mServer;
};

}  // namespace spindleweir
