/// One caller's connection at a StreamServer.
#pragma once

#include <memory>
#include <string>

#include "spindleweir/drivers/stream_server.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace spindleweir {

/// Reads one request at a time; the next one waits until the answer has ended.
class StreamConnection : public std::enable_shared_from_this<StreamConnection> {
 public:
  StreamConnection(StreamServer& aServer, int aFd);
  ~StreamConnection();
  StreamConnection(const StreamConnection&) = delete;
  StreamConnection& operator=(const StreamConnection&) = delete;

  void Send(std::string_view aBytes);
  /// Called when the answer has ended; reads the next request, or closes.
  void FinishExchange(bool aKeep);
  /// Closes with a reset, so that the answer doesn't look complete.
  void Reset();
  /// Whether it waits for a request and nothing is in progress.
  bool Idle() const;
  void Close();
  /// Closes an idle connection. A request that arrives afterwards is not
  /// processed, and bytes that the caller is still reading are not reset.
  void CloseGracefully();
  std::size_t PendingBytes() const;
  bool ServerClosing() const { return mServer.mClosing; }
  const std::shared_ptr<MemoryHold>& Memory() const { return mMemory; }
  bool MayWriteMore();
  /// Resumes reading or writing when the memory budget has capacity again.
  void ContinueReading();
  /// Closes the connection to free memory; refuses a request that is still
  /// being read.
  void Evict();

 private:
  static void HandleRead(bufferevent*, void* aSelf);
  static void HandleWrite(bufferevent*, void* aSelf);
  static void HandleEvent(bufferevent*, short aWhat, void* aSelf);
  static void HandleSent(evbuffer* aBuffer, const evbuffer_cb_info* aInfo,
                         void* aSelf);
  static void HandleArrived(evbuffer* aBuffer, const evbuffer_cb_info* aInfo,
                            void* aSelf);
  /// Whether bytes have arrived that are not parsed yet.
  bool HasArrived() const;
  void OpenMemoryHold();
  /// Updates the memory held for the request that is being read.
  void UpdateReadingBytes();
  bool BeginRequest();
  bool ReserveBody();
  bool AdmitCall();
  void PauseIfFull();
  /// Releases the memory of an answer that has ended.
  void ReleaseExchangeMemory();
  void ReadInput();
  void Parse(std::string_view aBytes);
  void Dispatch();
  void Refuse(ResultCode aCode);
  void ArmTimer();
  void Linger();
  /// Resets the connection if the caller reads nothing of an ended answer for
  /// the idle timeout.
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
  bool mRequestSeen = false;   ///< At least part of a request has come.
  bool mRequestBegun = false;  ///< A request is being read.
  bool mCloseAfter = false;    ///< Close after all is written.
  bool mReading = false;
  bool mBodyChecked = false;
  bool mPaused = false;  ///< Not reading, for lack of memory.
  std::shared_ptr<MemoryHold> mMemory;
};

}  // namespace spindleweir
