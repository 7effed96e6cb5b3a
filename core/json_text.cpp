#include "spindleweir/core/json_text.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr std::string_view kNumberCharacters = "+-.eE0123456789";
constexpr std::string_view kDigits = "0123456789";
/// Of an escape sequence \uXXXX.
constexpr std::size_t kUnitLength = 6;
/// Of the backslash and the character after it.
constexpr std::size_t kEscapeLength = 2;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr std::uint32_t kFirstHighSurrogate = 0xd800;
constexpr std::uint32_t kFirstLowSurrogate = 0xdc00;
constexpr std::uint32_t kLastLowSurrogate = 0xdfff;

[[noreturn]] void Reject(const char* aWhat) {
  throw Error(ResultCode::kMalformedJson, std::string("the text has ") + aWhat);
}

/// Number of bytes of the UTF-8 sequence at the start of a text; 0 if it is not
/// one. Longer forms than needed, surrogates and numbers above 0x10ffff are
/// not.
std::size_t SequenceLength(std::string_view aText) {
  const auto byte = [aText](std::size_t aIndex) {
    return static_cast<unsigned char>(aText[aIndex]);
  };
  const unsigned char first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  const std::size_t n = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
  if (first < 0xc2 || first > 0xf4 || aText.size() < n) {
    return 0;
  }
  for (std::size_t i = 1; i < n; i++) {
    if ((byte(i) & 0xc0) != 0x80) {
      return 0;
    }
  }
  const bool good = !(first == 0xe0 && byte(1) < 0xa0) &&
                    !(first == 0xed && byte(1) > 0x9f) &&
                    !(first == 0xf0 && byte(1) < 0x90) &&
                    !(first == 0xf4 && byte(1) > 0x8f);
  return good ? n : 0;
}

void CheckEncoding(std::string_view aText) {
  if (aText.starts_with("\xef\xbb\xbf")) {
    Reject("a byte order mark");
  }
  while (!aText.empty()) {
    const std::size_t n = SequenceLength(aText);
    if (n == 0) {
      Reject("bytes that are not UTF-8");
    }
    aText.remove_prefix(n);
  }
}

/// Removes digits from the start of a text; returns how many.
std::size_t SkipDigits(std::string_view& aText) {
  const std::size_t n =
      std::min(aText.find_first_not_of(kDigits), aText.size());
  aText.remove_prefix(n);
  return n;
}

bool IsNumber(std::string_view aText) {
  if (aText.starts_with('-')) {
    aText.remove_prefix(1);
  }
  const bool startsWithZero = aText.starts_with('0');
  const std::size_t n = SkipDigits(aText);
  if (n == 0 || (startsWithZero && n > 1)) {
    return false;
  }
  if (aText.starts_with('.')) {
    aText.remove_prefix(1);
    if (SkipDigits(aText) == 0) {
      return false;
    }
  }
  if (aText.starts_with('e') || aText.starts_with('E')) {
    aText.remove_prefix(1);
    if (aText.starts_with('+') || aText.starts_with('-')) {
      aText.remove_prefix(1);
    }
    if (SkipDigits(aText) == 0) {
      return false;
    }
  }
  return aText.empty();
}

/// The number of an escape sequence \uXXXX at the start of a text; 0 if there
/// is none.
std::uint32_t EscapedUnit(std::string_view aText) {
  if (aText.size() < kUnitLength || !aText.starts_with("\\u")) {
    return 0;
  }
  const std::string digits(
      aText.substr(kEscapeLength, kUnitLength - kEscapeLength));
  return static_cast<std::uint32_t>(std::strtoul(digits.c_str(), nullptr, 16));
}

/// Checks a string, and returns its length with both quotes.
std::size_t CheckString(std::string_view aText) {
  std::size_t i = 1;
  while (i < aText.size() && aText[i] != '"') {
    if (static_cast<unsigned char>(aText[i]) < kFirstPrintable) {
      Reject("a control character in a string");
    }
    if (aText[i] != '\\') {
      i++;
      continue;
    }
    const std::uint32_t unit = EscapedUnit(aText.substr(i));
    if (unit >= kFirstLowSurrogate && unit <= kLastLowSurrogate) {
      Reject("half a surrogate pair");
    }
    // JsonCpp requires the second half of a pair.
    const bool isPair =
        unit >= kFirstHighSurrogate && unit < kFirstLowSurrogate;
    i += isPair ? 2 * kUnitLength : kEscapeLength;
  }
  return std::min(i + 1, aText.size());
}

}  // namespace

void CheckJsonText(std::string_view aText) {
  CheckEncoding(aText);
  while (!aText.empty()) {
    if (aText.front() == '"') {
      aText.remove_prefix(CheckString(aText));
      continue;
    }
    const bool startsNumber =
        aText.front() == '+' || aText.front() == '-' ||
        kDigits.find(aText.front()) != std::string_view::npos;
    if (!startsNumber) {
      aText.remove_prefix(1);
      continue;
    }
    const std::size_t n =
        std::min(aText.find_first_not_of(kNumberCharacters), aText.size());
    if (!IsNumber(aText.substr(0, n))) {
      Reject("a number that is none");
    }
    aText.remove_prefix(n);
  }
}

}  // namespace spindleweir
