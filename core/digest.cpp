#include "spindleweir/core/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <span>
#include <vector>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

std::string ToHex(std::span<const unsigned char> aBytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (unsigned char byte : aBytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view aBytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  if (EVP_Digest(aBytes.data(), aBytes.size(), buf.data(), &n, EVP_sha256(),
                 nullptr) != 1) {
    throw Error(ResultCode::kInternal, "SHA-256 is not available");
  }
  return ToHex(std::span(buf).first(n));
}

std::uint64_t FastHash(std::string_view aBytes, std::uint64_t aSeed) {
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string RandomHex(int aBytes) {
  std::vector<unsigned char> buf(static_cast<std::size_t>(aBytes));
  if (RAND_bytes(buf.data(), aBytes) != 1) {
    throw Error(ResultCode::kInternal, "the system's random generator failed");
  }
  return ToHex(buf);
}

}  // namespace spindleweir
