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

constexpr int kUserTimeoutMillis = 10000;
constexpr std::size_t kReadAheadBytes = 64 * 1024;
/// Time for a caller to read the answer before the connection is closed.
constexpr Millis kLingerTimeout = 1000;
/// From accepting a connection to its first request: some round trips and one
/// lost packet.
constexpr Millis kFirstRequestTimeout = 500;

/// The Content-Length of a head; 0 if it has none.
std::size_t ContentLengthOf(const HttpHeaders& aHeaders) {
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
  SetSocketOptions(aFd, kUserTimeoutMillis);
  bufferevent_setcb(mBuffer, &StreamConnection::HandleRead,
                    &StreamConnection::HandleWrite,
                    &StreamConnection::HandleEvent, this);
  bufferevent_setwatermark(mBuffer, EV_READ, 0, kReadAheadBytes);
  OpenMemoryHold();
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  ArmTimer();
}

void StreamConnection::OpenMemoryHold() {
  const std::shared_ptr<MemoryBudget>& budget = mServer.mOptions.mMemory;
  if (budget == nullptr) {
    return;
  }
  mMemory = std::make_shared<MemoryHold>(budget);
  mServer.mConnectionsByNumber[mMemory->Number()] = this;
  // These callbacks also report partial writes to the caller.
  evbuffer_add_cb(bufferevent_get_output(mBuffer),
                  &StreamConnection::HandleSent, this);
  if (!budget->Bounded()) {
    return;
  }
  bufferevent_setwatermark(
      mBuffer, EV_READ, 0,
      std::min(kReadAheadBytes, budget->Options().mMinPerRequest));
  evbuffer_add_cb(bufferevent_get_input(mBuffer),
                  &StreamConnection::HandleArrived, this);
}

void StreamConnection::HandleSent(evbuffer* aBuffer,
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

bool StreamConnection::ReserveBody() {
  if (mMemory == nullptr || mBodyChecked) {
    return true;
  }
  mBodyChecked = true;
  // The body is stored once for retries and once while sent to an upstream.
  constexpr std::size_t kCopies = 2;
  // Larger bodies are refused as kBodyTooLarge.
  const std::size_t length =
      std::min(ContentLengthOf(mReader->Request().mHeaders),
               mServer.mOptions.mLimits.mMaximumBodyBytes);
  return mMemory->Budget().Reserve(mMemory->Number(), kCopies * length);
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
    // The callback belongs to an earlier write.
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
  const bool waiting = mExchange == nullptr && !mRequestBegun && !mCloseAfter;
  // A newly accepted caller is about to send its first request.
  const bool newlyAccepted =
      !mRequestSeen && SteadyNow() - mAcceptedAt < kFirstRequestTimeout;
  return waiting && !newlyAccepted && PendingBytes() == 0 && !HasArrived();
}

bool StreamConnection::HasArrived() const {
  // Bytes may be unread in the socket or unparsed in the buffer. Closing with
  // either would reset the connection, and the caller would lose the unread
  // part of the previous answer.
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
  // The connection exists for another iteration of the loop, in which it must
  // not accept a request; the server may be destroyed afterwards.
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
    Parse({reinterpret_cast<const char*>(
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

void StreamConnection::Parse(std::string_view aBytes) {
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
    Refuse(mReader->IsOtherVersion() ? ResultCode::kHttpVersion
                                     : ResultCode::kMalformedHttp);
    return;
  }
  if (state == ReadState::kHead) {
    if (mReader->HeadBytes() > limits.mMaximumHeaderBytes) {
      Refuse(ResultCode::kHeadTooLarge);
    }
    return;
  }
  if (!ReserveBody()) {
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

bool StreamConnection::AdmitCall() {
  if (mMemory == nullptr) {
    return true;
  }
  MemoryBudget& budget = mMemory->Budget();
  if (!budget.HasDescriptorForCall() ||
      !budget.CanAdmit(mMemory->Number(), 0)) {
    return false;
  }
  mMemory->SetEvictionClass(EvictionClass::kNotSent);
  if (budget.NeedsTicks()) {
    mServer.WatchMemory();
  }
  return true;
}

void StreamConnection::Dispatch() {
  mTimer.reset();
  RequestHead head = std::move(mReader->Request());
  const bool hasPath = ResolveTarget(head);
  mReader.reset();
  mExchange =
      std::make_shared<StreamExchange>(this, std::move(head), std::move(mBody));
  mBody = std::string();
  const std::shared_ptr<StreamExchange> exchange = mExchange;
  UpdateReadingBytes();
  if (mMemory != nullptr) {
    mMemory->SetHeld(BufferKind::kBody, exchange->Body().size());
  }
  const bool valid =
      hasPath && CountHeader(exchange->Head().mHeaders, "Host") == 1 &&
      CountHeader(exchange->Head().mHeaders, "Authorization") <= 1;
  if (!valid) {
    mServer.mOptions.mRefuse(*exchange, ResultCode::kMalformedHttp);
    return;
  }
  if (!AdmitCall()) {
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
    // Posted, since the caller of this function may still use the exchange.
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
  // Shuts down sending, then reads and drops input for a while, since closing
  // at once would reset the answer.
  shutdown(bufferevent_getfd(mBuffer), SHUT_WR);
  mTimer = mServer.mLoop.After(kLingerTimeout, [this] { Close(); });
}

void StreamConnection::WaitForReader() {
  // A slow caller gets its complete answer as long as it goes on reading.
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
  // Unsent bytes keep the eviction class of their call.
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
    // A body may take the idle timeout in addition.
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
