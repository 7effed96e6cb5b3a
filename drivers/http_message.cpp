#include "spindleweir/drivers/http_message.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <cctype>

#include "drivers/answer_head_reader.h"

namespace spindleweir {

bool IsHeaderName(std::string_view aText) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(),
                     [kOthers](unsigned char aByte) {
                       return std::isalnum(aByte) != 0 ||
                              kOthers.find(static_cast<char>(aByte)) !=
                                  std::string_view::npos;
                     });
}

bool SameHeaderName(std::string_view aLeft, std::string_view aRight) {
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool IsSuccess(int aStatus) {
  return aStatus >= 200 && aStatus < 300;
}

bool MayHaveBody(int aStatus) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus / 100 != 1 && aStatus != kNoContent && aStatus != kNotModified;
}

const std::string* FindHeader(const HttpHeaders& aHeaders,
                              std::string_view aName) {
  for (const HttpHeader& header : aHeaders) {
    if (SameHeaderName(header.mName, aName)) {
      return &header.mValue;
    }
  }
  return nullptr;
}

std::size_t CountHeader(const HttpHeaders& aHeaders, std::string_view aName) {
  return static_cast<std::size_t>(std::count_if(
      aHeaders.begin(), aHeaders.end(), [aName](const HttpHeader& aHeader) {
        return SameHeaderName(aHeader.mName, aName);
      }));
}

namespace {

/// Whether a Connection header names this header.
bool ListsName(std::string_view aList, std::string_view aName) {
  while (!aList.empty()) {
    const std::size_t n = std::min(aList.find(','), aList.size());
    std::string_view item = aList.substr(0, n);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (SameHeaderName(item, aName)) {
      return true;
    }
    aList.remove_prefix(std::min(n + 1, aList.size()));
  }
  return false;
}

}  // namespace

bool ResolveTarget(RequestHead& aHead) {
  constexpr std::string_view kScheme = "http://";
  const std::string_view target = aHead.mTarget;
  if (target.size() <= kScheme.size() ||
      !SameHeaderName(target.substr(0, kScheme.size()), kScheme)) {
    return target.starts_with('/');
  }
  const std::string_view rest = target.substr(kScheme.size());
  const std::size_t n = std::min(rest.find_first_of("/?"), rest.size());
  const std::string authority(rest.substr(0, n));
  const bool isUsable =
      !authority.empty() && authority.find('@') == std::string::npos;
  if (!isUsable) {
    return false;
  }
  std::string path(rest.substr(n));
  if (!path.starts_with('/')) {
    path.insert(0, 1, '/');
  }
  aHead.mTarget = std::move(path);
  for (HttpHeader& header : aHead.mHeaders) {
    if (SameHeaderName(header.mName, "Host")) {
      header.mValue = authority;
    }
  }
  return true;
}

bool IsConnectionHeader(const HttpHeaders& aHeaders, std::string_view aName) {
  constexpr std::string_view kNames[] = {
      "Connection",        "Keep-Alive", "Proxy-Connection", "TE",
      "Transfer-Encoding", "Trailer",    "Upgrade",          "Content-Length"};
  for (std::string_view name : kNames) {
    if (SameHeaderName(name, aName)) {
      return true;
    }
  }
  if (SameHeaderName(aName, "Host")) {
    return false;
  }
  for (const HttpHeader& header : aHeaders) {
    if (SameHeaderName(header.mName, "Connection") &&
        ListsName(header.mValue, aName)) {
      return true;
    }
  }
  return false;
}

namespace {

/// What http_parser's callback for the end of a head returns.
constexpr int kReadsBody = 0;
constexpr int kHasNoBody = 1;
constexpr int kIsBad = 3;

}  // namespace

struct HttpMessageReader::Impl {
  explicit Impl(MessageSide aSide) {
    http_parser_init(&mParser, aSide == MessageSide::kRequests ? HTTP_REQUEST
                                                               : HTTP_RESPONSE);
    mParser.data = this;
  }

  static Impl& Of(http_parser* aParser) {
    return *static_cast<Impl*>(aParser->data);
  }

  static int HandleUrl(http_parser* aParser, const char* aAt, std::size_t aN) {
    Of(aParser).mRequest.mTarget.append(aAt, aN);
    return 0;
  }

  static int HandleField(http_parser* aParser, const char* aAt,
                         std::size_t aN) {
    Impl& self = Of(aParser);
    if (self.mInBody) {
      return 0;  // Trailers are not forwarded.
    }
    if (!self.mInField) {
      self.mHeaders.emplace_back();
      self.mInField = true;
    }
    self.mHeaders.back().mName.append(aAt, aN);
    return 0;
  }

  static int HandleValue(http_parser* aParser, const char* aAt,
                         std::size_t aN) {
    Impl& self = Of(aParser);
    if (!self.mInBody) {
      self.mInField = false;
      self.mHeaders.back().mValue.append(aAt, aN);
    }
    return 0;
  }

  static int HandleHead(http_parser* aParser) {
    Impl& self = Of(aParser);
    self.mInBody = true;
    if (!self.AcceptsHead()) {
      return kIsBad;
    }
    // Upgrades are not supported: the request is served as HTTP/1.1.
    aParser->upgrade = 0;
    self.mRequest.mMethod =
        http_method_str(static_cast<http_method>(aParser->method));
    self.mRequest.mKeepAlive = http_should_keep_alive(aParser) != 0;
    self.mRequest.mMinor = aParser->http_minor;
    self.mAnswer.mStatus = static_cast<int>(aParser->status_code);
    const bool hasNoBody = self.mNoBody || (!self.mIsRequest &&
                                            !MayHaveBody(self.mAnswer.mStatus));
    self.mAnswer.mUntilClose = !hasNoBody && EndsWithConnection(aParser);
    (self.mIsRequest ? self.mRequest.mHeaders : self.mAnswer.mHeaders) =
        std::move(self.mHeaders);
    self.mState = ReadState::kBody;
    // The parser would read a body by a Content-Length that such an answer may
    // state, and bytes that belong to no answer would be taken for it.
    return hasNoBody ? kHasNoBody : kReadsBody;
  }

  /// Checks what the parser lets pass. A blank in a name hides a header from
  /// one reader and not from the next (RFC 9112, 5.1).
  bool AcceptsHead() {
    mIsOtherVersion = mParser.http_major != 1;
    return !mIsOtherVersion && std::all_of(mHeaders.begin(), mHeaders.end(),
                                           [](const HttpHeader& aHeader) {
                                             return IsHeaderName(aHeader.mName);
                                           });
  }

  static int HandleBody(http_parser* aParser, const char* aAt, std::size_t aN) {
    Of(aParser).mBody.append(aAt, aN);
    return 0;
  }

  static int HandleComplete(http_parser* aParser) {
    Impl& self = Of(aParser);
    self.mState = ReadState::kComplete;
    http_parser_pause(aParser, 1);
    return 0;
  }

  /// Reads bytes of an answer's head; the parser gets it once it is complete
  /// and sound. Returns how many bytes belong to the head.
  std::size_t ReadAnswerHead(std::string_view aBytes) {
    const std::size_t n = mHeadReader.Read(aBytes);
    if (mHeadReader.State() == HeadState::kBroken) {
      mState = ReadState::kBad;
    } else if (mHeadReader.State() == HeadState::kSound) {
      Parse(mHeadReader.TakeText());
    }
    return n;
  }

  /// Lets the parser read bytes; returns how many belong to the message.
  std::size_t Parse(std::string_view aBytes) {
    if (aBytes.empty()) {
      return 0;  // The parser takes no bytes for the end of the connection.
    }
    const bool inHead = mState == ReadState::kHead;
    const std::size_t n = http_parser_execute(&mParser, &Settings(),
                                              aBytes.data(), aBytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&mParser);
    if (error != HPE_OK && error != HPE_PAUSED) {
      mState = ReadState::kBad;
    }
    if (inHead) {
      mHeadBytes += n;
    }
    return n;
  }

  static bool EndsWithConnection(const http_parser* aParser) {
    return aParser->type == HTTP_RESPONSE &&
           (aParser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = &Impl::HandleUrl;
      settings.on_header_field = &Impl::HandleField;
      settings.on_header_value = &Impl::HandleValue;
      settings.on_headers_complete = &Impl::HandleHead;
      settings.on_body = &Impl::HandleBody;
      settings.on_message_complete = &Impl::HandleComplete;
      return settings;
    }();
    return kSettings;
  }

  http_parser mParser{};
  AnswerHeadReader mHeadReader;
  bool mIsRequest = false;
  bool mInField = false;
  bool mInBody = false;
  bool mNoBody = false;
  bool mIsOtherVersion = false;
  ReadState mState = ReadState::kHead;
  std::size_t mHeadBytes = 0;
  HttpHeaders mHeaders;
  RequestHead mRequest;
  AnswerHead mAnswer;
  std::string mBody;
};

HttpMessageReader::HttpMessageReader(MessageSide aSide)
    : mImpl(std::make_unique<Impl>(aSide)) {
  mImpl->mIsRequest = aSide == MessageSide::kRequests;
}

HttpMessageReader::~HttpMessageReader() = default;

std::size_t HttpMessageReader::Read(std::string_view aBytes) {
  Impl& impl = *mImpl;
  if (impl.mState == ReadState::kComplete || impl.mState == ReadState::kBad) {
    return 0;
  }
  const bool inAnswerHead = !impl.mIsRequest && impl.mState == ReadState::kHead;
  if (!inAnswerHead) {
    return impl.Parse(aBytes);
  }
  const std::size_t n = impl.ReadAnswerHead(aBytes);
  return impl.mState == ReadState::kBody ? n + impl.Parse(aBytes.substr(n)) : n;
}

void HttpMessageReader::ReadEnd() {
  Impl& impl = *mImpl;
  if (impl.mState == ReadState::kBody && impl.mAnswer.mUntilClose) {
    impl.mState = ReadState::kComplete;
  }
}

ReadState HttpMessageReader::State() const {
  return mImpl->mState;
}

std::size_t HttpMessageReader::HeadBytes() const {
  return mImpl->mHeadBytes;
}

bool HttpMessageReader::IsOtherVersion() const {
  return mImpl->mIsOtherVersion;
}

RequestHead& HttpMessageReader::Request() {
  return mImpl->mRequest;
}

AnswerHead& HttpMessageReader::Answer() {
  return mImpl->mAnswer;
}

std::string HttpMessageReader::TakeBody() {
  std::string body = std::move(mImpl->mBody);
  mImpl->mBody.clear();
  return body;
}

void HttpMessageReader::ExpectNoBody() {
  mImpl->mNoBody = true;
}

}  // namespace spindleweir
