#include "daemons/router/completion_body.h"

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr int kMaxTokens = 65536;
constexpr Millis kMillisPerSecond = 1000;

/// One message of a chat request.
struct ChatMessage {
  std::string mRole;
  Json::Value mContent;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("role", mRole);
    aCodec.Required("content", mContent);
  }
};

/// The supported part of stream_options.
struct StreamOptions {
  bool mIncludeUsage = false;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("include_usage", mIncludeUsage);
  }
};

/// The fields of both bodies that the router uses. Clients send others, which
/// are meant for the engines and are ignored here.
struct RawBody {
  std::string mModel;
  std::vector<ChatMessage> mMessages;
  Json::Value mPrompt;
  int mMaximumTokens = -1;
  int mMaximumCompletionTokens = -1;
  int mChoices = 1;
  bool mStream = false;
  StreamOptions mStreamOptions;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("model", mModel);
    aCodec.Field("messages", mMessages);
    aCodec.Field("prompt", mPrompt);
    aCodec.Field("max_tokens", mMaximumTokens);
    aCodec.Field("max_completion_tokens", mMaximumCompletionTokens);
    aCodec.Field("n", mChoices);
    aCodec.Field("stream", mStream);
    aCodec.Field("stream_options", mStreamOptions);
  }
};

[[noreturn]] void ThrowBadField(const std::string& aMessage) {
  throw Error(ResultCode::kBadField, aMessage);
}

/// The text of a message: a string or an array of text parts. Throws kBadField
/// for any other value of the field aField.
std::string TextOf(const Json::Value& aContent, const std::string& aField) {
  if (aContent.isString()) {
    return aContent.asString();
  }
  if (!aContent.isArray()) {
    ThrowBadField(aField + " must be a string or an array of text parts");
  }
  std::string text;
  for (const Json::Value& part : aContent) {
    if (!part.isObject() || !part["text"].isString()) {
      ThrowBadField(aField + " may hold text parts only");
    }
    text += part["text"].asString();
  }
  return text;
}

std::string ChatPrompt(const RawBody& aRaw) {
  if (aRaw.mMessages.empty()) {
    ThrowBadField("messages must hold at least one message");
  }
  std::string prompt;
  for (const ChatMessage& message : aRaw.mMessages) {
    prompt += message.mRole + ": " +
              TextOf(message.mContent, "messages.content") + "\n";
  }
  return prompt;
}

int MaxTokensOf(const RawBody& aRaw) {
  const int requested = aRaw.mMaximumCompletionTokens != -1
                            ? aRaw.mMaximumCompletionTokens
                            : aRaw.mMaximumTokens;
  if (requested == -1) {
    return CompletionBody{}.mMaximumTokens;
  }
  if (requested < 1 || requested > kMaxTokens) {
    ThrowBadField("max_tokens must be 1 to 65536");
  }
  return requested;
}

Json::Value Frame(const CompletionBody& aBody, const CompletionReply& aReply,
                  bool aStreamed) {
  Json::Value frame(Json::objectValue);
  frame["id"] = aReply.mRequest;
  frame["created"] =
      static_cast<Json::Int64>(aReply.mCreatedWall / kMillisPerSecond);
  frame["model"] = aBody.mModel;
  if (aBody.mChat) {
    frame["object"] = aStreamed ? "chat.completion.chunk" : "chat.completion";
  } else {
    frame["object"] = "text_completion";
  }
  return frame;
}

Json::Value Usage(const CompletionReply& aReply) {
  Json::Value usage(Json::objectValue);
  usage["prompt_tokens"] = aReply.mPromptTokens;
  usage["completion_tokens"] = aReply.mTokens;
  usage["total_tokens"] = aReply.mPromptTokens + aReply.mTokens;
  return usage;
}

Json::Value Choice(const CompletionReply& aReply) {
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["finish_reason"] =
      aReply.mFinish.empty() ? Json::Value() : Json::Value(aReply.mFinish);
  return choice;
}

}  // namespace

CompletionBody ReadCompletion(std::string_view aText, bool aChat) {
  const auto raw = FromJson<RawBody>(ParseJson(aText));
  if (raw.mChoices != 1) {
    ThrowBadField("n must be 1");
  }
  CompletionBody body;
  body.mChat = aChat;
  body.mModel = raw.mModel;
  body.mMaximumTokens = MaxTokensOf(raw);
  body.mStream = raw.mStream;
  body.mIncludeUsage = raw.mStreamOptions.mIncludeUsage;
  if (aChat) {
    body.mPrompt = ChatPrompt(raw);
  } else if (raw.mPrompt.isString()) {
    body.mPrompt = raw.mPrompt.asString();
  } else {
    ThrowBadField("prompt must be a string");
  }
  return body;
}

Json::Value FullReply(const CompletionBody& aBody,
                      const CompletionReply& aReply, const std::string& aText) {
  Json::Value reply = Frame(aBody, aReply, false);
  Json::Value choice = Choice(aReply);
  if (aBody.mChat) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = aText;
  } else {
    choice["text"] = aText;
  }
  reply["choices"].append(choice);
  reply["usage"] = Usage(aReply);
  return reply;
}

std::string StreamEvent(const CompletionBody& aBody,
                        const CompletionReply& aReply, std::string_view aText,
                        bool aFirst) {
  Json::Value event = Frame(aBody, aReply, true);
  Json::Value choice = Choice(aReply);
  const std::string text(aText);
  if (aBody.mChat) {
    choice["delta"] = Json::Value(Json::objectValue);
    if (aFirst) {
      choice["delta"]["role"] = "assistant";
    }
    if (!text.empty()) {
      choice["delta"]["content"] = text;
    }
  } else {
    choice["text"] = text;
  }
  event["choices"].append(choice);
  return ToEvent(event);
}

StreamEventWriter::StreamEventWriter(const CompletionBody& aBody,
                                     const CompletionReply& aReply) {
  // JSON writes this text without escapes, and a model name can't contain it.
  constexpr std::string_view kPlaceholder = "<text>";
  const std::string event = StreamEvent(aBody, aReply, kPlaceholder, false);
  const std::size_t at = event.find("\"<text>\"");
  mPrefix = event.substr(0, at);
  mSuffix = event.substr(at + kPlaceholder.size() + 2);
}

std::string StreamEventWriter::Write(std::string_view aText) const {
  return mPrefix + DumpJson(std::string(aText)) + mSuffix;
}

std::string UsageEvent(const CompletionBody& aBody,
                       const CompletionReply& aReply) {
  Json::Value event = Frame(aBody, aReply, true);
  event["choices"] = Json::Value(Json::arrayValue);
  event["usage"] = Usage(aReply);
  return ToEvent(event);
}

std::string ToEvent(const Json::Value& aValue) {
  return "data: " + DumpJson(aValue) + "\n\n";
}

}  // namespace spindleweir
