/// The log: one JSON object a line on standard output, by Boost.Log. Writing
/// never blocks: lines that a slow reader does not take wait in a bounded
/// buffer, and what does not fit is counted and left out, warnings and errors
/// last. Prompts, answers and keys are never logged.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace spindleweir {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets the least level that is written and the name of this process.
/// Throws kBadSetting for a name other than debug, info, warning, error.
void StartLog(std::string_view aLevel, std::string_view aProcess);

/// Lines that were left out so far.
std::int64_t DroppedLogLines();

/// A line under construction; it is written when it goes out of scope.
///
///     LogLine(LogLevel::kInfo, "routed").Add("request", id);
class LogLine {
 public:
  LogLine(LogLevel aLevel, const char* aEvent);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& Add(const char* aName, const Json::Value& aValue);

 private:
  LogLevel mLevel;
  bool mWritten;
  Json::Value mObject;
};

}  // namespace spindleweir
