/// Request and response bodies of /v1/chat/completions and /v1/completions.
#pragma once

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The parameters of a requested completion.
struct CompletionBody {
  bool mChat = true;  ///< Request came to the chat path.
  std::string mModel;
  std::string mPrompt;
  int mMaximumTokens = 16;
  bool mStream = false;
  bool mIncludeUsage = false;  ///< Send a usage event before a stream ends.
};

/// Parses a request body. Throws kMalformedJson or kBadField.
CompletionBody ReadCompletion(std::string_view aText, bool aChat);

/// Data of an answer from which bodies and events are built.
struct CompletionReply {
  std::string mRequest;
  Millis mCreatedWall = 0;
  int mPromptTokens = 0;
  int mTokens = 0;
  std::string mFinish;  ///< "stop" or "length"; empty until finished.
};

/// The body of an answer that isn't streamed.
Json::Value FullReply(const CompletionBody& aBody,
                      const CompletionReply& aReply, const std::string& aText);
/// One server-sent event of a stream, "data: {...}\n\n". aFirst: first event,
/// which also holds the role.
std::string StreamEvent(const CompletionBody& aBody,
                        const CompletionReply& aReply, std::string_view aText,
                        bool aFirst);
/// Writes the events between the first and the last. Their common parts are
/// serialized once, because a stream has many of them.
class StreamEventWriter {
 public:
  StreamEventWriter(const CompletionBody& aBody, const CompletionReply& aReply);
  std::string Write(std::string_view aText) const;

 private:
  std::string mPrefix;
  std::string mSuffix;
};

/// The usage event of a stream with mIncludeUsage.
std::string UsageEvent(const CompletionBody& aBody,
                       const CompletionReply& aReply);

/// A server-sent event that holds a JSON value.
std::string ToEvent(const Json::Value& aValue);

/// The last event of every stream that ends without an error.
inline constexpr std::string_view kStreamDone = "data: [DONE]\n\n";

}  // namespace spindleweir
