/// The network between routers and one upstream of a soak: passes bytes on, and
/// resets, holds back or slows what passes.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace spindleweir {

class SoakLink {
 public:
  /// Listens on a port of its own for connections to aTarget.
  SoakLink(EventLoop& aLoop, const Endpoint& aTarget);
  ~SoakLink();
  SoakLink(const SoakLink&) = delete;
  SoakLink& operator=(const SoakLink&) = delete;

  const std::string& Address() const { return mAddress; }
  /// Ends all connections with a reset.
  void Reset();
  /// For so long nothing passes towards routers, or, with aBothWays, at all. No
  /// connection ends by it, and nothing is lost.
  void Pause(Millis aDuration, bool aBothWays);
  /// Whether no answer passes now.
  bool BlocksAnswers() const { return mAnswersPaused && mStepTimer == nullptr; }
  /// For so long bytes pass in steps only.
  void Slow(Millis aDuration);

 private:
  /// One of the two ends of a connection that passes here.
  struct Side {
    SoakLink* mLink = nullptr;
    Side* mOther = nullptr;
    bufferevent* mBuffer = nullptr;
    bool mFromUpstream = false;
    bool mEnded = false;  ///< Its peer has closed it.
  };
  struct Connection {
    Side mRouter;
    Side mUpstream;
  };

  static void HandleAccept(evconnlistener*, int aFd, sockaddr*, int,
                           void* aSelf);
  static void HandleRead(bufferevent*, void* aSide);
  static void HandleWrite(bufferevent*, void* aSide);
  static void HandleEvent(bufferevent*, short aWhat, void* aSide);
  void Accept(int aFd);
  void Open(Side& aSide, Side& aOther);
  bool IsPaused(const Side& aSide) const;
  void Forward(Side& aSide);
  void ForwardAll();
  static void CloseIfDone(Side& aSide);
  /// Frees both ends, with a reset or in order.
  void Close(Side& aSide, bool aReset);

  EventLoop& mLoop;
  Endpoint mTarget;
  std::string mAddress;
  evconnlistener* mListener = nullptr;
  bool mAnswersPaused = false;
  bool mRequestsPaused = false;
  std::vector<std::unique_ptr<Connection>> mConnections;
  std::unique_ptr<Timer> mStepTimer;
  std::unique_ptr<Timer> mEndTimer;
};

}  // namespace spindleweir
