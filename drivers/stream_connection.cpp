#include "drivers/stream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include "drivers/socket_options.h"
#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kUserTimeout = 10000;
constexpr std::size_t kReadAheadBytes = 64 * 1024;
/// A caller that was refused gets this long to read the answer.
constexpr Millis kLingerAfterRefusal = 1000;
/// From a connection to its first request: some round trips, and one lost
/// packet.
constexpr Millis kFirstRequest = 500;

/// The length that a head gives; 0: none, or chunks.
std::size_t LengthOf(const HttpHeaders& aHeaders) {
  const std::string* text = FindHeader(aHeaders, "Content-Length");
  std::size_t length = 0;
  if (text != nullptr) {
    (void)std::from_chars(text->data(), text->data() + text->size(), length);
  }
  return length;
}

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
  OpenMemoryHold();
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  ArmTimer();
}

void StreamConnection::OpenMemoryHold() {
  const std::shared_ptr<MemoryBudget>& account = mServer.mOptions.mMemory;
  if (account == nullptr) {
    return;
  }
  mMemory = std::make_shared<MemoryHold>(account);
  mServer.mConnectionsByNumber[mMemory->Number()] = this;
  // Only with these callbacks is what a caller takes bit by bit seen.
  evbuffer_add_cb(bufferevent_get_output(mBuffer),
                  &StreamConnection::HandleTaken, this);
  if (!account->Bounded()) {
    return;
  }
  bufferevent_setwatermark(
      mBuffer, EV_READ, 0,
      std::min(kReadAheadBytes, account->Options().mMinPerRequest));
  evbuffer_add_cb(bufferevent_get_input(mBuffer),
                  &StreamConnection::HandleArrived, this);
}

void StreamConnection::HandleTaken(evbuffer* aBuffer,
                                   const evbuffer_cb_info* aInfo, void* aSelf) {
  auto* self = static_cast<StreamConnection*>(aSelf);
  self->mMemory->SetHeld(BufferKind::kUnread, evbuffer_get_length(aBuffer));
  if (aInfo->n_deleted > 0) {
    self->mMemory->RecordProgress(aInfo->n_deleted);
  }
}

void StreamConnection::HandleArrived(evbuffer*, const evbuffer_cb_info* aInfo,
                                     void* aSelf) {
  auto* self = static_cast<StreamConnection*>(aSelf);
  self->UpdateReadingBytes();
  if (aInfo->n_added > 0 && self->mExchange == nullptr) {
    self->mMemory->RecordProgress(aInfo->n_added);
  }
}

void StreamConnection::UpdateReadingBytes() {
  if (mMemory == nullptr) {
    return;
  }
  const std::size_t head = mReader == nullptr ? 0 : mReader->HeadBytes();
  mMemory->SetHeld(BufferKind::kReading,
                   evbuffer_get_length(bufferevent_get_input(mBuffer)) + head +
                       mBody.size());
}

bool StreamConnection::MayWriteMore() {
  if (mMemory == nullptr) {
    return PendingBytes() <= MemoryBudgetOptions().mMaxUnread;
  }
  const bool may = mMemory->MayReadMore();
  if (!may && mMemory->Budget().Bounded()) {
    mServer.WatchMemory();
  }
  return may;
}

void StreamConnection::PauseIfFull() {
  const bool full = mMemory != nullptr && mExchange == nullptr && !mPaused &&
                    mMemory->Budget().Bounded() && !mMemory->MayReadMore();
  if (!full) {
    return;
  }
  mPaused = true;
  bufferevent_disable(mBuffer, EV_READ);
  mServer.WatchMemory();
}

void StreamConnection::ContinueReading() {
  if (mPaused) {
    mPaused = false;
    bufferevent_enable(mBuffer, EV_READ);
    ReadInput();
    return;
  }
  const std::shared_ptr<StreamExchange> exchange = mExchange;
  if (exchange != nullptr && exchange->mOnDrained) {
    // The receiver may end the exchange, and with it the hook.
    const std::function<void()> call = exchange->mOnDrained;
    call();
  }
}

void StreamConnection::Evict() {
  const std::shared_ptr<StreamConnection> keep = shared_from_this();
  const bool unanswered = mExchange == nullptr && mRequestBegun && !mCloseAfter;
  if (!unanswered) {
    Reset();
    return;
  }
  if (mPaused) {
    mPaused = false;
    bufferevent_enable(mBuffer, EV_READ);
  }
  mBody = std::string();
  Refuse(ResultCode::kMemoryFull);
  ReadInput();
}

bool StreamConnection::BeginRequest() {
  mRequestBegun = true;
  mRequestSeen = true;
  mBodyChecked = false;
  ArmTimer();
  if (mMemory == nullptr) {
    return true;
  }
  if (!mMemory->Budget().CanAdmit(mMemory->Number(), 0)) {
    Refuse(ResultCode::kMemoryFull);
    return false;
  }
  mMemory->SetEvictionClass(EvictionClass::kReading);
  return true;
}

bool StreamConnection::HasRoomForBody() {
  if (mMemory == nullptr || mBodyChecked) {
    return true;
  }
  mBodyChecked = true;
  // It is held once for attempts and once on its way to an upstream.
  constexpr std::size_t kTimes = 2;
  // What is larger than allowed is refused for that.
  const std::size_t length =
      std::min(LengthOf(mReader->Request().mHeaders),
               mServer.mOptions.mLimits.mMaximumBodyBytes);
  return mMemory->Budget().Reserve(mMemory->Number(), kTimes * length);
}

StreamConnection::~StreamConnection() {
  DetachExchange();
  bufferevent_free(mBuffer);
}

void StreamConnection::HandleRead(bufferevent*, void* aSelf) {
  static_cast<StreamConnection*>(aSelf)->ReadInput();
}

void StreamConnection::HandleWrite(bufferevent*, void* aSelf) {
  auto* self = static_cast<StreamConnection*>(aSelf);
  if (self->PendingBytes() > 0) {
    // A callback from before the newest write.
    return;
  }
  if (self->mMemory != nullptr && self->mExchange == nullptr &&
      !self->mRequestBegun) {
    self->mMemory->SetEvictionClass(EvictionClass::kIdle);
  }
  if (self->mCloseAfter) {
    self->Linger();
    return;
  }
  const std::shared_ptr<StreamExchange> exchange = self->mExchange;
  if (exchange != nullptr && exchange->mOnDrained) {
    // The receiver may end the exchange, and with it the hook.
    const std::function<void()> call = exchange->mOnDrained;
    call();
  }
}

void StreamConnection::HandleEvent(bufferevent*, short, void* aSelf) {
  static_cast<StreamConnection*>(aSelf)->Close();
}

bool StreamConnection::Idle() const {
  const bool waits = mExchange == nullptr && !mRequestBegun && !mCloseAfter;
  // Who has just connected is about to ask.
  const bool fresh = !mRequestSeen && SteadyNow() - mAcceptedAt < kFirstRequest;
  return waits && !fresh && PendingBytes() == 0 && !HasArrived();
}

bool StreamConnection::HasArrived() const {
  // What the loop has not read yet stands in the socket, what was read and not
  // parsed in the buffer. Closed with either, the connection would be reset,
  // and with it what its caller has not read of the answer before.
  int n = 0;
  const bool inSocket =
      ioctl(bufferevent_getfd(mBuffer), FIONREAD, &n) == 0 && n > 0;
  return inSocket || evbuffer_get_length(bufferevent_get_input(mBuffer)) > 0;
}

void StreamConnection::CloseGracefully() {
  mCloseAfter = true;
  Linger();
}

std::size_t StreamConnection::PendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(mBuffer));
}

void StreamConnection::Send(std::string_view aBytes) {
  bufferevent_write(mBuffer, aBytes.data(), aBytes.size());
}

void StreamConnection::Close() {
  const std::shared_ptr<StreamConnection> keep = shared_from_this();
  // It is on the loop for another turn, in which it must take no request, and
  // after which its server may be gone.
  mCloseAfter = true;
  bufferevent_setcb(mBuffer, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(mBuffer, EV_READ | EV_WRITE);
  DetachExchange();
  mServer.Remove(this);
}

void StreamConnection::Reset() {
  const linger option{.l_onoff = 1, .l_linger = 0};
  (void)setsockopt(bufferevent_getfd(mBuffer), SOL_SOCKET, SO_LINGER, &option,
                   sizeof(option));
  Close();
}

void StreamConnection::DetachExchange() {
  const std::shared_ptr<StreamExchange> exchange = std::move(mExchange);
  mExchange = nullptr;
  if (exchange == nullptr) {
    return;
  }
  exchange->mConnection = nullptr;
  exchange->mMemory = nullptr;
  const std::function<void()> call = std::move(exchange->mOnClosed);
  exchange->mOnDrained = nullptr;
  if (call) {
    call();
  }
}

void StreamConnection::ReadInput() {
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
  UpdateReadingBytes();
  PauseIfFull();
}

void StreamConnection::Take(std::string_view aBytes) {
  if (mReader == nullptr) {
    mReader = std::make_unique<HttpMessageReader>(MessageSide::kRequests);
    mBody.clear();
  }
  if (!mRequestBegun && !BeginRequest()) {
    return;
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
  if (!HasRoomForBody()) {
    Refuse(ResultCode::kMemoryFull);
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

bool StreamConnection::HasRoomForAnswer() {
  if (mMemory == nullptr) {
    return true;
  }
  MemoryBudget& account = mMemory->Budget();
  if (!account.HasDescriptorForCall() ||
      !account.CanAdmit(mMemory->Number(), 0)) {
    return false;
  }
  mMemory->SetEvictionClass(EvictionClass::kNotSent);
  if (account.NeedsTicks()) {
    mServer.WatchMemory();
  }
  return true;
}

void StreamConnection::Dispatch() {
  mTimer.reset();
  RequestHead head = std::move(mReader->Request());
  mReader.reset();
  mExchange =
      std::make_shared<StreamExchange>(this, std::move(head), std::move(mBody));
  mBody = std::string();
  const std::shared_ptr<StreamExchange> exchange = mExchange;
  UpdateReadingBytes();
  if (mMemory != nullptr) {
    mMemory->SetHeld(BufferKind::kBody, exchange->Body().size());
  }
  const bool plain =
      exchange->Head().mTarget.starts_with('/') &&
      CountHeader(exchange->Head().mHeaders, "Host") == 1 &&
      CountHeader(exchange->Head().mHeaders, "Authorization") <= 1;
  if (!plain) {
    mServer.mOptions.mRefuse(*exchange, ResultCode::kMalformedHttp);
    return;
  }
  if (!HasRoomForAnswer()) {
    exchange->CloseAfter();
    mServer.mOptions.mRefuse(*exchange, ResultCode::kMemoryFull);
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
    mExchange->mMemory = nullptr;
    mExchange.reset();
  }
  ReleaseExchangeMemory();
  mRequestBegun = false;
  if (!aKeep) {
    mCloseAfter = true;
    if (PendingBytes() == 0) {
      Linger();
    } else {
      WaitForReader();
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
          connection->ReadInput();
        }
      });
    }
  }
}

void StreamConnection::Linger() {
  // The end of what is written is told; what still comes is read and dropped
  // for a while, since closing at once would reset the answer.
  shutdown(bufferevent_getfd(mBuffer), SHUT_WR);
  mTimer = mServer.mLoop.After(kLingerAfterRefusal, [this] { Close(); });
}

void StreamConnection::WaitForReader() {
  // A slow caller gets its whole answer as long as it takes any of it.
  mTimer = mServer.mLoop.After(mServer.mOptions.mLimits.mIdleTimeout,
                               [this, before = PendingBytes()] {
                                 if (PendingBytes() == 0) {
                                   Close();
                                   return;
                                 }
                                 if (PendingBytes() < before) {
                                   WaitForReader();
                                   return;
                                 }
                                 Reset();
                               });
}

void StreamConnection::ReleaseExchangeMemory() {
  if (mMemory == nullptr) {
    return;
  }
  mMemory->SetHeld(BufferKind::kBody, 0);
  mMemory->SetHeld(BufferKind::kPartial, 0);
  UpdateReadingBytes();
  // What is not read yet keeps the claim of its call.
  if (PendingBytes() == 0) {
    mMemory->SetEvictionClass(EvictionClass::kIdle);
  }
}

void StreamConnection::ArmTimer() {
  const StreamServerLimits& limits = mServer.mOptions.mLimits;
  mTimer = mServer.mLoop.After(
      mRequestBegun ? limits.mHeaderTimeout : limits.mIdleTimeout,
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
  if (mRequestBegun) {
    Refuse(ResultCode::kReadTimeout);
    return;
  }
  if (PendingBytes() > 0) {
    WaitForReader();
    return;
  }
  Close();
}

}  // namespace spindleweir
