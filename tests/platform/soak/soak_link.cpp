#include "tests/platform/soak/soak_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace spindleweir {

namespace {

constexpr Millis kSlowStep = 60;

sockaddr_in AddressOf(const Endpoint& aEndpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aEndpoint.mPort));
  inet_pton(AF_INET, aEndpoint.mHost.c_str(), &address.sin_addr);
  return address;
}

void FreeBuffer(bufferevent* aBuffer, bool aReset) {
  if (aReset) {
    const linger option{.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(bufferevent_getfd(aBuffer), SOL_SOCKET, SO_LINGER, &option,
                     sizeof(option));
  }
  bufferevent_free(aBuffer);
}

}  // namespace

SoakLink::SoakLink(EventLoop& aLoop, const Endpoint& aTarget)
    : mLoop(aLoop), mTarget(aTarget) {
  sockaddr_in address = AddressOf({"127.0.0.1", 0});
  mListener = evconnlistener_new_bind(
      aLoop.Base(), &SoakLink::HandleAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t n = sizeof(address);
  getsockname(evconnlistener_get_fd(mListener),
              reinterpret_cast<sockaddr*>(&address), &n);
  mAddress = Endpoint{"127.0.0.1", ntohs(address.sin_port)}.Text();
}

SoakLink::~SoakLink() {
  evconnlistener_free(mListener);
  Reset();
}

void SoakLink::HandleAccept(evconnlistener*, int aFd, sockaddr*, int,
                            void* aSelf) {
  static_cast<SoakLink*>(aSelf)->Accept(aFd);
}

void SoakLink::Accept(int aFd) {
  auto passing = std::make_unique<Passing>();
  passing->mRouter.mBuffer =
      bufferevent_socket_new(mLoop.Base(), aFd, BEV_OPT_CLOSE_ON_FREE);
  passing->mUpstream.mBuffer =
      bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  passing->mUpstream.mFromUpstream = true;
  Open(passing->mRouter, passing->mUpstream);
  Open(passing->mUpstream, passing->mRouter);
  sockaddr_in address = AddressOf(mTarget);
  bufferevent_socket_connect(passing->mUpstream.mBuffer,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  mPassing.push_back(std::move(passing));
}

void SoakLink::Open(Side& aSide, Side& aOther) {
  aSide.mLink = this;
  aSide.mOther = &aOther;
  bufferevent_setcb(aSide.mBuffer, &SoakLink::HandleRead,
                    &SoakLink::HandleWrite, &SoakLink::HandleEvent, &aSide);
  bufferevent_enable(aSide.mBuffer, EV_READ | EV_WRITE);
}

bool SoakLink::Holds(const Side& aSide) const {
  return aSide.mFromUpstream ? mHoldsAnswers : mHoldsRequests;
}

void SoakLink::HandleRead(bufferevent*, void* aSide) {
  auto* side = static_cast<Side*>(aSide);
  if (!side->mLink->Holds(*side)) {
    side->mLink->Pass(*side);
  }
}

void SoakLink::Pass(Side& aSide) {
  bufferevent_write_buffer(aSide.mOther->mBuffer,
                           bufferevent_get_input(aSide.mBuffer));
}

void SoakLink::HandleWrite(bufferevent*, void* aSide) {
  CloseIfDone(*static_cast<Side*>(aSide));
}

void SoakLink::CloseIfDone(Side& aSide) {
  // What the other end sent before it closed goes first.
  const Side& other = *aSide.mOther;
  const bool left =
      evbuffer_get_length(bufferevent_get_input(other.mBuffer)) > 0 ||
      evbuffer_get_length(bufferevent_get_output(aSide.mBuffer)) > 0;
  if (other.mEnded && !left) {
    aSide.mLink->Close(aSide, false);
  }
}

void SoakLink::HandleEvent(bufferevent*, short aWhat, void* aSide) {
  auto* side = static_cast<Side*>(aSide);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    return;
  }
  side->mEnded = true;
  SoakLink* link = side->mLink;
  if ((aWhat & BEV_EVENT_EOF) == 0) {
    link->Close(*side, true);
    return;
  }
  if (!link->Holds(*side)) {
    link->Pass(*side);
    CloseIfDone(*side->mOther);
  }
}

void SoakLink::Close(Side& aSide, bool aReset) {
  const auto it = std::find_if(
      mPassing.begin(), mPassing.end(), [&aSide](const auto& aPassing) {
        return &aPassing->mRouter == &aSide || &aPassing->mUpstream == &aSide;
      });
  FreeBuffer(aSide.mOther->mBuffer, aReset);
  FreeBuffer(aSide.mBuffer, aReset);
  mPassing.erase(it);
}

void SoakLink::Reset() {
  while (!mPassing.empty()) {
    Close(mPassing.back()->mRouter, true);
  }
}

void SoakLink::PassAll() {
  for (std::size_t i = mPassing.size(); i-- > 0;) {
    Side& router = mPassing[i]->mRouter;
    Side& upstream = mPassing[i]->mUpstream;
    Pass(router);
    Pass(upstream);
    // Either may end the connection, and with it both.
    if (router.mEnded) {
      CloseIfDone(upstream);
    } else if (upstream.mEnded) {
      CloseIfDone(router);
    }
  }
}

void SoakLink::Hold(Millis aTime, bool aBothWays) {
  mHoldsAnswers = true;
  mHoldsRequests = aBothWays;
  mStepTimer.reset();
  mEndTimer = mLoop.After(aTime, [this] {
    mStepTimer.reset();
    mHoldsAnswers = false;
    mHoldsRequests = false;
    PassAll();
  });
}

void SoakLink::Slow(Millis aTime) {
  Hold(aTime, true);
  mStepTimer = mLoop.Every(kSlowStep, [this] { PassAll(); });
}

}  // namespace spindleweir
