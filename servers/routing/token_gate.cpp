#include "spindleweir/servers/routing/token_gate.h"

namespace spindleweir {

const char* NameOf(TokenVerdict aVerdict) {
  switch (aVerdict) {
    case TokenVerdict::kDeliver:
      return "deliver";
    case TokenVerdict::kOtherRequest:
      return "other_request";
    case TokenVerdict::kOldAttempt:
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

TokenVerdict TokenGate::Check(const TokenFrame& aFrame) {
  if (aFrame.mRequest != mRequest) {
    return TokenVerdict::kOtherRequest;
  }
  if (aFrame.mAttempt != mAttempt) {
    return TokenVerdict::kOldAttempt;
  }
  if (mEnded) {
    return TokenVerdict::kAfterEnd;
  }
  if (aFrame.mIndex < mNext) {
    return TokenVerdict::kDuplicate;
  }
  if (aFrame.mIndex > mNext) {
    return TokenVerdict::kGap;
  }
  if (aFrame.mLayers != mLayers) {
    return TokenVerdict::kWrongLayers;
  }
  mNext++;
  mEnded = aFrame.mLast;
  return TokenVerdict::kDeliver;
}

}  // namespace spindleweir
