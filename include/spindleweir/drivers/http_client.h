/// HTTP client over evhttp: pooled connections, streamed answers, and exact
/// knowledge of whether a byte reached the server.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// How a call ended.
struct HttpResult {
  bool mComplete = false;  ///< A whole answer came.
  bool mSent = false;      ///< A byte of the request left this process.
  int mStatus = 0;         ///< HTTP status; 0 where none came.
  std::string mBody;       ///< The body; empty where it was streamed.
  std::vector<HttpHeader> mHeaders;
  std::int64_t mSentBytes = 0;      ///< That left this process, with the head.
  std::int64_t mReceivedBytes = 0;  ///< That came, with the head.
};

/// One call.
struct HttpCallOptions {
  Endpoint mServer;
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mBody;
  std::vector<HttpHeader> mHeaders;
  Millis mTimeout = 2000;       ///< From start to end; 0: none.
  bool mNewConnection = false;  ///< Uses a new connection, never a pooled one.
  std::size_t mMaximumAnswerBytes = 8 * 1024 * 1024;
  /// Where set, takes the body of a 200 answer as it comes.
  std::function<void(std::string_view)> mOnData;
  /// Called exactly once, unless the call is cancelled.
  std::function<void(const HttpResult&)> mOnDone;
};

/// A call under way; destroying it cancels it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Stops reading from the server, so that it is pushed back, or resumes.
  virtual void Pause(bool aPaused) = 0;
};

/// Starts calls and keeps idle connections.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call that ends when the returned object is destroyed.
  std::unique_ptr<HttpCall> Start(HttpCallOptions aOptions);
  /// Starts a call that nobody cancels.
  void StartDetached(HttpCallOptions aOptions);

 private:
  friend class EvhttpCall;
  struct Pool;

  void DestroyEndedCalls();

  EventLoop& mLoop;
  std::shared_ptr<Pool> mPool;
  std::map<std::int64_t, std::unique_ptr<HttpCall>> mDetached;
  std::vector<std::int64_t> mEnded;  ///< Detached calls to be destroyed.
  std::int64_t mNextDetached = 1;
  std::unique_ptr<Timer> mDestroyTimer;
};

}  // namespace spindleweir
