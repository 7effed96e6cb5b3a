#include "spindleweir/core/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <unistd.h>

#include "core/log_output.h"
#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

/// Maximum number of bytes buffered for a slow reader.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

/// Boost.Log sink that forwards lines to the bounded output.
class OutputBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char, boost::log::sinks::concurrent_feeding> {
 public:
  // The name is required by Boost.Log.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const string_type& aLine);
};

/// State set by StartLog(). Nothing is written before that call.
struct LogState {
  bool mStarted = false;
  LogLevel mLevel = LogLevel::kInfo;
  std::string mProcess;
  bool mImportant = false;  ///< Of the line being written.
  LogOutput mOutput{STDOUT_FILENO, kMaxBufferedBytes};
  boost::log::sources::logger mLogger;
};

LogState& State() {
  static LogState state;
  return state;
}

void OutputBackend::consume(const boost::log::record_view&,
                            const string_type& aLine) {
  State().mOutput.Add(aLine, State().mImportant);
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
  using Sink = boost::log::sinks::unlocked_sink<OutputBackend>;
  const auto sink = boost::make_shared<Sink>();
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
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
  State().mImportant = mLevel >= LogLevel::kWarning;
  BOOST_LOG(State().mLogger) << DumpJson(mObject);
}

std::int64_t DroppedLogLines() {
  return State().mOutput.DroppedLines();
}

LogLine& LogLine::Add(const char* aName, const Json::Value& aValue) {
  if (mWritten) {
    mObject[aName] = aValue;
  }
  return *this;
}

}  // namespace spindleweir
