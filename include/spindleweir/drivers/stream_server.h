/// HTTP/1.1 server for requests that are passed on: exact framing, heads as
/// they came, answers written as they arrive, and a caller's close seen at
/// once. Over libevent's bufferevent and http_parser (see http_message.h).
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

/// One whole request and the answer to it. Held by shared_ptr; once the
/// caller's connection is gone its calls do nothing.
class StreamExchange {
 public:
  StreamExchange(StreamConnection* aConnection, RequestHead aHead,
                 std::string aBody);

  const RequestHead& Head() const { return mHead; }
  const std::string& Body() const { return mBody; }
  Millis ReceivedAt() const { return mReceivedAt; }

  /// Begins the answer. aLength: of the body; none: it goes out in chunks.
  void Start(int aStatus, const HttpHeaders& aHeaders,
             std::optional<std::size_t> aLength);
  void Write(std::string_view aBytes);
  /// Ends the answer in order.
  void End();
  /// Sends a whole answer.
  void Reply(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /// The connection closes after this answer.
  void CloseAfter() { mHead.mKeepAlive = false; }
  /// Breaks the answer off with a reset, so that it cannot be taken for
  /// complete.
  void Abort();
  /// The same, but its caller reads all that was written, where chunks or a
  /// length tell that more was due.
  void EndTruncated();

  bool Started() const { return mStarted; }
  /// Whether the answer ended or the caller's connection is gone.
  bool Closed() const { return mConnection == nullptr; }
  /// Bytes written that the caller has not taken.
  std::size_t PendingBytes() const;
  /// Whether more of the answer may be brought; if not, OnDrained tells when.
  bool MayWriteMore() const;
  /// What the process holds for this caller; nullptr: the caller is gone, or
  /// nothing is accounted.
  const std::shared_ptr<MemoryHold>& Memory() const { return mMemory; }
  /// Called once when the caller's connection closes before the end.
  void OnClosed(std::function<void()> aCall) { mOnClosed = std::move(aCall); }
  /// Called each time the caller has taken all that was written, and when an
  /// account of memory lets a caller that waited bring more.
  void OnDrained(std::function<void()> aCall) { mOnDrained = std::move(aCall); }

 private:
  friend class StreamConnection;

  StreamConnection* mConnection;
  RequestHead mHead;
  std::string mBody;
  Millis mReceivedAt;
  bool mStarted = false;
  bool mChunked = false;
  std::shared_ptr<MemoryHold> mMemory;
  std::function<void()> mOnClosed;
  std::function<void()> mOnDrained;
};

/// What callers may send; may change while the server runs.
struct StreamServerLimits {
  std::size_t mMaximumHeaderBytes = 16 * 1024;
  std::size_t mMaximumBodyBytes = 4 * 1024 * 1024;
  Millis mHeaderTimeout = 3000;
  Millis mIdleTimeout = 15000;
};

/// How a server listens.
struct StreamServerOptions {
  Endpoint mListen;  ///< Port 0: chosen by the system.
  StreamServerLimits mLimits;
  std::size_t mMaximumConnections = 3000;
  std::function<void(const std::shared_ptr<StreamExchange>&)> mHandle;
  /// Answers a request that cannot be read, before the connection closes.
  std::function<void(StreamExchange&, ResultCode)> mRefuse;
  /// Of what is held for callers; nullptr: none.
  std::shared_ptr<MemoryBudget> mMemory;
  /// Callers that were ended for their memory in one look, and their bytes.
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
  /// Takes who has connected until now, and nobody from then on.
  void StopListening();
  std::size_t Connections() const { return mConnections.size(); }

 private:
  friend class StreamConnection;
  static void HandleAccept(evconnlistener*, int aFd, sockaddr*, int,
                           void* aSelf);
  void Remove(StreamConnection* aConnection);
  /// Looks at the account until nobody waits any more.
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
