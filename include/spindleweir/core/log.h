/// The log: one JSON object per line on standard output, by Boost.Log. Writing
/// never blocks: if the reader is slow, lines are queued in a bounded buffer.
/// Lines that don't fit are dropped and counted; warnings and errors are
/// dropped last. Prompts, answers and keys are never logged.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace spindleweir {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets the minimum level that is written and the name of this process.
/// Throws kBadSetting for a name other than debug, info, warning, error.
void StartLog(std::string_view aLevel, std::string_view aProcess);

/// Number of log lines dropped since the start.
std::int64_t DroppedLogLines();

/// A log line under construction; the destructor writes it.
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
