/// Answers whose heads are broken, and sound ones that look unusual, for a
/// RawUpstream to send. What is broken follows RFC 9112, 4 to 6, and RFC 9110,
/// 5 and 15.
#pragma once

#include <string>
#include <vector>

namespace spindleweir {

/// One answer, byte by byte, signed as the plain protocol asks.
struct AnswerForm {
  std::string mWhat;   ///< For messages.
  std::string mBytes;  ///< The whole answer.
  int mStatus = 200;   ///< Of a sound one.
  std::string mBody;   ///< Of a sound one, as its caller should read it.
};

/// Fields whose names or lines are broken.
std::vector<AnswerForm> AnswersWithBrokenFields();
/// Lines that are no status line.
std::vector<AnswerForm> AnswersWithBrokenStatusLines();
/// Lengths and codings that leave open where the body ends.
std::vector<AnswerForm> AnswersWithBrokenFraming();
/// All of the above.
std::vector<AnswerForm> BrokenAnswers();

/// Sound ones without interim answers before them.
std::vector<AnswerForm> SoundFinalAnswers();
std::vector<AnswerForm> SoundAnswersAfterInterimOnes();
/// Both.
std::vector<AnswerForm> SoundAnswers();

}  // namespace spindleweir
