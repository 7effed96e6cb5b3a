/// A caller of a soak that keeps its connection until the other end closes it.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_message.h"
#include "tests/platform/soak/soak_record.h"

struct bufferevent;

namespace spindleweir {

/// A router by the name that the fault script knows it by.
struct SoakRouter {
  std::string mName;
  Endpoint mAddress;
};

struct SoakCallerOptions {
  std::vector<SoakRouter> mRouters;
  SoakRecord* mRecord = nullptr;
  std::mt19937* mRandom = nullptr;
  /// Whether new requests are still to be sent.
  std::function<bool()> mMaySend;
};

/// Sends one request after the other, to the end of the soak.
class SoakCaller {
 public:
  SoakCaller(EventLoop& aLoop, std::string aName, SoakCallerOptions aOptions);
  ~SoakCaller();
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

  bool Busy() const { return mReader != nullptr; }

 private:
  static void HandleRead(bufferevent*, void* aSelf);
  static void HandleEvent(bufferevent*, short aWhat, void* aSelf);
  int Pick(int aFrom, int aTo);
  void ScheduleNext();
  void Connect();
  void Disconnect();
  void Send();
  void Read();
  void End(SoakEnd aEnd);
  SoakRequest& Request();

  EventLoop& mLoop;
  std::string mName;
  SoakCallerOptions mOptions;
  const SoakRouter* mRouter = nullptr;
  bufferevent* mBuffer = nullptr;
  std::unique_ptr<HttpMessageReader> mReader;  ///< Of an answer that is due.
  std::string mId;
  int mSent = 0;
  int mConnectionRequests = 0;  ///< Requests sent on this connection.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
