#include "spindleweir/core/packing.h"

#include <openssl/evp.h>
#include <zlib.h>

#include <vector>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// Stands before a packed text; no JSON begins so.
constexpr std::string_view kMark = "z1:";
/// Texts are long and much alike within: the fastest level is enough.
constexpr int kLevel = 1;
constexpr std::size_t kBytesIn = 3;
constexpr std::size_t kSignsOut = 4;
/// The length of the text stands before the deflated bytes.
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

using Bytes = std::vector<unsigned char>;

[[noreturn]] void ThrowCorrupt(const char* aWhy) {
  throw Error(ResultCode::kDataCorrupt, std::string("packed text: ") + aWhy);
}

Bytes FromBase64(std::string_view aText) {
  if (aText.size() % kSignsOut != 0 || aText.empty()) {
    ThrowCorrupt("length of base64");
  }
  Bytes bytes(aText.size() / kSignsOut * kBytesIn);
  const int n = EVP_DecodeBlock(
      bytes.data(), reinterpret_cast<const unsigned char*>(aText.data()),
      static_cast<int>(aText.size()));
  if (n < 0) {
    ThrowCorrupt("base64");
  }
  // The padding was decoded as zeros.
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
                kLevel) != Z_OK) {
    throw Error(ResultCode::kInternal, "a text cannot be packed");
  }
  bytes.resize(kLengthBytes + n);
  std::string signs((bytes.size() + kBytesIn - 1) / kBytesIn * kSignsOut + 1,
                    '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(signs.data()),
                      bytes.data(), static_cast<int>(bytes.size()));
  signs.resize(static_cast<std::size_t>(length));
  const bool shorter = kMark.size() + signs.size() < aText.size();
  const bool marked = aText.starts_with(kMark);
  return shorter || marked ? std::string(kMark) + signs : std::string(aText);
}

std::string Unpack(std::string_view aPacked, std::size_t aMost) {
  if (!aPacked.starts_with(kMark)) {
    return std::string(aPacked);
  }
  const Bytes bytes = FromBase64(aPacked.substr(kMark.size()));
  if (bytes.size() < kLengthBytes) {
    ThrowCorrupt("no length");
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; i++) {
    length |= static_cast<std::size_t>(bytes[i]) << (kBitsPerByte * i);
  }
  if (length > aMost) {
    ThrowCorrupt("too long");
  }
  std::string text(length, '\0');
  uLongf n = length;
  const int result =
      uncompress(reinterpret_cast<Bytef*>(text.data()), &n,
                 bytes.data() + kLengthBytes, bytes.size() - kLengthBytes);
  if (result != Z_OK || n != length) {
    ThrowCorrupt("deflated bytes");
  }
  return text;
}

}  // namespace spindleweir
