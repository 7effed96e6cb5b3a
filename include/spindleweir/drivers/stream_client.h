/// HTTP/1.1 client for requests that are passed on to upstreams. Each call
/// has a connection of its own, so that a surplus answer meets nobody, and
/// tells exactly how it ended.
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
  kComplete,   ///< The whole answer came.
  kNotSent,    ///< No byte of the request left: it did not run.
  kLost,       ///< Sent; the connection was lost before the answer's end.
  kMalformed,  ///< Sent; what came back is not an answer.
};

/// One call.
struct StreamCallOptions {
  Endpoint mServer;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
  Millis mConnectTimeout = 500;
  Millis mTimeout = 0;  ///< From start to end; 0: none.
  /// Who its unsent and unread bytes are held for; nullptr: nobody is told.
  std::shared_ptr<MemoryHold> mMemory;
  /// Asked right before the first byte goes out; false: nothing is sent.
  std::function<bool()> mMaySend;
  std::function<void(const AnswerHead&)> mOnHead;
  std::function<void(std::string_view)> mOnData;
  /// Called exactly once, unless the call is destroyed before.
  std::function<void(StreamEnd)> mOnEnd;
};

/// A call under way; destroying it closes its connection.
class StreamCall {
 public:
  virtual ~StreamCall() = default;
  /// Stops reading, so that the upstream is pushed back, or resumes.
  virtual void Pause(bool aPaused) = 0;
  /// Closes the connection; none of the hooks is called any more.
  virtual void Abandon() = 0;
  /// Whether the request was handed to the connection.
  virtual bool Sent() const = 0;
};

/// Starts a call.
std::unique_ptr<StreamCall> StartStreamCall(EventLoop& aLoop,
                                            StreamCallOptions aOptions);

}  // namespace spindleweir
