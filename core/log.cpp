#include "spindleweir/core/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

/// What StartLog set. Nothing is written before it is called.
struct LogState {
  bool mStarted = false;
  LogLevel mLevel = LogLevel::kInfo;
  std::string mProcess;
  boost::log::sources::logger mLogger;
};

LogState& State() {
  static LogState state;
  return state;
}

const char* NameOf(LogLevel aLevel) {
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

LogLevel LevelOf(std::string_view aName) {
  for (LogLevel level : {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning,
                         LogLevel::kError}) {
    if (aName == NameOf(level)) {
      return level;
    }
  }
  throw Error(ResultCode::kBadSetting,
              "--log_level must be debug, info, warning or error, not \"" +
                  std::string(aName) + "\"");
}

}  // namespace

void StartLog(std::string_view aLevel, std::string_view aProcess) {
  LogState& state = State();
  state.mLevel = LevelOf(aLevel);
  state.mProcess = aProcess;
  if (state.mStarted) {
    return;
  }
  state.mStarted = true;
  boost::log::add_console_log(
      std::cout,
      boost::log::keywords::format = (boost::log::expressions::stream
                                      << boost::log::expressions::smessage),
      boost::log::keywords::auto_flush = true);
}

LogLine::LogLine(LogLevel aLevel, const char* aEvent)
    : mLevel(aLevel),
      mWritten(State().mStarted && aLevel >= State().mLevel),
      mObject(Json::objectValue) {
  if (!mWritten) {
    return;
  }
  mObject["wall_ms"] = static_cast<Json::Int64>(WallNow());
  mObject["level"] = NameOf(aLevel);
  mObject["process"] = State().mProcess;
  mObject["event"] = aEvent;
}

LogLine::~LogLine() {
  if (!mWritten) {
    return;
  }
  BOOST_LOG(State().mLogger) << DumpJson(mObject);
}

LogLine& LogLine::Add(const char* aName, const Json::Value& aValue) {
  if (mWritten) {
    mObject[aName] = aValue;
  }
  return *this;
}

}  // namespace spindleweir
