#include "spindleweir/drivers/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "drivers/answer_head_reader.h"

namespace spindleweir {

class EvhttpCall;

namespace {

constexpr int kHttpOk = 200;
constexpr std::size_t kIdleConnectionsPerServer = 8;

evhttp_cmd_type CommandOf(const std::string& aMethod) {
  if (aMethod == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

/// The context of libevent's callbacks, which may outlive the call; mCall is
/// nullptr then.
struct CallLink {
  EvhttpCall* mCall = nullptr;
};

/// Whether the server has closed the connection or sent unexpected bytes, and
/// the loop has not read that yet: a call on it would get no answer.
bool HasEnded(evhttp_connection* aConnection) {
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection));
  if (fd < 0) {
    // evhttp reconnects with the next call.
    return false;
  }
  char byte = 0;
  const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// A connection to be freed, and the link that its callbacks use until then.
struct RetiredConnection {
  evhttp_connection* mConnection;
  std::shared_ptr<CallLink> mLink;
};

}  // namespace

/// Idle connections by server, and connections to be freed later: libevent does
/// not support freeing a connection inside its own callback.
struct HttpClient::Pool {
  explicit Pool(EventLoop& aLoop) : mLoop(aLoop) {}
  ~Pool() {
    for (auto& [server, list] : mIdle) {
      for (evhttp_connection* connection : list) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_free(connection);
      }
    }
    FreeRetired();
  }
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  static void HandleIdleClose(evhttp_connection* aConnection, void* aPool) {
    auto* self = static_cast<Pool*>(aPool);
    for (auto& [server, list] : self->mIdle) {
      const auto it = std::find(list.begin(), list.end(), aConnection);
      if (it != list.end()) {
        list.erase(it);
        self->Retire(aConnection);
        return;
      }
    }
  }

  void Put(const std::string& aServer, evhttp_connection* aConnection) {
    std::vector<evhttp_connection*>& list = mIdle[aServer];
    if (list.size() >= kIdleConnectionsPerServer) {
      Retire(aConnection);
      return;
    }
    evhttp_connection_set_closecb(aConnection, &Pool::HandleIdleClose, this);
    list.push_back(aConnection);
  }

  evhttp_connection* Take(const std::string& aServer) {
    std::vector<evhttp_connection*>& list = mIdle[aServer];
    while (!list.empty()) {
      evhttp_connection* connection = list.back();
      list.pop_back();
      if (!HasEnded(connection)) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        return connection;
      }
      Retire(connection);
    }
    return nullptr;
  }

  /// Frees the connection in the next iteration of the loop, together with the
  /// context of its callbacks.
  void Retire(evhttp_connection* aConnection,
              std::shared_ptr<CallLink> aLink = nullptr) {
    evhttp_connection_set_closecb(aConnection, nullptr, nullptr);
    mRetired.push_back({aConnection, std::move(aLink)});
    if (mFreeTimer == nullptr) {
      mFreeTimer = mLoop.After(0, [this] { FreeRetired(); });
    }
  }

  void FreeRetired() {
    mFreeTimer.reset();
    const std::vector<RetiredConnection> retired = std::move(mRetired);
    mRetired.clear();
    for (const RetiredConnection& item : retired) {
      evhttp_connection_free(item.mConnection);
    }
  }

  EventLoop& mLoop;
  std::map<std::string, std::vector<evhttp_connection*>> mIdle;
  std::vector<RetiredConnection> mRetired;
  std::unique_ptr<Timer> mFreeTimer;
};

/// One call on one connection. The libevent callbacks reach it through the
/// CallLink, which lives until the connection is freed.
class EvhttpCall : public HttpCall {
 public:
  EvhttpCall(EventLoop& aLoop, std::shared_ptr<HttpClient::Pool> aPool,
             HttpCallOptions aOptions)
      : mLoop(aLoop),
        mPool(std::move(aPool)),
        mOptions(std::move(aOptions)),
        mServer(mOptions.mServer.Text()),
        mLink(std::make_shared<CallLink>(CallLink{this})) {}

  ~EvhttpCall() override { Abandon(); }
  EvhttpCall(const EvhttpCall&) = delete;
  EvhttpCall& operator=(const EvhttpCall&) = delete;

  void Begin(LinkFailure aFailure) {
    if (aFailure != LinkFailure::kNone) {
      BeginWithoutConnection(aFailure == LinkFailure::kRefuse);
      return;
    }
    if (!mOptions.mNewConnection) {
      mConnection = mPool->Take(mServer);
    }
    if (mConnection == nullptr) {
      mConnection = evhttp_connection_base_new(
          mLoop.Base(), nullptr, mOptions.mServer.mHost.c_str(),
          static_cast<std::uint16_t>(mOptions.mServer.mPort));
    }
    bufferevent* bev = evhttp_connection_get_bufferevent(mConnection);
    mOutput = bufferevent_get_output(bev);
    mOutputCallback = evbuffer_add_cb(mOutput, &EvhttpCall::HandleOutput, this);
    mInput = bufferevent_get_input(bev);
    mInputCallback = evbuffer_add_cb(mInput, &EvhttpCall::HandleInput, this);
    evhttp_connection_set_max_body_size(
        mConnection, static_cast<ev_ssize_t>(mOptions.mMaximumAnswerBytes));
    evhttp_connection_set_max_headers_size(
        mConnection, static_cast<ev_ssize_t>(mOptions.mMaximumHeadBytes));
    if (mOptions.mTimeout > 0) {
      // Without AfterRunning() a router that was stalled for 1.3 s treated all
      // claim keepers as silent, with their answers unread in its sockets.
      mTimer = mLoop.AfterRunning(mOptions.mTimeout, [this] { Finish(false); });
    }
    SendRequest();
  }

  void Pause(bool aPaused) override {
    if (mConnection == nullptr || aPaused == mPaused) {
      return;
    }
    mPaused = aPaused;
    bufferevent* bev = evhttp_connection_get_bufferevent(mConnection);
    if (aPaused) {
      bufferevent_disable(bev, EV_READ);
    } else {
      bufferevent_enable(bev, EV_READ);
    }
  }

 private:
  /// The connection is refused, or never comes about.
  void BeginWithoutConnection(bool aIsRefused) {
    if (aIsRefused || mOptions.mTimeout > 0) {
      mTimer = mLoop.AfterRunning(aIsRefused ? 0 : mOptions.mTimeout,
                                  [this] { Finish(false); });
    }
  }

  void SendRequest() {
    evhttp_request* request =
        evhttp_request_new(&EvhttpCall::HandleDone, mLink.get());
    evhttp_request_set_chunked_cb(request, &EvhttpCall::HandleChunk);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", mServer.c_str());
    for (const HttpHeader& header : mOptions.mHeaders) {
      evhttp_add_header(headers, header.mName.c_str(), header.mValue.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 mOptions.mBody.data(), mOptions.mBody.size());
    if (evhttp_make_request(mConnection, request, CommandOf(mOptions.mMethod),
                            mOptions.mPath.c_str()) != 0) {
      mTimer = mLoop.After(0, [this] { Finish(false); });
    }
  }

  static void HandleOutput(evbuffer*, const evbuffer_cb_info* aInfo,
                           void* aSelf) {
    if (aInfo->n_deleted > 0) {
      auto* self = static_cast<EvhttpCall*>(aSelf);
      self->mResult.mSent = true;
      self->mResult.mSentBytes += static_cast<std::int64_t>(aInfo->n_deleted);
    }
  }

  static void HandleInput(evbuffer*, const evbuffer_cb_info* aInfo,
                          void* aSelf) {
    auto* self = static_cast<EvhttpCall*>(aSelf);
    self->mResult.mReceivedBytes += static_cast<std::int64_t>(aInfo->n_added);
    self->CheckHead(aInfo->n_added);
  }

  /// Checks the bytes that have just arrived, before evhttp reads them: it
  /// takes many broken heads for answers.
  void CheckHead(std::size_t aArrived) {
    if (aArrived == 0 || mHead.State() != HeadState::kIncomplete) {
      return;
    }
    evbuffer_ptr start;
    (void)evbuffer_ptr_set(mInput, &start,
                           evbuffer_get_length(mInput) - aArrived,
                           EVBUFFER_PTR_SET);
    std::string bytes(aArrived, '\0');
    (void)evbuffer_copyout_from(mInput, &start, bytes.data(), aArrived);
    mHead.Read(bytes);
    if (mHead.State() == HeadState::kBroken) {
      // evhttp may wait for more, or go on reading on the stack.
      mTimer = mLoop.After(0, [this] { Finish(false); });
    }
  }

  void RemoveBufferCallbacks() {
    evbuffer_remove_cb_entry(mOutput, mOutputCallback);
    evbuffer_remove_cb_entry(mInput, mInputCallback);
  }

  static void HandleChunk(evhttp_request* aRequest, void* aLink) {
    EvhttpCall* self = static_cast<CallLink*>(aLink)->mCall;
    if (self == nullptr || self->mHead.State() != HeadState::kSound) {
      return;
    }
    evbuffer* buf = evhttp_request_get_input_buffer(aRequest);
    std::string bytes(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, bytes.data(), bytes.size());
    const bool streamed = self->mOptions.mOnData != nullptr &&
                          evhttp_request_get_response_code(aRequest) == kHttpOk;
    if (!streamed) {
      self->mResult.mBody += bytes;
      return;
    }
    // The receiver may cancel this call, so a copy is called.
    const std::function<void(std::string_view)> receiver =
        self->mOptions.mOnData;
    receiver(bytes);
  }

  static void HandleDone(evhttp_request* aRequest, void* aLink) {
    EvhttpCall* self = static_cast<CallLink*>(aLink)->mCall;
    if (self == nullptr) {
      return;
    }
    const int status =
        aRequest == nullptr ? 0 : evhttp_request_get_response_code(aRequest);
    // evhttp takes some interim answers for final ones.
    const bool isAnswer =
        status >= kMinFinalStatus && self->mHead.State() == HeadState::kSound;
    if (!isAnswer) {
      self->Finish(false);
      return;
    }
    self->mResult.mStatus = status;
    evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
    for (const evkeyval* it = headers->tqh_first; it != nullptr;
         it = it->next.tqe_next) {
      self->mResult.mHeaders.push_back({it->key, it->value});
    }
    self->Finish(true);
  }

  void Finish(bool aComplete) {
    mResult.mComplete = aComplete;
    mTimer.reset();
    mLink->mCall = nullptr;
    if (mConnection != nullptr) {
      RemoveBufferCallbacks();
      // Bytes beyond the answer would be read as the answer to the next call.
      const bool hasSurplus = evbuffer_get_length(mInput) > 0;
      if (aComplete && !mOptions.mNewConnection && !hasSurplus) {
        mPool->Put(mServer, mConnection);
      } else {
        mPool->Retire(mConnection, mLink);
      }
      mConnection = nullptr;
    }
    // The receiver may destroy this call.
    const std::function<void(const HttpResult&)> receiver =
        std::move(mOptions.mOnDone);
    const HttpResult result = std::move(mResult);
    if (receiver) {
      receiver(result);
    }
  }

  void Abandon() {
    if (mConnection == nullptr) {
      return;
    }
    RemoveBufferCallbacks();
    mLink->mCall = nullptr;
    bufferevent* bev = evhttp_connection_get_bufferevent(mConnection);
    bufferevent_disable(bev, EV_READ | EV_WRITE);
    mPool->Retire(mConnection, mLink);
    mConnection = nullptr;
  }

  EventLoop& mLoop;
  std::shared_ptr<HttpClient::Pool> mPool;
  HttpCallOptions mOptions;
  std::string mServer;
  std::shared_ptr<CallLink> mLink;
  HttpResult mResult;
  AnswerHeadReader mHead;
  evhttp_connection* mConnection = nullptr;
  evbuffer* mOutput = nullptr;
  evbuffer_cb_entry* mOutputCallback = nullptr;
  evbuffer* mInput = nullptr;
  evbuffer_cb_entry* mInputCallback = nullptr;
  std::unique_ptr<Timer> mTimer;
  bool mPaused = false;
};

HttpClient::HttpClient(EventLoop& aLoop, LinkFailureHook aFailureOf)
    : mLoop(aLoop),
      mFailureOf(std::move(aFailureOf)),
      mPool(std::make_shared<Pool>(aLoop)) {}

HttpClient::~HttpClient() = default;

LinkFailure HttpClient::FailureOf(const Endpoint& aServer) const {
  return mFailureOf ? mFailureOf(aServer) : LinkFailure::kNone;
}

std::unique_ptr<HttpCall> HttpClient::Start(HttpCallOptions aOptions) {
  const LinkFailure failure = FailureOf(aOptions.mServer);
  auto call = std::make_unique<EvhttpCall>(mLoop, mPool, std::move(aOptions));
  call->Begin(failure);
  return call;
}

void HttpClient::StartDetached(HttpCallOptions aOptions) {
  const std::int64_t id = mNextDetached++;
  aOptions.mOnDone = [this, id, done = std::move(aOptions.mOnDone)](
                         const HttpResult& aResult) {
    if (done) {
      done(aResult);
    }
    // The call is still on the stack; it is destroyed in the next iteration.
    mEnded.push_back(id);
    if (mDestroyTimer == nullptr) {
      mDestroyTimer = mLoop.After(0, [this] { DestroyEndedCalls(); });
    }
  };
  const LinkFailure failure = FailureOf(aOptions.mServer);
  auto call = std::make_unique<EvhttpCall>(mLoop, mPool, std::move(aOptions));
  EvhttpCall* started = call.get();
  mDetached[id] = std::move(call);
  started->Begin(failure);
}

void HttpClient::DestroyEndedCalls() {
  mDestroyTimer.reset();
  for (std::int64_t id : mEnded) {
    mDetached.erase(id);
  }
  mEnded.clear();
}

}  // namespace spindleweir
