/// Parsing of log lines.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spindleweir {

/// Parses the JSON of a log line; text before it is ignored. Returns nothing if
/// the line isn't a JSON object with an "event".
std::optional<Json::Value> ReadLogLine(std::string_view aLine);

/// The value of a string field; empty if the field is missing or not a string.
std::string TextField(const Json::Value& aLine, const char* aName);

/// The value of an integer field; 0 if the field is missing or not an integer.
std::int64_t NumberField(const Json::Value& aLine, const char* aName);

}  // namespace spindleweir
