#include "standins/answer_forms.h"

#include <iterator>
#include <string_view>

namespace spindleweir {

namespace {

constexpr const char* kOk = "HTTP/1.1 200 OK";
constexpr const char* kSignature = "X-Signature: raw\r\n";
constexpr const char* kLength = "Content-Length: 4\r\n";
constexpr const char* kCoding = "Transfer-Encoding: chunked\r\n";
constexpr const char* kBody = "body";
constexpr const char* kChunks = "4\r\nbody\r\n0\r\n\r\n";

/// A broken line, and a name for it.
struct Line {
  const char* mWhat;
  std::string mText;
};

std::string Answer(const std::string& aStatusLine, const std::string& aFields,
                   const std::string& aBody) {
  return aStatusLine + "\r\n" + aFields + kSignature + "\r\n" + aBody;
}

std::string Bytes(std::string_view aText) {
  return std::string(aText);
}

const std::vector<Line>& BrokenLines() {
  using namespace std::string_view_literals;
  static const std::vector<Line> kLines = {
      {"a blank in a name", "X A: 1\r\n"},
      {"a blank before the colon", "X-A : 1\r\n"},
      {"a tab before the colon", "X-A\t: 1\r\n"},
      {"a control byte in a name", "X\x01-A: 1\r\n"},
      {"a zero byte in a name", Bytes("X\0A: 1\r\n"sv)},
      {"a delete in a name", "X\x7f-A: 1\r\n"},
      {"a byte above ASCII in a name", "X\xe9-A: 1\r\n"},
      {"a bracket in a name", "X(A): 1\r\n"},
      {"no name", ": 1\r\n"},
      {"no colon", "nonsense\r\n"},
      {"no colon, with blanks", "this line is no field\r\n"},
      {"a line of one blank", " \r\n"},
      {"a line of one tab", "\t\r\n"},
      {"a field that goes on after a blank", "X-A: 1\r\n 2\r\n"},
      {"a field that goes on after a tab", "X-A: 1\r\n\t2\r\n"},
      {"a line that begins with a blank", " X-A: 1\r\n"},
      {"a control byte in a value", "X-A: 1\x01\r\n"},
      {"a zero byte in a value", Bytes("X-A: 1\0\r\n"sv)},
      {"a return in a value", "X-A: 1\r2\r\n"}};
  return kLines;
}

AnswerForm Broken(const std::string& aWhat, std::string aBytes) {
  return {.mWhat = aWhat, .mBytes = std::move(aBytes)};
}

void Append(std::vector<AnswerForm>& aForms, std::vector<AnswerForm> aMore) {
  aForms.insert(aForms.end(), std::make_move_iterator(aMore.begin()),
                std::make_move_iterator(aMore.end()));
}

}  // namespace

std::vector<AnswerForm> AnswersWithBrokenFields() {
  std::vector<AnswerForm> forms;
  for (const Line& line : BrokenLines()) {
    const std::string what = line.mWhat;
    const std::string after = kLength + line.mText;
    forms.push_back(Broken(what, Answer(kOk, after, kBody)));
    forms.push_back(
        Broken(what + ", first", Answer(kOk, line.mText + kLength, kBody)));
    forms.push_back(
        Broken(what + ", no length", Answer(kOk, line.mText, kBody)));
    forms.push_back(
        Broken(what + ", chunks", Answer(kOk, line.mText + kCoding, kChunks)));
    for (const char* status : {"404 Not Found", "500 Error", "503 Busy"}) {
      forms.push_back(
          Broken(what + ", " + status,
                 Answer(std::string("HTTP/1.1 ") + status, after, kBody)));
    }
    forms.push_back(Broken(what + ", 204",
                           Answer("HTTP/1.1 204 No Content", line.mText, "")));
    forms.push_back(Broken(what + ", in an interim answer",
                           "HTTP/1.1 103 Early Hints\r\n" + line.mText +
                               "\r\n" + Answer(kOk, kLength, kBody)));
    forms.push_back(
        Broken(what + ", stream",
               Answer(kOk, "Content-Type: text/event-stream\r\n" + line.mText,
                      "id: 1\ndata: x\n\n")));
  }
  const std::vector<Line> lengths = {
      {"a blank in the name of the length", "Content Length: 4\r\n"},
      {"a blank before the colon of the length", "Content-Length : 4\r\n"},
      {"a control byte in the name of the length", "Content\x01Length: 4\r\n"},
      {"a length as a part of the field before it",
       "X-A: 1\r\n Content-Length: 4\r\n"},
      {"a length as the first line, after a blank", " Content-Length: 4\r\n"},
      {"a coding as a part of the field before it",
       "X-A: 1\r\n Transfer-Encoding: chunked\r\n"}};
  for (const Line& line : lengths) {
    forms.push_back(Broken(line.mWhat, Answer(kOk, line.mText, kBody)));
    forms.push_back(Broken(std::string(line.mWhat) + ", half the body",
                           Answer(kOk, line.mText, "bo")));
    forms.push_back(Broken(std::string(line.mWhat) + ", surplus bytes",
                           Answer(kOk, line.mText, "bodysurplus")));
  }
  return forms;
}

std::vector<AnswerForm> AnswersWithBrokenStatusLines() {
  std::vector<AnswerForm> forms;
  for (const char* line : {"HTTP/1.1 000 X",
                           "HTTP/1.1 001 X",
                           "HTTP/1.1 099 X",
                           "HTTP/1.1 0 X",
                           "HTTP/1.1 20 X",
                           "HTTP/1.1 2000 X",
                           "HTTP/1.1 0200 X",
                           "HTTP/1.1 600 X",
                           "HTTP/1.1 999 X",
                           "HTTP/1.1 -200 X",
                           "HTTP/1.1 2x0 X",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1 200\tOK",
                           "HTTP/1.1200 OK",
                           "HTTP/1.1",
                           "HTTP/1.1 ",
                           "HTTP/11 200 OK",
                           "HTTP/2.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "HTTP/1.10 200 OK",
                           "http/1.1 200 OK",
                           " HTTP/1.1 200 OK",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 O\x7fK",
                           "HTTP/1.1 200 O\rK",
                           "\r\nHTTP/1.1 200 OK",
                           "\nHTTP/1.1 200 OK",
                           "200 OK",
                           "garbage"}) {
    forms.push_back(Broken(std::string("status line ") + line,
                           Answer(line, kLength, kBody)));
  }
  return forms;
}

std::vector<AnswerForm> AnswersWithBrokenFraming() {
  std::vector<AnswerForm> forms;
  for (const char* length :
       {"", "x", "4x", "x4", "-4", "+4", "0x4", "4.0", "4 4", "4,4", "4, 5",
        "4;", "\"4\"", "99999999999999999999999"}) {
    forms.push_back(Broken(
        std::string("length ") + length,
        Answer(kOk, std::string("Content-Length: ") + length + "\r\n", kBody)));
  }
  const std::string lengthTwice = std::string(kLength) + kLength;
  forms.push_back(
      Broken("the same length twice", Answer(kOk, lengthTwice, kBody)));
  forms.push_back(Broken(
      "two lengths",
      Answer(kOk, std::string(kLength) + "Content-Length: 5\r\n", kBody)));
  forms.push_back(Broken("a coding beside a length",
                         Answer(kOk, std::string(kLength) + kCoding, kChunks)));
  forms.push_back(Broken("a length beside a coding",
                         Answer(kOk, std::string(kCoding) + kLength, kChunks)));
  for (const char* coding :
       {"", "x", "gzip", "identity", "chunke", "chunkedd", "chunked, chunked",
        "chunked, gzip", "gzip, chunked", "x, chunked", "chunked; a=1",
        "chun ked"}) {
    const std::string field =
        std::string("Transfer-Encoding: ") + coding + "\r\n";
    const std::string what = std::string("coding ") + coding;
    forms.push_back(Broken(what, Answer(kOk, field, kChunks)));
    forms.push_back(Broken(what + ", half", Answer(kOk, field, "4\r\nbo")));
    forms.push_back(
        Broken(what + ", stream",
               Answer(kOk, "Content-Type: text/event-stream\r\n" + field,
                      "id: 1\ndata: x\n\n")));
  }
  forms.push_back(Broken("the coding twice",
                         Answer(kOk, std::string(kCoding) + kCoding, kChunks)));
  forms.push_back(
      Broken("another coding beside it",
             Answer(kOk, std::string(kCoding) + "Transfer-Encoding: gzip\r\n",
                    kChunks)));
  forms.push_back(Broken("a coding in HTTP/1.0",
                         Answer("HTTP/1.0 200 OK", kCoding, kChunks)));
  return forms;
}

std::vector<AnswerForm> BrokenAnswers() {
  std::vector<AnswerForm> forms = AnswersWithBrokenFields();
  Append(forms, AnswersWithBrokenStatusLines());
  Append(forms, AnswersWithBrokenFraming());
  return forms;
}

std::vector<AnswerForm> SoundFinalAnswers() {
  std::vector<AnswerForm> forms;
  for (const char* length :
       {"Content-Length: 4", "Content-Length:4", "Content-Length: 4 ",
        "Content-Length: 4\t", "Content-Length:\t 4 \t", "content-length: 4",
        "CONTENT-LENGTH: 0004"}) {
    forms.push_back({.mWhat = length,
                     .mBytes = Answer(kOk, std::string(length) + "\r\n", kBody),
                     .mBody = kBody});
  }
  for (const char* coding :
       {"Transfer-Encoding: chunked", "transfer-encoding:chunked",
        "Transfer-Encoding: Chunked", "Transfer-Encoding: \tchunked\t"}) {
    forms.push_back(
        {.mWhat = coding,
         .mBytes = Answer(kOk, std::string(coding) + "\r\n", kChunks),
         .mBody = kBody});
  }
  for (const char* line :
       {"X-Empty:", "X-Blanks:  \t ", "!#$%&'*+-.^_`|~09azAZ: 1", "X-A: a b\tc",
        "X-A: \xe9\xff", "X-A: a: b; \"c\", (d)", "X-A: 1",
        "Connection: close"}) {
    forms.push_back(
        {.mWhat = line,
         .mBytes = Answer(kOk, std::string(kLength) + line + "\r\n", kBody),
         .mBody = kBody});
  }
  for (const char* line : {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
                           "HTTP/1.1 200 \xe9 a\tb"}) {
    forms.push_back({.mWhat = line,
                     .mBytes = Answer(line, kLength, kBody),
                     .mBody = kBody});
  }
  forms.push_back(
      {.mWhat = "no length", .mBytes = Answer(kOk, "", kBody), .mBody = kBody});
  forms.push_back({.mWhat = "lines that end without a return",
                   .mBytes = "HTTP/1.1 200 OK\nX-Signature: raw\n"
                             "Content-Length: 4\n\nbody",
                   .mBody = kBody});
  forms.push_back({.mWhat = "404",
                   .mBytes = Answer("HTTP/1.1 404 Not Found", kLength, kBody),
                   .mStatus = 404,
                   .mBody = kBody});
  forms.push_back({.mWhat = "599",
                   .mBytes = Answer("HTTP/1.1 599 X", kLength, kBody),
                   .mStatus = 599,
                   .mBody = kBody});
  forms.push_back({.mWhat = "204",
                   .mBytes = Answer("HTTP/1.1 204 No Content", "", ""),
                   .mStatus = 204});
  forms.push_back({.mWhat = "304 with the length of its page",
                   .mBytes = Answer("HTTP/1.1 304 Not Modified", kLength, ""),
                   .mStatus = 304});
  return forms;
}

std::vector<AnswerForm> SoundAnswersAfterInterimOnes() {
  std::vector<AnswerForm> forms;
  for (const char* interim :
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"}) {
    forms.push_back({.mWhat = std::string("after ") + interim,
                     .mBytes = interim + Answer(kOk, kLength, kBody),
                     .mBody = kBody});
  }
  return forms;
}

std::vector<AnswerForm> SoundAnswers() {
  std::vector<AnswerForm> forms = SoundFinalAnswers();
  Append(forms, SoundAnswersAfterInterimOnes());
  return forms;
}

}  // namespace spindleweir
