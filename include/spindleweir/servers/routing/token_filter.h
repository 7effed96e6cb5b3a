/// Delivers to a caller only the next token of its own request and attempt.
#pragma once

#include <cstdint>
#include <string>

namespace spindleweir {

/// One token as the last engine of a chain sends it.
struct TokenFrame {
  std::string mRequest;
  int mAttempt = 0;
  int mIndex = 0;   ///< From 0, over all attempts.
  int mLayers = 0;  ///< Number of layers that were run for it.
  std::string mText;
  bool mLast = false;
  std::string mError;   ///< Set if the chain broke; then there is no token.
  std::string mFailed;  ///< The engine that failed, if known.

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

/// Result of checking a frame.
enum class TokenVerdict {
  kDeliver,       ///< Pass it to the caller.
  kOtherRequest,  ///< Of another request: an upstream error.
  kStaleAttempt,  ///< Of an abandoned attempt.
  kDuplicate,     ///< Its index is already delivered.
  kGap,           ///< A previous index is missing.
  kWrongLayers,   ///< Not all layers were run.
  kAfterEnd,      ///< It follows the last token.
};

/// Name of a verdict in counters and logs.
const char* NameOf(TokenVerdict aVerdict);

/// Checks the token frames of one request.
class TokenFilter {
 public:
  TokenFilter(std::string aRequest, int aLayers)
      : mRequest(std::move(aRequest)), mLayers(aLayers) {}

  /// Begins a further attempt and returns its number; frames of earlier
  /// attempts are rejected from now on.
  int BeginAttempt() { return ++mAttempt; }
  TokenVerdict Check(const TokenFrame& aFrame);

  int Attempt() const { return mAttempt; }
  /// Number of delivered tokens, which is the next expected index.
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
