/// One caller's connection at a StreamServer.
#pragma once

#include <memory>
#include <string>

#include "spindleweir/drivers/stream_server.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace spindleweir {

/// Reads one request at a time; the next waits until the answer has ended.
class StreamConnection : public std::enable_shared_from_this<StreamConnection> {
 public:
  StreamConnection(StreamServer& aServer, int aFd);
  ~StreamConnection();
  StreamConnection(const StreamConnection&) = delete;
  StreamConnection& operator=(const StreamConnection&) = delete;

  void Send(std::string_view aBytes);
  /// The answer has ended; reads the next request, or closes.
  void FinishExchange(bool aKeep);
  /// Closes with a reset, so that nothing looks complete.
  void Reset();
  /// Whether it waits for a request and nothing is under way on it.
  bool Idle() const;
  void Close();
  /// Ends an idle connection: a request that crosses the end is not taken, and
  /// what its caller still reads is not reset.
  void CloseGracefully();
  std::size_t PendingBytes() const;
  bool ServerClosing() const { return mServer.mClosing; }
  const std::shared_ptr<MemoryHold>& Memory() const { return mMemory; }
  bool MayWriteMore();
  /// The account of memory has room for it again.
  void ContinueReading();
  /// The account of memory ends it: with a refusal where nothing ran.
  void Evict();

 private:
  static void HandleRead(bufferevent*, void* aSelf);
  static void HandleWrite(bufferevent*, void* aSelf);
  static void HandleEvent(bufferevent*, short aWhat, void* aSelf);
  static void HandleTaken(evbuffer* aBuffer, const evbuffer_cb_info* aInfo,
                          void* aSelf);
  static void HandleArrived(evbuffer* aBuffer, const evbuffer_cb_info* aInfo,
                            void* aSelf);
  /// Whether bytes of a request have come that were not parsed.
  bool HasArrived() const;
  void OpenMemoryHold();
  /// What is held of the request that is being read.
  void UpdateReadingBytes();
  bool BeginRequest();
  bool HasRoomForBody();
  bool HasRoomForAnswer();
  void PauseIfFull();
  /// The answer has ended.
  void ReleaseExchangeMemory();
  void ReadInput();
  void Take(std::string_view aBytes);
  void Dispatch();
  void Refuse(ResultCode aCode);
  void ArmTimer();
  void Linger();
  /// Closes once the caller takes nothing of an answer that has ended for as
  /// long as a connection may rest.
  void WaitForReader();
  void Expire();
  void DetachExchange();

  StreamServer& mServer;
  bufferevent* mBuffer;
  std::unique_ptr<HttpMessageReader> mReader;
  std::string mBody;
  std::shared_ptr<StreamExchange> mExchange;
  std::unique_ptr<Timer> mTimer;
  Millis mAcceptedAt = SteadyNow();
  bool mRequestSeen = false;   ///< A request has come, or begun to.
  bool mRequestBegun = false;  ///< A byte of the request being read has come.
  bool mCloseAfter = false;    ///< Close once all is written.
  bool mReading = false;
  bool mBodyChecked = false;
  bool mPaused = false;  ///< Its caller is pushed back for lack of memory.
  std::shared_ptr<MemoryHold> mMemory;
};

}  // namespace spindleweir
