/// Heads of HTTP/1.1 messages, and a message parser based on http_parser.
/// evhttp accepts conflicting lengths in heads and cannot distinguish a reset
/// answer from a completed one, so forwarded requests use this parser instead
/// (docs/design/platform.md). The head of an answer is checked before the
/// parser reads it.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Headers in the order received.
using HttpHeaders = std::vector<HttpHeader>;

/// Whether a text has the characters of a header's name only (RFC 9110, 5.6.2).
bool IsHeaderName(std::string_view aText);
/// Compares two header names, ignoring case.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);
/// The first header of that name, or nullptr.
const std::string* FindHeader(const HttpHeaders& aHeaders,
                              std::string_view aName);
/// The number of headers of that name.
std::size_t CountHeader(const HttpHeaders& aHeaders, std::string_view aName);
/// Whether a status is 2xx.
bool IsSuccess(int aStatus);
/// Whether an answer with this status may have a body. One with 1xx, 204 or 304
/// ends with its head, whatever its headers state.
bool MayHaveBody(int aStatus);
/// Whether a header is hop-by-hop and not forwarded: Connection, the headers
/// that it lists, and the framing. Host never is.
bool IsConnectionHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// The head of a request.
struct RequestHead {
  std::string mMethod;
  std::string mTarget;  ///< Path and query as received.
  HttpHeaders mHeaders;
  bool mKeepAlive = true;
  int mMinor = 1;  ///< HTTP/1.mMinor.
};

/// Turns a target in absolute form, http://AUTHORITY/PATH, into PATH, and
/// replaces the value of Host with the authority, which has precedence. Returns
/// whether the target is a path then.
bool ResolveTarget(RequestHead& aHead);

/// The head of an answer.
struct AnswerHead {
  int mStatus = 0;
  HttpHeaders mHeaders;
  bool mUntilClose = false;  ///< No length: ends with the connection.
};

/// Which kind of messages is read.
enum class MessageSide { kRequests, kAnswers };

/// Progress of reading a message.
enum class ReadState {
  kHead,      ///< The head is not complete.
  kBody,      ///< The head is complete.
  kComplete,  ///< The message is complete.
  kBad,       ///< The bytes are not HTTP/1.
};

/// Parses one message.
class HttpMessageReader {
 public:
  explicit HttpMessageReader(MessageSide aSide);
  ~HttpMessageReader();
  HttpMessageReader(const HttpMessageReader&) = delete;
  HttpMessageReader& operator=(const HttpMessageReader&) = delete;

  /// Parses more bytes; returns how many of them belong to this message.
  std::size_t Read(std::string_view aBytes);
  /// The connection ended regularly; completes an answer without a length.
  void ReadEnd();

  ReadState State() const;
  std::size_t HeadBytes() const;
  /// The message is bad since it is of another version than HTTP/1.
  bool IsOtherVersion() const;
  /// The heads are valid once State() is past kHead.
  RequestHead& Request();
  AnswerHead& Answer();
  /// Body bytes read since the last call.
  std::string TakeBody();
  /// For a reader of answers: the request was HEAD, so no body follows.
  void ExpectNoBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace spindleweir
