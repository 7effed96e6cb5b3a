#include "servers/explain/log_line.h"

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

std::optional<Json::Value> ReadLogLine(std::string_view aLine) {
  const std::size_t n = aLine.find('{');
  if (n == std::string_view::npos) {
    return std::nullopt;
  }
  try {
    Json::Value line = ParseJson(aLine.substr(n));
    if (!line.isObject() || !line["event"].isString()) {
      return std::nullopt;
    }
    return line;
  } catch (const Error&) {
    return std::nullopt;
  }
}

std::string TextField(const Json::Value& aLine, const char* aName) {
  const Json::Value& value = aLine[aName];
  return value.isString() ? value.asString() : std::string();
}

std::int64_t NumberField(const Json::Value& aLine, const char* aName) {
  const Json::Value& value = aLine[aName];
  return value.isIntegral() ? value.asInt64() : 0;
}

}  // namespace spindleweir
