/// Tests of the check of JSON text that is stored and returned as it came.
#include "spindleweir/core/json_text.h"

#include <string>

#include "spindleweir/core/json_codec.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

ResultCode CodeOf(std::string_view aText) {
  return CodeThrownBy([aText] { CheckJsonText(aText); });
}

}  // namespace

/// Guards against text that is acknowledged and that no reader can read back.
Test(json_text, what_other_readers_refuse_is_refused) {
  SECTION("bytes that are not UTF-8") {
    for (const char* bytes :
         {"\xff", "\x80", "\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf0\x80\x80\xaf", "\xf8\x88\x80\x80\x80"}) {
      CHECK(CodeOf(std::string(R"({"a":")") + bytes + R"("})") ==
            ResultCode::kMalformedJson);
    }
  }
  SECTION("a byte order mark") {
    CHECK(CodeOf("\xef\xbb\xbf{}") == ResultCode::kMalformedJson);
  }
  SECTION("control characters in strings, also in names") {
    for (const char byte : {'\0', '\t', '\n', '\x1f'}) {
      CHECK(CodeOf(std::string(R"({"a":"x)") + byte + R"("})") ==
            ResultCode::kMalformedJson);
      CHECK(CodeOf(std::string(R"({"a)") + byte + R"(":1})") ==
            ResultCode::kMalformedJson);
    }
  }
  SECTION("the second half of a surrogate pair alone") {
    CHECK(CodeOf(R"({"a":"\udc00"})") == ResultCode::kMalformedJson);
  }
  SECTION("numbers that are none") {
    for (const char* number :
         {"01", "1.", "+1", "-", "-01", "1.e5", "1e", "1e+", "1-1", "--1"}) {
      CHECK(CodeOf(std::string(R"({"a":)") + number + "}") ==
            ResultCode::kMalformedJson);
    }
  }
}

Test(json_text, what_the_standard_allows_passes) {
  for (const char* text :
       {"{}", "[]", R"({"a":-0.5e+7,"b":0,"c":10,"d":1E5})",
        "\t{\n\"a\" : 1 }\r\n", R"({"01":"+1. - \t \" 01"})", R"({"a":"\\"})",
        R"({"a":"\ud83d\ude00 \u00e9"})",
        "{\"a\":\"\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80\"}"}) {
    CHECK(CodeOf(text) == ResultCode::kOk);
    CHECK(CodeThrownBy([text] { ParseJson(text); }) == ResultCode::kOk);
  }
  SECTION("text that ends early is left to the parser") {
    CHECK(CodeOf(R"({"a":"x)") == ResultCode::kOk);
    CHECK(CodeOf(R"({"a":"\)") == ResultCode::kOk);
    CHECK(CodeOf(R"({"a":"\ud83d)") == ResultCode::kOk);
  }
}
