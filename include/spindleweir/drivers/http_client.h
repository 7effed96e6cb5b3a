/// HTTP client based on evhttp, with pooled connections and streamed answers.
/// Reports exactly whether any byte of a request was sent.
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
  bool mComplete = false;  ///< A complete answer came.
  bool mSent = false;      ///< Some byte of the request was sent.
  int mStatus = 0;         ///< HTTP status; 0 if there is no answer.
  std::string mBody;       ///< The body; empty if it was streamed.
  std::vector<HttpHeader> mHeaders;
  std::int64_t mSentBytes = 0;      ///< Including the head.
  std::int64_t mReceivedBytes = 0;  ///< Including the head.
};

/// Parameters of one call.
struct HttpCallOptions {
  Endpoint mServer;
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mBody;
  std::vector<HttpHeader> mHeaders;
  Millis mTimeout = 2000;       ///< From start to end; 0: none.
  bool mNewConnection = false;  ///< Doesn't use a pooled connection.
  std::size_t mMaximumAnswerBytes = 8 * 1024 * 1024;  ///< Of the body.
  std::size_t mMaximumHeadBytes = 64 * 1024;
  /// If set, receives the body of a 200 answer as it arrives.
  std::function<void(std::string_view)> mOnData;
  /// Called exactly once, unless the call is cancelled.
  std::function<void(const HttpResult&)> mOnDone;
};

/// How new connections to an address fail.
enum class LinkFailure { kNone, kHang, kRefuse };
/// Tests inject failing links.
using LinkFailureHook = std::function<LinkFailure(const Endpoint&)>;

/// A running call; destroying it cancels it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Stops reading, so that back-pressure slows the server, or resumes.
  virtual void Pause(bool aPaused) = 0;
};

/// Starts calls and pools idle connections.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& aLoop, LinkFailureHook aFailureOf = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call that ends when the returned object is destroyed.
  std::unique_ptr<HttpCall> Start(HttpCallOptions aOptions);
  /// Starts a call that runs to its end and cannot be cancelled.
  void StartDetached(HttpCallOptions aOptions);

 private:
  friend class EvhttpCall;
  struct Pool;

  LinkFailure FailureOf(const Endpoint& aServer) const;
  void DestroyEndedCalls();

  EventLoop& mLoop;
  LinkFailureHook mFailureOf;
  std::shared_ptr<Pool> mPool;
  std::map<std::int64_t, std::unique_ptr<HttpCall>> mDetached;
  std::vector<std::int64_t> mEnded;  ///< Detached calls to be destroyed.
  std::int64_t mNextDetached = 1;
  std::unique_ptr<Timer> mDestroyTimer;
};

}  // namespace spindleweir
