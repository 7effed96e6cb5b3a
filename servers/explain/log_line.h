/// Reading of log lines.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spindleweir {

/// The JSON of a line, whatever stands before it; nothing where it is none of
/// a log of ours.
std::optional<Json::Value> ReadLogLine(std::string_view aLine);

/// A field that is a text; empty where it is none.
std::string TextOf(const Json::Value& aLine, const char* aName);

/// A field that is a whole number; 0 where it is none.
std::int64_t NumberOf(const Json::Value& aLine, const char* aName);

}  // namespace spindleweir
