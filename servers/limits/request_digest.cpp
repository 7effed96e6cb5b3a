#include "spindleweir/servers/limits/request_digest.h"

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

/// 80 bits: a caller would need 2^80 trials to match another's digest.
constexpr std::size_t kDigits = 20;

/// Appends a part after its length, so that different parts cannot give the
/// same text.
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
