#include "spindleweir/drivers/stream_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "drivers/socket_options.h"

namespace spindleweir {

namespace {

constexpr int kUserTimeoutMillis = 4000;

/// A call on a bufferevent. *mAlive turns false when the call is abandoned, so
/// that its running callbacks stop.
class BufferCall : public StreamCall {
 public:
  BufferCall(EventLoop& aLoop, StreamCallOptions aOptions)
      : mLoop(aLoop),
        mOptions(std::move(aOptions)),
        mReader(MessageSide::kAnswers),
        mAlive(std::make_shared<bool>(true)) {
    if (mOptions.mMethod == "HEAD") {
      mReader.ExpectNoBody();
    }
  }

  ~BufferCall() override { BufferCall::Abandon(); }
  BufferCall(const BufferCall&) = delete;
  BufferCall& operator=(const BufferCall&) = delete;

  void Begin() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(mOptions.mServer.mPort));
    if (inet_pton(AF_INET, mOptions.mServer.mHost.c_str(), &address.sin_addr) !=
        1) {
      FinishLater(StreamEnd::kNotSent);
      return;
    }
    mBuffer = bufferevent_socket_new(
        mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    CountCall(1);
    bufferevent_setcb(mBuffer, &BufferCall::HandleRead, nullptr,
                      &BufferCall::HandleEvent, this);
    const bool bounded =
        mOptions.mMemory != nullptr && mOptions.mMemory->Budget().Bounded();
    if (!LimitSocketBuffers(address)) {
      FinishLater(StreamEnd::kNotSent);
      return;
    }
    if (bounded) {
      SetHeld(BufferKind::kUnsent, Body().size());
      evbuffer_add_cb(bufferevent_get_output(mBuffer), &BufferCall::HandleSent,
                      this);
    }
    if (bufferevent_socket_connect(mBuffer,
                                   reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address)) != 0) {
      FinishLater(StreamEnd::kNotSent);
      return;
    }
    // In running time: after a stall the timers fire before the connections and
    // answers that came meanwhile are noticed.
    mConnectTimer = mLoop.AfterRunning(mOptions.mConnectTimeout,
                                       [this] { Finish(StreamEnd::kNotSent); });
    if (mOptions.mTimeout > 0) {
      mTimer = mLoop.AfterRunning(mOptions.mTimeout, [this] {
        Finish(mSent ? StreamEnd::kLost : StreamEnd::kNotSent);
      });
    }
  }

  void Pause(bool aPaused) override {
    if (mBuffer == nullptr || aPaused == mPaused) {
      return;
    }
    mPaused = aPaused;
    UpdateArrivedBytes();
    if (aPaused) {
      bufferevent_disable(mBuffer, EV_READ);
    } else {
      bufferevent_enable(mBuffer, EV_READ);
    }
  }

  bool Sent() const override { return mSent; }

  void Abandon() override {
    *mAlive = false;
    CloseConnection();
  }

 private:
  static void HandleSent(evbuffer* aBuffer, const evbuffer_cb_info*,
                         void* aSelf) {
    static_cast<BufferCall*>(aSelf)->SetHeld(BufferKind::kUnsent,
                                             evbuffer_get_length(aBuffer));
  }

  /// Gives the connection a socket with limited kernel buffers.
  bool LimitSocketBuffers(const sockaddr_in& aAddress) {
    const std::size_t socketBuffer =
        mOptions.mMemory == nullptr
            ? 0
            : mOptions.mMemory->Budget().Options().mSocketBuffer;
    if (socketBuffer == 0) {
      return true;
    }
    const int fd = socket(aAddress.sin_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      return false;
    }
    SetSocketBuffers(fd, socketBuffer);
    return bufferevent_setfd(mBuffer, fd) == 0;
  }

  void SetHeld(BufferKind aKind, std::size_t aBytes) {
    if (mOptions.mMemory != nullptr) {
      mOptions.mMemory->SetHeld(aKind, aBytes);
    }
  }

  std::string_view Body() const {
    return mOptions.mSharedBody.empty() ? std::string_view(mOptions.mBody)
                                        : mOptions.mSharedBody;
  }

  void CountCall(int aSign) {
    if (mOptions.mMemory != nullptr) {
      mOptions.mMemory->Budget().AddCall(mOptions.mMemory->Number(), aSign);
    }
  }

  void UpdateArrivedBytes() {
    if (mOptions.mMemory == nullptr || !mOptions.mMemory->Budget().Bounded()) {
      return;
    }
    // While reading is paused, the kernel's buffer fills as well.
    const std::size_t socketBuffer =
        mPaused ? mOptions.mMemory->Budget().Options().mSocketBuffer : 0;
    SetHeld(BufferKind::kArrived,
            evbuffer_get_length(bufferevent_get_input(mBuffer)) + socketBuffer);
  }

  static void HandleEvent(bufferevent*, short aWhat, void* aSelf) {
    auto* self = static_cast<BufferCall*>(aSelf);
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      self->SendRequest();
      return;
    }
    const std::shared_ptr<bool> alive = self->mAlive;
    // Bytes that arrived before the end are still processed.
    self->ReadAll();
    if (!*alive || self->mBuffer == nullptr) {
      return;
    }
    if (!self->mSent) {
      if (self->mOptions.mOnRefused) {
        self->mOptions.mOnRefused();
      }
      self->Finish(StreamEnd::kNotSent);
      return;
    }
    if ((aWhat & BEV_EVENT_EOF) != 0) {
      self->mReader.ReadEnd();
    }
    const bool complete = self->mReader.State() == ReadState::kComplete;
    self->Finish(complete ? StreamEnd::kComplete : StreamEnd::kLost);
  }

  static void HandleRead(bufferevent*, void* aSelf) {
    static_cast<BufferCall*>(aSelf)->ReadAll();
  }

  void SendRequest() {
    mConnectTimer.reset();
    SetSocketOptions(bufferevent_getfd(mBuffer), kUserTimeoutMillis);
    if (mOptions.mMaySend && !mOptions.mMaySend()) {
      Finish(StreamEnd::kNotSent);
      return;
    }
    std::string head =
        mOptions.mMethod + " " + mOptions.mTarget + " HTTP/1.1\r\n";
    for (const HttpHeader& header : mOptions.mHeaders) {
      head += header.mName + ": " + header.mValue + "\r\n";
    }
    const std::string_view body = Body();
    const bool hasBody = !body.empty() || mOptions.mMethod == "POST" ||
                         mOptions.mMethod == "PUT" ||
                         mOptions.mMethod == "PATCH";
    if (hasBody) {
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "Connection: close\r\n\r\n";
    mSent = true;
    bufferevent_write(mBuffer, head.data(), head.size());
    bufferevent_write(mBuffer, body.data(), body.size());
    mOptions.mBody = std::string();
    mOptions.mSharedBody = {};
    bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  }

  void ReadAll() {
    const std::shared_ptr<bool> alive = mAlive;
    evbuffer* buf = bufferevent_get_input(mBuffer);
    while (*alive && mBuffer != nullptr && evbuffer_get_length(buf) > 0) {
      const std::size_t n = evbuffer_get_contiguous_space(buf);
      const std::string bytes(reinterpret_cast<const char*>(evbuffer_pullup(
                                  buf, static_cast<ev_ssize_t>(n))),
                              n);
      evbuffer_drain(buf, n);
      Parse(bytes, alive);
    }
  }

  void Parse(std::string_view aBytes, const std::shared_ptr<bool>& aAlive) {
    mReader.Read(aBytes);
    const ReadState state = mReader.State();
    const bool hasHead =
        state == ReadState::kBody || state == ReadState::kComplete;
    if (hasHead && !mHeadReported) {
      mHeadReported = true;
      if (mOptions.mOnHead) {
        const std::function<void(const AnswerHead&)> call = mOptions.mOnHead;
        call(mReader.Answer());
      }
    }
    if (!*aAlive || mBuffer == nullptr) {
      return;
    }
    const std::string body = mReader.TakeBody();
    if (mHeadReported && !body.empty() && mOptions.mOnData) {
      const std::function<void(std::string_view)> call = mOptions.mOnData;
      call(body);
    }
    if (!*aAlive || mBuffer == nullptr) {
      return;
    }
    if (state == ReadState::kBad) {
      Finish(StreamEnd::kMalformed);
    } else if (state == ReadState::kComplete) {
      Finish(StreamEnd::kComplete);
    }
  }

  void FinishLater(StreamEnd aEnd) {
    mTimer = mLoop.After(0, [this, aEnd] { Finish(aEnd); });
  }

  void CloseConnection() {
    mTimer.reset();
    mConnectTimer.reset();
    if (mBuffer != nullptr) {
      bufferevent_free(mBuffer);
      mBuffer = nullptr;
      SetHeld(BufferKind::kUnsent, 0);
      SetHeld(BufferKind::kArrived, 0);
      CountCall(-1);
    }
  }

  void Finish(StreamEnd aEnd) {
    CloseConnection();
    // The receiver may destroy this call.
    const std::function<void(StreamEnd)> call = std::move(mOptions.mOnEnd);
    mOptions.mOnEnd = nullptr;
    if (call) {
      call(aEnd);
    }
  }

  EventLoop& mLoop;
  StreamCallOptions mOptions;
  HttpMessageReader mReader;
  std::shared_ptr<bool> mAlive;
  bufferevent* mBuffer = nullptr;
  std::unique_ptr<Timer> mConnectTimer;
  std::unique_ptr<Timer> mTimer;
  bool mSent = false;
  bool mHeadReported = false;
  bool mPaused = false;
};

}  // namespace

std::unique_ptr<StreamCall> StartStreamCall(EventLoop& aLoop,
                                            StreamCallOptions aOptions) {
  auto call = std::make_unique<BufferCall>(aLoop, std::move(aOptions));
  call->Begin();
  return call;
}

}  // namespace spindleweir
