#include "spindleweir/core/json_codec.h"

#include <optional>
#include <string>
#include <vector>

#include "spindleweir/servers/configuration/configuration.h"
#include "tests/test_tools.h"

using namespace spindleweir;

Test(json_codec, invalid_json_is_refused) {
  for (const char* text : {"", "{", "{\"a\":1,}", "{\"a\":1,\"a\":2}", "[1 2]",
                           "// c\n{}", "{\"a\":1} x", "\xff\xfe"}) {
    SECTION(text) {
      CHECK(CodeThrownBy([&] { ParseJson(text); }) ==
            ResultCode::kMalformedJson);
    }
  }
  SECTION("unlimited nesting") {
    CHECK(CodeThrownBy([] { ParseJson(std::string(100000, '[')); }) ==
          ResultCode::kMalformedJson);
  }
}

Test(json_codec, fields_are_checked_by_name_and_type) {
  const auto read = [](const char* aText, bool aStrict) {
    return CodeThrownBy(
        [&] { FromJson<ModelSpec>(ParseJson(aText), aStrict); });
  };
  SECTION("valid fields") {
    CHECK(read(R"({"name":"m","layers":3})", true) == ResultCode::kOk);
  }
  SECTION("a missing field") {
    CHECK(read(R"({"name":"m"})", false) == ResultCode::kBadField);
  }
  SECTION("a wrong type") {
    CHECK(read(R"({"name":"m","layers":"3"})", false) == ResultCode::kBadField);
    CHECK(read(R"({"name":"m","layers":1e99})", false) ==
          ResultCode::kBadField);
  }
  SECTION("an unknown field is refused by a strict reader only") {
    CHECK(read(R"({"name":"m","layers":3,"x":1})", true) ==
          ResultCode::kBadField);
    CHECK(read(R"({"name":"m","layers":3,"x":1})", false) == ResultCode::kOk);
  }
}

namespace {

struct Listed {
  std::optional<std::vector<std::string>> mNames;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("names", mNames);
  }
};

}  // namespace

// An empty list of keys was taken for none at all, which needs no keys.
Test(json_codec, an_empty_list_differs_from_one_that_is_not_stated) {
  const auto read = [](const char* aText) {
    return FromJson<Listed>(ParseJson(aText), true).mNames;
  };
  using Names = std::vector<std::string>;
  SECTION("read") {
    CHECK(!read("{}").has_value());
    CHECK(read(R"({"names":[]})") == Names());
    CHECK(read(R"({"names":["a"]})") == Names({"a"}));
  }
  SECTION("null is stated too: the field is there") {
    CHECK(read(R"({"names":null})") == Names());
  }
  SECTION("written") {
    CHECK(DumpJson(ToJson(Listed{})) == "{}");
    CHECK(DumpJson(ToJson(Listed{.mNames = Names()})) == R"({"names":[]})");
  }
  SECTION("another type is refused") {
    CHECK(CodeThrownBy([&] { read(R"({"names":{}})"); }) ==
          ResultCode::kBadField);
  }
}

Test(json_codec, a_configuration_survives_a_round_trip) {
  Configuration first;
  first.mVersion = 7;
  first.mIntent.mModels.push_back({.mName = "m", .mLayers = 12});
  first.mPlacement.push_back({.mEngine = "e", .mZone = "z", .mModel = "m"});
  first.mDrained = {"vm-1"};
  first.mHash = "hash";
  const auto second =
      FromJson<Configuration>(ParseJson(DumpJson(ToJson(first))));
  CHECK(ToJson(second) == ToJson(first));
  CHECK(second.mPlacement == first.mPlacement);
}
