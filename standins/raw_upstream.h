/// An upstream that writes its answer byte by byte as the test gives it, and
/// ends it with its connection.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/drivers/event_loop.h"

namespace spindleweir {

/// One upstream, listening on its own port. Each connection gets one answer.
class RawUpstream {
 public:
  RawUpstream(EventLoop& aLoop, std::string aInstance);
  ~RawUpstream();
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

  /// Sets the bytes of the next answers, one each. The last one is repeated.
  void SetAnswers(std::vector<std::string> aAnswers);
  /// From now on answers begin with aBegin and go on with aRepeated until the
  /// caller closes the connection.
  void AnswerWithoutEnd(std::string aBegin, std::string_view aRepeated);
  /// Bytes written by answers without end.
  std::size_t WrittenWithoutEnd() const { return mWritten; }
  /// Connections that are open.
  std::size_t Open() const { return mConnections.size(); }
  /// The head of a signed stream that ends with its connection.
  static std::string StreamHead();
  /// The events of a stream with these ids, the last one included.
  static std::string Events(int aFrom, int aTo);
  const std::string& Instance() const { return mInstance; }
  std::string Address() const;
  int Answered() const { return mAnswered; }

 private:
  static void HandleAccept(evconnlistener*, evutil_socket_t aSocket, sockaddr*,
                           int, void* aSelf);
  static void HandleRead(bufferevent* aConnection, void* aSelf);
  static void HandleDrained(bufferevent* aConnection, void* aSelf);
  static void HandleEvent(bufferevent* aConnection, short, void* aSelf);
  void Close(bufferevent* aConnection);

  EventLoop& mLoop;
  std::string mInstance;
  std::vector<std::string> mAnswers;
  int mAnswered = 0;
  std::string mRepeated;  ///< Empty: answers have an end.
  std::size_t mWritten = 0;
  evconnlistener* mListener;
  std::set<bufferevent*> mConnections;
};

}  // namespace spindleweir
