/// HTTP/1.1 client for requests forwarded to upstreams. Each call has its own
/// connection, so that surplus answers cannot reach another call, and reports
/// exactly how it ended.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_message.h"
#include "spindleweir/drivers/memory_hold.h"

namespace spindleweir {

/// How a call ended.
enum class StreamEnd {
  kComplete,   ///< The complete answer came.
  kNotSent,    ///< No byte was sent: the request did not run.
  kLost,       ///< Sent; connection lost before the answer's end.
  kMalformed,  ///< Sent; the received bytes are not an HTTP answer.
};

/// Parameters of one call.
struct StreamCallOptions {
  Endpoint mServer;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
  /// The body in place of mBody, valid until the request was sent; so that
  /// several calls may share one.
  std::string_view mSharedBody;
  Millis mConnectTimeout = 500;
  Millis mTimeout = 0;  ///< From start to end; 0: none.
  /// Accounts for its unsent and unread bytes; nullptr: not accounted for.
  std::shared_ptr<MemoryHold> mMemory;
  /// Called right before the first byte is sent; false: nothing is sent.
  std::function<bool()> mMaySend;
  /// Called before mOnEnd if the connection was refused or reset before it
  /// came about: something answered at the address, or its network did.
  std::function<void()> mOnRefused;
  std::function<void(const AnswerHead&)> mOnHead;
  std::function<void(std::string_view)> mOnData;
  /// Called exactly once, unless the call is destroyed earlier.
  std::function<void(StreamEnd)> mOnEnd;
};

/// A running call; destroying it closes its connection.
class StreamCall {
 public:
  virtual ~StreamCall() = default;
  /// Stops reading, so that back-pressure slows the upstream, or resumes.
  virtual void Pause(bool aPaused) = 0;
  /// Closes the connection; no hook is called afterwards.
  virtual void Abandon() = 0;
  /// Whether the request was written to the connection.
  virtual bool Sent() const = 0;
};

/// Starts a call.
std::unique_ptr<StreamCall> StartStreamCall(EventLoop& aLoop,
                                            StreamCallOptions aOptions);

/// Starts calls as StartStreamCall does.
using StartCallHook = std::function<std::unique_ptr<StreamCall>(
    EventLoop& aLoop, StreamCallOptions aOptions)>;

}  // namespace spindleweir
