/// Lets through to a caller only the tokens that are its own and next.
#pragma once

#include <cstdint>
#include <string>

namespace spindleweir {

/// One token as the last engine of a chain sends it.
struct TokenFrame {
  std::string mRequest;
  int mAttempt = 0;
  int mIndex = 0;   ///< From 0, over all attempts.
  int mLayers = 0;  ///< Layers that were run for it.
  std::string mText;
  bool mLast = false;
  std::string mError;   ///< Set where the chain broke; then no token.
  std::string mFailed;  ///< The engine that broke, where known.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("request", mRequest);
    aCodec.Required("attempt", mAttempt);
    aCodec.Field("index", mIndex);
    aCodec.Field("layers", mLayers);
    aCodec.Field("text", mText);
    aCodec.Field("last", mLast);
    aCodec.Field("error", mError);
    aCodec.Field("failed", mFailed);
  }
};

/// What the gate says of a frame.
enum class TokenVerdict {
  kDeliver,       ///< Give it to the caller.
  kOtherRequest,  ///< Of another request: the upstream is at fault.
  kStaleAttempt,  ///< Of an attempt that was given up.
  kDuplicate,     ///< An index already delivered.
  kGap,           ///< An index is missing before it.
  kWrongLayers,   ///< Not every layer was run.
  kAfterEnd,      ///< After the last token.
};

/// The name of a verdict, for counters and logs.
const char* NameOf(TokenVerdict aVerdict);

/// The gate of one request.
class TokenFilter {
 public:
  TokenFilter(std::string aRequest, int aLayers)
      : mRequest(std::move(aRequest)), mLayers(aLayers) {}

  /// Begins a further attempt; frames of earlier ones are refused from now.
  int BeginAttempt() { return ++mAttempt; }
  TokenVerdict Check(const TokenFrame& aFrame);

  int Attempt() const { return mAttempt; }
  /// Tokens delivered: the index that comes next.
  int Delivered() const { return mNextIndex; }
  bool Ended() const { return mEnded; }

 private:
  std::string mRequest;
  int mLayers;
  int mAttempt = 0;
  int mNextIndex = 0;
  bool mEnded = false;
};

}  // namespace spindleweir
