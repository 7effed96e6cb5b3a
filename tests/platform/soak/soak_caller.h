/// A caller of a soak that reuses its connection until the router closes it.
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

/// A router under its name in the fault script.
struct SoakRouter {
  std::string mName;
  Endpoint mAddress;
};

struct SoakCallerOptions {
  std::vector<SoakRouter> mRouters;
  SoakRecord* mRecord = nullptr;
  std::mt19937* mRandom = nullptr;
  /// Returns whether further requests may be sent.
  std::function<bool()> mMaySend;
  bool mOnlySafe = false;  ///< Sends only plain requests that may be repeated.
  /// Ends a request without an answer. Longer than any process of a soak is
  /// suspended.
  Millis mStallTimeout = 6000;
};

/// Sends requests one after the other until the end of the soak.
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
  std::unique_ptr<HttpMessageReader> mReader;  ///< Set while an answer is due.
  std::string mId;
  int mSent = 0;
  int mConnectionRequests = 0;  ///< Requests sent on this connection.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
