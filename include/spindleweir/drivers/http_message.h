/// Heads of HTTP/1.1 messages, and reading them from bytes with http_parser.
/// evhttp accepts heads that differ in length and cannot tell an answer that
/// was reset from one that ended, so that requests which are passed on use
/// this reader instead (docs/design/platform.md).
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Headers in the order in which they came.
using HttpHeaders = std::vector<HttpHeader>;

/// Whether two header names are the same, in any case.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);
/// The first header of that name, or nullptr.
const std::string* FindHeader(const HttpHeaders& aHeaders,
                              std::string_view aName);
/// How often a header stands there.
std::size_t CountHeader(const HttpHeaders& aHeaders, std::string_view aName);
/// Whether a status says that all went well: 2xx.
bool IsSuccess(int aStatus);
/// Whether a header concerns one connection only and is not passed on:
/// Connection, what it names, and the framing.
bool IsConnectionHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// The head of a request.
struct RequestHead {
  std::string mMethod;
  std::string mTarget;  ///< Path and query as they came.
  HttpHeaders mHeaders;
  bool mKeepAlive = true;
  int mMinor = 1;  ///< HTTP/1.mMinor.
};

/// The head of an answer.
struct AnswerHead {
  int mStatus = 0;
  HttpHeaders mHeaders;
  bool mUntilClose = false;  ///< No length: the end of the connection ends it.
};

/// Which side of the protocol is read.
enum class MessageSide { kRequests, kAnswers };

/// How far reading came.
enum class ReadState {
  kHead,      ///< The head is not complete.
  kBody,      ///< The head is complete.
  kComplete,  ///< The message is complete.
  kBad,       ///< The bytes are not HTTP.
};

/// Reads one message from bytes.
class HttpMessageReader {
 public:
  explicit HttpMessageReader(MessageSide aSide);
  ~HttpMessageReader();
  HttpMessageReader(const HttpMessageReader&) = delete;
  HttpMessageReader& operator=(const HttpMessageReader&) = delete;

  /// Reads on; returns how many bytes belong to this message.
  std::size_t Read(std::string_view aBytes);
  /// The connection ended in order; completes an answer without a length.
  void ReadEnd();

  ReadState State() const;
  std::size_t HeadBytes() const;
  /// The heads are valid once State() is past kHead.
  RequestHead& Request();
  AnswerHead& Answer();
  /// Body bytes read since the last call.
  std::string TakeBody();
  /// For a reader of answers: the request was HEAD, so that no body follows.
  void ExpectNoBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace spindleweir
