#include "spindleweir/servers/routing/token_filter.h"

namespace spindleweir {

const char* NameOf(TokenVerdict aVerdict) {
  switch (aVerdict) {
    case TokenVerdict::kDeliver:
      return "deliver";
    case TokenVerdict::kOtherRequest:
      return "other_request";
    case TokenVerdict::kStaleAttempt:
      return "old_attempt";
    case TokenVerdict::kDuplicate:
      return "duplicate";
    case TokenVerdict::kGap:
      return "gap";
    case TokenVerdict::kWrongLayers:
      return "wrong_layers";
    case TokenVerdict::kAfterEnd:
      return "after_end";
  }
  return "unknown";
}

TokenVerdict TokenFilter::Check(const TokenFrame& aFrame) {
  if (aFrame.mRequest != mRequest) {
    return TokenVerdict::kOtherRequest;
  }
  if (aFrame.mAttempt != mAttempt) {
    return TokenVerdict::kStaleAttempt;
  }
  if (mEnded) {
    return TokenVerdict::kAfterEnd;
  }
  if (aFrame.mIndex < mNextIndex) {
    return TokenVerdict::kDuplicate;
  }
  if (aFrame.mIndex > mNextIndex) {
    return TokenVerdict::kGap;
  }
  if (aFrame.mLayers != mLayers) {
    return TokenVerdict::kWrongLayers;
  }
  mNextIndex++;
  mEnded = aFrame.mLast;
  return TokenVerdict::kDeliver;
}

}  // namespace spindleweir
