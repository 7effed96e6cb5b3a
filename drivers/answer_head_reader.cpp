#include "drivers/answer_head_reader.h"

#include <charconv>
#include <cstdint>

#include "spindleweir/drivers/http_message.h"

namespace spindleweir {

namespace {

/// How a status line begins; # stands for a digit.
constexpr std::string_view kStatusLineStart = "HTTP/1.# ###";
constexpr std::size_t kMinorVersionAt = 7;
constexpr std::size_t kStatusAt = 9;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
/// Of all heads of one answer together, so that interim ones without end end.
constexpr std::size_t kMaxHeadBytes = std::size_t{80} * 1024;

bool IsDigit(char aByte) {
  return aByte >= '0' && aByte <= '9';
}

/// Whether a byte may stand in a value or a reason.
bool IsText(char aByte) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte);
  return byte == '\t' || (byte >= ' ' && byte != kDelete);
}

/// Removes the blanks around a value.
std::string_view Trimmed(std::string_view aText) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) + 1 - first);
}

bool IsNumber(std::string_view aText) {
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result =
      std::from_chars(aText.data(), end, number);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace

std::size_t AnswerHeadReader::Read(std::string_view aBytes) {
  std::size_t used = 0;
  while (used < aBytes.size() && mState == HeadState::kIncomplete) {
    ReadByte(aBytes[used]);
    used++;
  }
  return used;
}

void AnswerHeadReader::ReadByte(char aByte) {
  mBytes++;
  if (mBytes > kMaxHeadBytes) {
    mState = HeadState::kBroken;
    return;
  }
  if (aByte == '\n') {
    EndLine();
    return;
  }
  // A CR alone ends a line for some readers and not for others.
  if (mAfterReturn) {
    mState = HeadState::kBroken;
    return;
  }
  if (aByte == '\r') {
    mAfterReturn = true;
    return;
  }
  if (!MayFollow(aByte)) {
    mState = HeadState::kBroken;
    return;
  }
  mLine += aByte;
}

bool AnswerHeadReader::MayFollow(char aByte) {
  switch (mPart) {
    case Part::kStatusLine: {
      const std::size_t n = mLine.size();
      if (n < kStatusLineStart.size()) {
        const char expected = kStatusLineStart[n];
        return expected == '#' ? IsDigit(aByte) : aByte == expected;
      }
      return n == kStatusLineStart.size() ? aByte == ' ' : IsText(aByte);
    }
    case Part::kName:
      if (aByte != ':' || mLine.empty()) {
        return IsHeaderName({&aByte, 1});
      }
      mNameBytes = mLine.size();
      mPart = Part::kValue;
      return true;
    case Part::kValue:
      return IsText(aByte);
  }
  return false;
}

void AnswerHeadReader::EndLine() {
  mAfterReturn = false;
  const bool endsHead = mPart == Part::kName && mLine.empty();
  if (endsHead) {
    EndHead();
    return;
  }
  const bool sound =
      mPart == Part::kStatusLine ? ReadStatusLine() : ReadField();
  if (!sound) {
    mState = HeadState::kBroken;
    return;
  }
  mLine.clear();
  mPart = Part::kName;
}

bool AnswerHeadReader::ReadStatusLine() {
  if (mLine.size() < kStatusLineStart.size()) {
    return false;
  }
  (void)std::from_chars(mLine.data() + kStatusAt,
                        mLine.data() + kStatusLineStart.size(), mStatus);
  mText = mLine + "\r\n";
  mHasLength = false;
  mIsChunked = false;
  return mStatus >= kMinStatus && mStatus <= kMaxStatus;
}

bool AnswerHeadReader::ReadField() {
  if (mPart != Part::kValue) {
    return false;
  }
  const std::string_view line = mLine;
  const std::string_view name = line.substr(0, mNameBytes);
  const std::string_view value = Trimmed(line.substr(mNameBytes + 1));
  mText.append(name).append(": ").append(value).append("\r\n");
  if (SameHeaderName(name, "Content-Length")) {
    return ReadLength(value);
  }
  return !SameHeaderName(name, "Transfer-Encoding") || ReadCoding(value);
}

bool AnswerHeadReader::ReadLength(std::string_view aValue) {
  const bool isOnly = !mHasLength && !mIsChunked;
  mHasLength = true;
  return isOnly && IsNumber(aValue);
}

bool AnswerHeadReader::ReadCoding(std::string_view aValue) {
  // Another coding would reach the caller in the body, without its name.
  const bool isOnly = !mHasLength && !mIsChunked;
  const bool isKnown =
      mText[kMinorVersionAt] != '0' && SameHeaderName(aValue, "chunked");
  mIsChunked = true;
  return isOnly && isKnown;
}

void AnswerHeadReader::EndHead() {
  if (mStatus >= kMinFinalStatus) {
    mText += "\r\n";
    mState = HeadState::kSound;
    return;
  }
  mPart = Part::kStatusLine;
  mStatus = 0;
}

}  // namespace spindleweir
