#include "drivers/stream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "drivers/socket_options.h"
#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kUserTimeout = 10000;
constexpr std::size_t kReadAheadBytes = 64 * 1024;
/// A caller that was refused gets this long to read the answer.
constexpr Millis kLingerAfterRefusal = 1000;

}  // namespace

StreamConnection::StreamConnection(StreamServer& aServer, int aFd)
    : mServer(aServer),
      mBuffer(bufferevent_socket_new(
          aServer.mLoop.Base(), aFd,
          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
  SetSocketOptions(aFd, kUserTimeout);
  bufferevent_setcb(mBuffer, &StreamConnection::HandleRead,
                    &StreamConnection::HandleWrite,
                    &StreamConnection::HandleEvent, this);
  bufferevent_setwatermark(mBuffer, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  ArmTimer();
}

StreamConnection::~StreamConnection() {
  Gone();
  bufferevent_free(mBuffer);
}

void StreamConnection::HandleRead(bufferevent*, void* aSelf) {
  static_cast<StreamConnection*>(aSelf)->ReadOn();
}

void StreamConnection::HandleWrite(bufferevent*, void* aSelf) {
  auto* self = static_cast<StreamConnection*>(aSelf);
  if (self->PendingBytes() > 0) {
    // A callback from before the newest write.
    return;
  }
  if (self->mCloseAfter) {
    shutdown(bufferevent_getfd(self->mBuffer), SHUT_WR);
    return;
  }
  const std::shared_ptr<StreamExchange> exchange = self->mExchange;
  if (exchange != nullptr && exchange->mOnDrained) {
    exchange->mOnDrained();
  }
}

void StreamConnection::HandleEvent(bufferevent*, short, void* aSelf) {
  static_cast<StreamConnection*>(aSelf)->Close();
}

bool StreamConnection::Idle() const {
  return mExchange == nullptr && !mBegun;
}

std::size_t StreamConnection::PendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(mBuffer));
}

void StreamConnection::Send(std::string_view aBytes) {
  bufferevent_write(mBuffer, aBytes.data(), aBytes.size());
}

void StreamConnection::Close() {
  const std::shared_ptr<StreamConnection> keep = shared_from_this();
  Gone();
  mServer.Remove(this);
}

void StreamConnection::Reset() {
  const linger option{.l_onoff = 1, .l_linger = 0};
  (void)setsockopt(bufferevent_getfd(mBuffer), SOL_SOCKET, SO_LINGER, &option,
                   sizeof(option));
  Close();
}

void StreamConnection::Gone() {
  const std::shared_ptr<StreamExchange> exchange = std::move(mExchange);
  mExchange = nullptr;
  if (exchange == nullptr) {
    return;
  }
  exchange->mConnection = nullptr;
  const std::function<void()> call = std::move(exchange->mOnClosed);
  exchange->mOnDrained = nullptr;
  if (call) {
    call();
  }
}

void StreamConnection::ReadOn() {
  if (mReading) {
    return;
  }
  const std::shared_ptr<StreamConnection> keep = shared_from_this();
  mReading = true;
  evbuffer* buf = bufferevent_get_input(mBuffer);
  while (mExchange == nullptr && !mCloseAfter && evbuffer_get_length(buf) > 0) {
    const std::size_t n = evbuffer_get_contiguous_space(buf);
    Take({reinterpret_cast<const char*>(
              evbuffer_pullup(buf, static_cast<ev_ssize_t>(n))),
          n});
  }
  if (mCloseAfter) {
    evbuffer_drain(buf, evbuffer_get_length(buf));
  }
  mReading = false;
}

void StreamConnection::Take(std::string_view aBytes) {
  if (mReader == nullptr) {
    mReader = std::make_unique<HttpMessageReader>(MessageSide::kRequests);
    mBody.clear();
  }
  if (!mBegun) {
    mBegun = true;
    ArmTimer();
  }
  const std::size_t n = mReader->Read(aBytes);
  const ReadState state = mReader->State();
  evbuffer_drain(bufferevent_get_input(mBuffer), n);
  const StreamServerLimits& limits = mServer.mOptions.mLimits;
  if (state == ReadState::kBad) {
    Refuse(ResultCode::kMalformedHttp);
    return;
  }
  if (state == ReadState::kHead) {
    if (mReader->HeadBytes() > limits.mMaximumHeaderBytes) {
      Refuse(ResultCode::kHeadTooLarge);
    }
    return;
  }
  mBody += mReader->TakeBody();
  if (mBody.size() > limits.mMaximumBodyBytes) {
    Refuse(ResultCode::kBodyTooLarge);
    return;
  }
  if (state == ReadState::kComplete) {
    Dispatch();
  }
}

void StreamConnection::Dispatch() {
  mTimer.reset();
  RequestHead head = std::move(mReader->Request());
  mReader.reset();
  mExchange =
      std::make_shared<StreamExchange>(this, std::move(head), std::move(mBody));
  mBody.clear();
  const std::shared_ptr<StreamExchange> exchange = mExchange;
  const bool plain =
      exchange->Head().mTarget.starts_with('/') &&
      CountHeader(exchange->Head().mHeaders, "Host") == 1 &&
      CountHeader(exchange->Head().mHeaders, "Authorization") <= 1;
  if (!plain) {
    mServer.mOptions.mRefuse(*exchange, ResultCode::kMalformedHttp);
    return;
  }
  mServer.mOptions.mHandle(exchange);
}

void StreamConnection::Refuse(ResultCode aCode) {
  mTimer.reset();
  mReader.reset();
  mExchange = std::make_shared<StreamExchange>(
      this, RequestHead{.mKeepAlive = false}, std::string());
  const std::shared_ptr<StreamExchange> exchange = mExchange;
  mServer.mOptions.mRefuse(*exchange, aCode);
}

void StreamConnection::FinishExchange(bool aKeep) {
  if (mExchange != nullptr) {
    mExchange->mConnection = nullptr;
    mExchange->mOnClosed = nullptr;
    mExchange->mOnDrained = nullptr;
    mExchange.reset();
  }
  mBegun = false;
  if (!aKeep) {
    mCloseAfter = true;
    // The end of what is written is told; what still comes is read and
    // dropped for a while, since closing at once would reset the answer.
    mTimer = mServer.mLoop.After(kLingerAfterRefusal, [this] { Close(); });
    if (PendingBytes() == 0) {
      shutdown(bufferevent_getfd(mBuffer), SHUT_WR);
    }
    return;
  }
  ArmTimer();
  if (!mReading) {
    // Not from here: the caller of this may still use the exchange.
    const std::weak_ptr<StreamConnection> self = weak_from_this();
    if (evbuffer_get_length(bufferevent_get_input(mBuffer)) > 0) {
      mServer.mLoop.Post([self] {
        if (const auto connection = self.lock()) {
          connection->ReadOn();
        }
      });
    }
  }
}

void StreamConnection::ArmTimer() {
  const StreamServerLimits& limits = mServer.mOptions.mLimits;
  mTimer =
      mServer.mLoop.After(mBegun ? limits.mHeaderTimeout : limits.mIdleTimeout,
                          [this] { Expire(); });
}

void StreamConnection::Expire() {
  const bool inBody =
      mReader != nullptr && mReader->State() == ReadState::kBody;
  if (inBody) {
    // A body may take as long as a connection may rest.
    mTimer = mServer.mLoop.After(mServer.mOptions.mLimits.mIdleTimeout,
                                 [this] { Refuse(ResultCode::kReadTimeout); });
    return;
  }
  if (mBegun) {
    Refuse(ResultCode::kReadTimeout);
    return;
  }
  Close();
}

}  // namespace spindleweir
