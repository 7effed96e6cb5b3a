#include "spindleweir/core/packing.h"

#include <openssl/evp.h>
#include <zlib.h>

#include <vector>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// Prefix of a packed text; no JSON text begins with it.
constexpr std::string_view kPrefix = "z1:";
/// The texts are long and repetitive, so the fastest level is enough.
constexpr int kCompressionLevel = 1;
constexpr std::size_t kBase64InputBytes = 3;
constexpr std::size_t kBase64OutputChars = 4;
/// Size of the text's length, which precedes the deflated bytes.
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

using Bytes = std::vector<unsigned char>;

[[noreturn]] void ThrowCorrupt(const char* aWhy) {
  throw Error(ResultCode::kDataCorrupt, std::string("packed text: ") + aWhy);
}

Bytes FromBase64(std::string_view aText) {
  if (aText.size() % kBase64OutputChars != 0 || aText.empty()) {
    ThrowCorrupt("invalid base64 length");
  }
  Bytes bytes(aText.size() / kBase64OutputChars * kBase64InputBytes);
  const int n = EVP_DecodeBlock(
      bytes.data(), reinterpret_cast<const unsigned char*>(aText.data()),
      static_cast<int>(aText.size()));
  if (n < 0) {
    ThrowCorrupt("base64");
  }
  // EVP_DecodeBlock decodes the padding as zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && aText[aText.size() - 1 - padding] == '=') {
    padding++;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

}  // namespace

std::string Pack(std::string_view aText) {
  uLongf n = compressBound(aText.size());
  Bytes bytes(kLengthBytes + n);
  for (std::size_t i = 0; i < kLengthBytes; i++) {
    bytes[i] = static_cast<unsigned char>((aText.size() >> (kBitsPerByte * i)) &
                                          kByteMask);
  }
  if (compress2(bytes.data() + kLengthBytes, &n,
                reinterpret_cast<const Bytef*>(aText.data()), aText.size(),
                kCompressionLevel) != Z_OK) {
    throw Error(ResultCode::kInternal, "zlib cannot compress the text");
  }
  bytes.resize(kLengthBytes + n);
  std::string encoded((bytes.size() + kBase64InputBytes - 1) /
                              kBase64InputBytes * kBase64OutputChars +
                          1,
                      '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                      bytes.data(), static_cast<int>(bytes.size()));
  encoded.resize(static_cast<std::size_t>(length));
  const bool shorter = kPrefix.size() + encoded.size() < aText.size();
  const bool hasPrefix = aText.starts_with(kPrefix);
  return shorter || hasPrefix ? std::string(kPrefix) + encoded
                              : std::string(aText);
}

std::string Unpack(std::string_view aPacked, std::size_t aMaxBytes) {
  if (!aPacked.starts_with(kPrefix)) {
    return std::string(aPacked);
  }
  const Bytes bytes = FromBase64(aPacked.substr(kPrefix.size()));
  if (bytes.size() < kLengthBytes) {
    ThrowCorrupt("the length is missing");
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; i++) {
    length |= static_cast<std::size_t>(bytes[i]) << (kBitsPerByte * i);
  }
  if (length > aMaxBytes) {
    ThrowCorrupt("the length exceeds the limit");
  }
  std::string text(length, '\0');
  uLongf n = length;
  const int result =
      uncompress(reinterpret_cast<Bytef*>(text.data()), &n,
                 bytes.data() + kLengthBytes, bytes.size() - kLengthBytes);
  if (result != Z_OK || n != length) {
    ThrowCorrupt("invalid deflated bytes");
  }
  return text;
}

}  // namespace spindleweir
