#include "tests/platform/soak/soak_caller.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include "tests/platform/soak/soak_upstream.h"

namespace spindleweir {

namespace {

constexpr Millis kReconnectDelay = 50;
constexpr int kMaxThinkTime = 150;
constexpr int kSafeKind = 7;
constexpr int kMinEvents = 10;
constexpr int kMaxEvents = 150;

}  // namespace

SoakCaller::SoakCaller(EventLoop& aLoop, std::string aName,
                       SoakCallerOptions aOptions)
    : mLoop(aLoop), mName(std::move(aName)), mOptions(std::move(aOptions)) {
  ScheduleNext();
}

SoakCaller::~SoakCaller() {
  Disconnect();
}

int SoakCaller::Pick(int aFrom, int aTo) {
  return std::uniform_int_distribution<int>(aFrom, aTo)(*mOptions.mRandom);
}

SoakRequest& SoakCaller::Request() {
  return mOptions.mRecord->At(mId);
}

void SoakCaller::ScheduleNext() {
  if (!mOptions.mMaySend()) {
    Disconnect();
    return;
  }
  mTimer = mLoop.After(Pick(0, kMaxThinkTime), [this] {
    if (mBuffer == nullptr) {
      Connect();
    } else {
      Send();
    }
  });
}

void SoakCaller::Connect() {
  mRouter = &mOptions.mRouters[static_cast<std::size_t>(
      Pick(0, static_cast<int>(mOptions.mRouters.size()) - 1))];
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(mRouter->mAddress.mPort));
  inet_pton(AF_INET, mRouter->mAddress.mHost.c_str(), &address.sin_addr);
  mBuffer = bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  mConnectionRequests = 0;
  bufferevent_setcb(mBuffer, &SoakCaller::HandleRead, nullptr,
                    &SoakCaller::HandleEvent, this);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  bufferevent_socket_connect(mBuffer, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
}

void SoakCaller::Disconnect() {
  if (mBuffer != nullptr) {
    bufferevent_free(mBuffer);
    mBuffer = nullptr;
  }
}

void SoakCaller::Send() {
  mId = mName + "-" + std::to_string(++mSent);
  SoakRequest& request = Request();
  request.mRouter = mRouter->mName;
  request.mReused = mConnectionRequests++ > 0;
  request.mSentAt = WallMicros();
  const int kind = mOptions.mOnlySafe ? kSafeKind : Pick(0, 9);
  request.mStream = kind < 6;
  request.mAtMostOnce = kind >= 8;
  const int events = Pick(kMinEvents, kMaxEvents);
  const std::string target = request.mStream
                                 ? "/stream/" + std::to_string(events)
                             : request.mAtMostOnce ? "/pay/1"
                                                   : "/look/1";
  request.mExpectedBody =
      request.mStream ? SoakEvents(mId, 1, events) : "by " + mId;
  const std::string body = "b" + mId;
  const std::string text =
      "POST " + target +
      " HTTP/1.1\r\nHost: soak.example\r\nSpindleweir-Request-Id: " + mId +
      "\r\nSpindleweir-Deadline-Ms: 20000\r\nAuthorization: Bearer soak-key"
      "\r\nSpindleweir-Token-Count: 10,500\r\nLength-Hint: " +
      std::to_string(3 * events) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  mReader = std::make_unique<HttpMessageReader>(MessageSide::kAnswers);
  bufferevent_write(mBuffer, text.data(), text.size());
  mTimer =
      mLoop.After(mOptions.mStallTimeout, [this] { End(SoakEnd::kTimedOut); });
}

void SoakCaller::HandleRead(bufferevent*, void* aSelf) {
  static_cast<SoakCaller*>(aSelf)->Read();
}

void SoakCaller::Read() {
  evbuffer* buf = bufferevent_get_input(mBuffer);
  while (mReader != nullptr && evbuffer_get_length(buf) > 0) {
    const std::size_t n = evbuffer_get_contiguous_space(buf);
    const char* bytes = reinterpret_cast<const char*>(
        evbuffer_pullup(buf, static_cast<ev_ssize_t>(n)));
    evbuffer_drain(buf, mReader->Read({bytes, n}));
    Request().mBody += mReader->TakeBody();
    if (mReader->State() == ReadState::kComplete) {
      End(SoakEnd::kComplete);
      return;
    }
    mTimer = mLoop.After(mOptions.mStallTimeout,
                         [this] { End(SoakEnd::kTimedOut); });
  }
}

void SoakCaller::HandleEvent(bufferevent*, short aWhat, void* aSelf) {
  auto* self = static_cast<SoakCaller*>(aSelf);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    self->Send();
    return;
  }
  if (self->mReader != nullptr) {
    const bool started = self->mReader->HeadBytes() > 0;
    self->End(started ? SoakEnd::kTruncated : SoakEnd::kNoAnswer);
    return;
  }
  self->Disconnect();
  if (self->mConnectionRequests == 0) {
    self->mTimer =
        self->mLoop.After(kReconnectDelay, [self] { self->ScheduleNext(); });
  }
}

void SoakCaller::End(SoakEnd aEnd) {
  SoakRequest& request = Request();
  request.mEnd = aEnd;
  request.mEndedAt = WallMicros();
  bool keep = aEnd == SoakEnd::kComplete;
  if (mReader->State() != ReadState::kHead) {
    request.mStatus = mReader->Answer().mStatus;
    const std::string* connection =
        FindHeader(mReader->Answer().mHeaders, "Connection");
    keep = keep && (connection == nullptr || *connection != "close");
  }
  mReader.reset();
  // Its stall timer must not find a request that has ended.
  mTimer.reset();
  if (!keep) {
    Disconnect();
  }
  ScheduleNext();
}

}  // namespace spindleweir
