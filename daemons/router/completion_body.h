/// The bodies of /v1/chat/completions and /v1/completions: in and out.
#pragma once

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// A completion as a caller asks for it.
struct CompletionBody {
  bool mChat = true;  ///< Of which of the two paths it came by.
  std::string mModel;
  std::string mPrompt;
  int mMaximumTokens = 16;
  bool mStream = false;
  bool mIncludeUsage = false;  ///< A usage chunk at the end of a stream.
};

/// Reads a body; throws kMalformedJson or kBadField.
CompletionBody ReadCompletion(std::string_view aText, bool aChat);

/// What an answer's parts are made from.
struct CompletionReply {
  std::string mRequest;
  Millis mCreatedWall = 0;
  int mPromptTokens = 0;
  int mTokens = 0;
  std::string mFinish;  ///< "stop" or "length"; empty while it goes on.
};

/// The whole answer.
Json::Value FullReply(const CompletionBody& aBody,
                      const CompletionReply& aReply, const std::string& aText);
/// One event of a stream, "data: {...}\n\n".
std::string StreamEvent(const CompletionBody& aBody,
                        const CompletionReply& aReply, std::string_view aText,
                        bool aFirst);
/// Writes the events between the first and the last, of which there are many:
/// what is the same in all of them is made once.
class StreamEventWriter {
 public:
  StreamEventWriter(const CompletionBody& aBody, const CompletionReply& aReply);
  std::string Write(std::string_view aText) const;

 private:
  std::string mPrefix;
  std::string mSuffix;
};

/// The usage event of a stream that asked for one.
std::string UsageEvent(const CompletionBody& aBody,
                       const CompletionReply& aReply);

/// An event with any JSON value.
std::string ToEvent(const Json::Value& aValue);

/// How every stream ends.
inline constexpr std::string_view kStreamDone = "data: [DONE]\n\n";

}  // namespace spindleweir
