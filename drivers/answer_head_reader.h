/// The head of an answer, checked before any parser reads it. The parsers pass
/// heads that they understand differently from the next reader: a name with a
/// blank in it, a line that goes on in the next one, a coding that is not
/// known. Whoever believes such a head takes other bytes for the body.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace spindleweir {

/// Answers with a lower status are interim ones.
inline constexpr int kMinFinalStatus = 200;

/// Progress of reading a head.
enum class HeadState {
  kIncomplete,  ///< More bytes are needed.
  kSound,       ///< The head of the final answer is complete.
  kBroken,      ///< The bytes are not the head of an answer.
};

/// Reads one answer's head by RFC 9112, 4 to 6, of whose transfer codings it
/// knows "chunked" alone. Interim answers (1xx) before it are checked alike and
/// left out.
class AnswerHeadReader {
 public:
  /// Reads bytes up to the end of the head; returns how many belong to it.
  std::size_t Read(std::string_view aBytes);
  HeadState State() const { return mState; }
  /// The complete head, each line ended by CR and LF, each field as
  /// "NAME: VALUE" without blanks around the value. Can be taken once.
  std::string TakeText() { return std::move(mText); }

 private:
  /// What of a line is being read.
  enum class Part { kStatusLine, kName, kValue };

  void ReadByte(char aByte);
  bool MayFollow(char aByte);
  void EndLine();
  bool ReadStatusLine();
  bool ReadField();
  /// What tells where the body ends is stated once, and in one way.
  bool ReadLength(std::string_view aValue);
  bool ReadCoding(std::string_view aValue);
  void EndHead();

  HeadState mState = HeadState::kIncomplete;
  Part mPart = Part::kStatusLine;
  std::size_t mBytes = 0;
  bool mAfterReturn = false;  ///< The last byte was a CR.
  std::string mLine;
  std::size_t mNameBytes = 0;
  int mStatus = 0;
  bool mHasLength = false;
  bool mIsChunked = false;
  std::string mText;
};

}  // namespace spindleweir
