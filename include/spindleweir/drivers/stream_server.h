/// HTTP/1.1 server for requests that are forwarded: exact framing, unmodified
/// heads, streamed answers, and immediate detection of a caller's disconnect.
/// Based on libevent's bufferevent and http_parser (see http_message.h).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "spindleweir/core/result_code.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_message.h"
#include "spindleweir/drivers/memory_hold.h"

struct evconnlistener;
struct sockaddr;

namespace spindleweir {

class StreamConnection;

/// One complete request and its answer. Held by shared_ptr; after the caller's
/// connection has closed its methods have no effect.
class StreamExchange {
 public:
  StreamExchange(StreamConnection* aConnection, RequestHead aHead,
                 std::string aBody);

  const RequestHead& Head() const { return mHead; }
  const std::string& Body() const { return mBody; }
  Millis ReceivedAt() const { return mReceivedAt; }

  /// Starts the answer. aLength: of the body; none: the body is chunked. An
  /// answer to HEAD or with a status that has no body ends with its head: what
  /// is written to it is dropped.
  void Start(int aStatus, const HttpHeaders& aHeaders,
             std::optional<std::size_t> aLength);
  void Write(std::string_view aBytes);
  /// Completes the answer.
  void End();
  /// Sends a complete answer.
  void Reply(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /// Closes the connection after this answer.
  void CloseAfter() { mHead.mKeepAlive = false; }
  /// Aborts the answer with a reset, so that the caller cannot mistake it for a
  /// complete one.
  void Abort();
  /// Ends the answer early, but lets the caller read all written bytes. Resets
  /// as Abort() does if neither chunks nor a length show that it is truncated.
  void EndTruncated();

  bool Started() const { return mStarted; }
  /// Whether the answer ended or the caller's connection is gone.
  bool Closed() const { return mConnection == nullptr; }
  /// Bytes written that are not yet sent to the caller.
  std::size_t PendingBytes() const;
  /// Whether more of the answer may be written; if not, wait for OnDrained.
  bool MayWriteMore() const;
  /// The memory held for this caller; nullptr if the caller has disconnected or
  /// there is no budget.
  const std::shared_ptr<MemoryHold>& Memory() const { return mMemory; }
  /// Calls aCall once if the connection closes before the answer is complete.
  void OnClosed(std::function<void()> aCall) { mOnClosed = std::move(aCall); }
  /// Calls aCall whenever all written bytes are sent, and when the memory
  /// budget lets a paused answer continue.
  void OnDrained(std::function<void()> aCall) { mOnDrained = std::move(aCall); }

 private:
  friend class StreamConnection;

  StreamConnection* mConnection;
  RequestHead mHead;
  std::string mBody;
  Millis mReceivedAt;
  bool mStarted = false;
  bool mChunked = false;
  bool mHasBody = true;
  std::shared_ptr<MemoryHold> mMemory;
  std::function<void()> mOnClosed;
  std::function<void()> mOnDrained;
};

/// Limits for callers; may be changed while the server runs.
struct StreamServerLimits {
  std::size_t mMaximumHeaderBytes = 16 * 1024;
  std::size_t mMaximumBodyBytes = 4 * 1024 * 1024;
  Millis mHeaderTimeout = 3000;
  Millis mIdleTimeout = 15000;
};

/// Options of a server.
struct StreamServerOptions {
  Endpoint mListen;  ///< Port 0: chosen by the system.
  StreamServerLimits mLimits;
  std::size_t mMaximumConnections = 3000;
  /// Whether to accept a connection that has arrived; one that isn't is closed
  /// unread. Not set: all are accepted.
  std::function<bool()> mMayAccept;
  std::function<void(const std::shared_ptr<StreamExchange>&)> mHandle;
  /// Answers a request that cannot be read, before the connection closes.
  std::function<void(StreamExchange&, ResultCode)> mRefuse;
  /// The budget for memory held for callers; nullptr: none.
  std::shared_ptr<MemoryBudget> mMemory;
  /// Called with the callers evicted by one memory check, and their bytes.
  std::function<void(std::size_t aCallers, std::size_t aBytes)> mOnEvict;
};

/// Listens on one address.
class StreamServer {
 public:
  /// Throws kCannotListen.
  StreamServer(EventLoop& aLoop, StreamServerOptions aOptions);
  ~StreamServer();
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  const Endpoint& Address() const { return mAddress; }
  void SetLimits(const StreamServerLimits& aLimits);
  /// From now on every answer closes its connection.
  void SetClosing() { mClosing = true; }
  /// Closes the connections that wait for a request.
  void CloseIdle();
  /// Accepts all pending connections and none afterwards.
  void StopListening();
  std::size_t Connections() const { return mConnections.size(); }

 private:
  friend class StreamConnection;
  static void HandleAccept(evconnlistener*, int aFd, sockaddr*, int,
                           void* aSelf);
  void Remove(StreamConnection* aConnection);
  /// Checks the memory budget periodically until no connection is waiting.
  void WatchMemory();
  void CheckMemory();
  StreamConnection* ConnectionOf(std::uint64_t aNumber) const;

  EventLoop& mLoop;
  StreamServerOptions mOptions;
  Endpoint mAddress;
  bool mClosing = false;
  evconnlistener* mListener = nullptr;
  std::unordered_map<StreamConnection*, std::shared_ptr<StreamConnection>>
      mConnections;
  std::unordered_map<std::uint64_t, StreamConnection*> mConnectionsByNumber;
  std::unique_ptr<Timer> mMemoryTimer;
};

}  // namespace spindleweir
