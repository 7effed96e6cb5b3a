/// A stand-in plain service, such as kaunter-api: each call that it runs is
/// counted and recorded.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_server.h"
#include "standins/record.h"

namespace spindleweir {

/// How a stand-in service is set up.
struct ServiceStandinOptions {
  std::string mVm;
  Endpoint mListen;
  Millis mDelay = 5;    ///< Between running a call and answering it.
  std::string mRecord;  ///< Path; empty: no record.
};

/// One instance. GET /runs tells how many calls it ran.
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
