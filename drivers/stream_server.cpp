#include "spindleweir/drivers/stream_server.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>

#include "drivers/socket_options.h"
#include "drivers/stream_connection.h"
#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kHexDigits = 16;

const char* ReasonOf(int aStatus) {
  switch (aStatus) {
    case 200:
      return "OK";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string ChunkHead(std::size_t aBytes) {
  std::array<char, kHexDigits> digits{};
  const std::to_chars_result result = std::to_chars(
      digits.data(), digits.data() + digits.size(), aBytes, kHexDigits);
  return std::string(digits.data(), result.ptr) + "\r\n";
}

}  // namespace

StreamExchange::StreamExchange(StreamConnection* aConnection, RequestHead aHead,
                               std::string aBody)
    : mConnection(aConnection),
      mHead(std::move(aHead)),
      mBody(std::move(aBody)),
      mReceivedAt(SteadyNow()),
      mMemory(aConnection->Memory()) {}

void StreamExchange::Start(int aStatus, const HttpHeaders& aHeaders,
                           std::optional<std::size_t> aLength) {
  if (mConnection == nullptr || mStarted) {
    return;
  }
  mStarted = true;
  std::string head =
      "HTTP/1.1 " + std::to_string(aStatus) + " " + ReasonOf(aStatus) + "\r\n";
  for (const HttpHeader& header : aHeaders) {
    head += header.mName + ": " + header.mValue + "\r\n";
  }
  mHasBody = mHead.mMethod != "HEAD" && MayHaveBody(aStatus);
  mChunked = mHasBody && !aLength.has_value() && mHead.mMinor > 0;
  if (aLength.has_value() && MayHaveBody(aStatus)) {
    head += "Content-Length: " + std::to_string(*aLength) + "\r\n";
  } else if (mChunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (mHasBody) {
    // HTTP/1.0 has no chunks: the answer ends with the connection.
    mHead.mKeepAlive = false;
  }
  if (!mHead.mKeepAlive || mConnection->ServerClosing()) {
    mHead.mKeepAlive = false;
    head += "Connection: close\r\n";
  }
  mConnection->Send(head + "\r\n");
}

void StreamExchange::Write(std::string_view aBytes) {
  // After a head that ends its answer, the caller would take these bytes for
  // the next one.
  if (mConnection == nullptr || aBytes.empty() || !mHasBody) {
    return;
  }
  if (!mChunked) {
    mConnection->Send(aBytes);
    return;
  }
  std::string chunk = ChunkHead(aBytes.size());
  chunk += aBytes;
  chunk += "\r\n";
  mConnection->Send(chunk);
}

void StreamExchange::End() {
  if (mConnection == nullptr) {
    return;
  }
  if (mChunked) {
    mConnection->Send("0\r\n\r\n");
  }
  mConnection->FinishExchange(mHead.mKeepAlive);
}

void StreamExchange::Reply(int aStatus, const HttpHeaders& aHeaders,
                           std::string_view aBody) {
  Start(aStatus, aHeaders, aBody.size());
  Write(aBody);
  End();
}

void StreamExchange::Abort() {
  if (mConnection != nullptr) {
    mConnection->Reset();
  }
}

void StreamExchange::EndTruncated() {
  const bool framed = mStarted && mHead.mMinor > 0;
  if (!framed) {
    Abort();
    return;
  }
  if (mConnection != nullptr) {
    mConnection->FinishExchange(false);
  }
}

std::size_t StreamExchange::PendingBytes() const {
  return mConnection == nullptr ? 0 : mConnection->PendingBytes();
}

bool StreamExchange::MayWriteMore() const {
  return mConnection == nullptr || mConnection->MayWriteMore();
}

StreamServer::StreamServer(EventLoop& aLoop, StreamServerOptions aOptions)
    : mLoop(aLoop), mOptions(std::move(aOptions)), mAddress(mOptions.mListen) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(mOptions.mListen.mPort));
  const bool parsed = inet_pton(AF_INET, mOptions.mListen.mHost.c_str(),
                                &address.sin_addr) == 1;
  mListener = parsed ? evconnlistener_new_bind(
                           aLoop.Base(), &StreamServer::HandleAccept, this,
                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
                               LEV_OPT_CLOSE_ON_EXEC,
                           kBacklog, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address))
                     : nullptr;
  if (mListener == nullptr) {
    throw Error(ResultCode::kCannotListen,
                "cannot listen on " + mOptions.mListen.Text());
  }
  if (mOptions.mMemory != nullptr &&
      mOptions.mMemory->Options().mSocketBuffer > 0) {
    // Accepted connections inherit the buffer size.
    SetSocketBuffers(evconnlistener_get_fd(mListener),
                     mOptions.mMemory->Options().mSocketBuffer);
  }
  socklen_t n = sizeof(address);
  if (getsockname(evconnlistener_get_fd(mListener),
                  reinterpret_cast<sockaddr*>(&address), &n) == 0) {
    mAddress.mPort = ntohs(address.sin_port);
  }
}

StreamServer::~StreamServer() {
  mMemoryTimer.reset();
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
  const auto connections = std::move(mConnections);
  mConnections.clear();
}

void StreamServer::HandleAccept(evconnlistener*, int aFd, sockaddr*, int,
                                void* aSelf) {
  auto* self = static_cast<StreamServer*>(aSelf);
  const bool isFull =
      self->mConnections.size() >= self->mOptions.mMaximumConnections;
  if (isFull || (self->mOptions.mMayAccept && !self->mOptions.mMayAccept())) {
    close(aFd);
    return;
  }
  auto connection = std::make_shared<StreamConnection>(*self, aFd);
  self->mConnections[connection.get()] = connection;
}

void StreamServer::SetLimits(const StreamServerLimits& aLimits) {
  mOptions.mLimits = aLimits;
}

void StreamServer::WatchMemory() {
  if (mMemoryTimer == nullptr) {
    mMemoryTimer =
        mLoop.Every(MemoryBudget::kTickInterval, [this] { CheckMemory(); });
  }
}

StreamConnection* StreamServer::ConnectionOf(std::uint64_t aNumber) const {
  const auto it = mConnectionsByNumber.find(aNumber);
  return it == mConnectionsByNumber.end() ? nullptr : it->second;
}

void StreamServer::CheckMemory() {
  MemoryBudget& budget = *mOptions.mMemory;
  const MemoryActions actions = budget.Tick(SteadyNow());
  std::size_t callers = 0;
  std::size_t bytes = 0;
  for (std::uint64_t number : actions.mEvict) {
    StreamConnection* connection = ConnectionOf(number);
    if (connection != nullptr) {
      callers++;
      bytes += budget.BytesHeldFor(number);
      connection->Evict();
    }
  }
  if (callers > 0 && mOptions.mOnEvict) {
    mOptions.mOnEvict(callers, bytes);
  }
  for (std::uint64_t number : actions.mResume) {
    StreamConnection* connection = ConnectionOf(number);
    if (connection != nullptr) {
      connection->ContinueReading();
    }
  }
  if (!budget.NeedsTicks()) {
    // A timer must not be destroyed within its own callback.
    mLoop.Post([timer = std::shared_ptr<Timer>(std::move(mMemoryTimer))] {});
  }
}

void StreamServer::StopListening() {
  if (mListener == nullptr) {
    return;
  }
  // Connections in the backlog would be reset.
  const int listener = evconnlistener_get_fd(mListener);
  int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  while (fd >= 0) {
    HandleAccept(mListener, fd, nullptr, 0, this);
    fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  }
  evconnlistener_free(mListener);
  mListener = nullptr;
}

void StreamServer::CloseIdle() {
  std::vector<std::shared_ptr<StreamConnection>> idle;
  for (const auto& [key, connection] : mConnections) {
    if (connection->Idle()) {
      idle.push_back(connection);
    }
  }
  for (const std::shared_ptr<StreamConnection>& connection : idle) {
    connection->CloseGracefully();
  }
}

void StreamServer::Remove(StreamConnection* aConnection) {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  if (aConnection->Memory() != nullptr) {
    mConnectionsByNumber.erase(aConnection->Memory()->Number());
  }
  // The connection may be on the stack; it is destroyed in the next iteration.
  mLoop.Post([removed = std::move(it->second)] {});
  mConnections.erase(it);
}

}  // namespace spindleweir
