#include "spindleweir/servers/limits/request_digest.h"

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

/// 80 bits: callers would need 2^80 trials to meet another's.
constexpr std::size_t kDigits = 20;

/// Behind its length, so that no part can run into the next.
void Append(std::string& aText, std::string_view aPart) {
  aText += std::to_string(aPart.size());
  aText += ' ';
  aText += aPart;
}

}  // namespace

std::string RequestDigest(const RequestParts& aParts) {
  std::string text;
  for (const std::string_view part :
       {aParts.mWorkspace, aParts.mHost, aParts.mTarget, aParts.mBody}) {
    Append(text, part);
  }
  return Sha256Hex(text).substr(0, kDigits);
}

}  // namespace spindleweir
