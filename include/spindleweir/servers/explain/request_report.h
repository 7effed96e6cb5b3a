/// Merges the log lines of all processes about one request into a report,
/// together with what its router knew at that time, and names the cause if the
/// lines prove it.
#pragma once

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// The course and outcome of a request.
struct RequestReport {
  std::string mRequest;
  std::vector<std::string> mLines;  ///< Formatted, in order of time.
  std::string mCause;               ///< One sentence.
  bool mFound = false;              ///< Whether a line names the request.
};

/// Collects log lines and builds reports.
class ReportBuilder {
 public:
  /// Adds a log line. Text before its JSON is ignored. Returns whether the line
  /// is a log line.
  bool AddLine(std::string_view aLine);
  /// Builds the report on the request with this id.
  RequestReport Build(const std::string& aRequest) const;
  std::size_t Size() const { return mLines.size(); }

 private:
  std::vector<Json::Value> mLines;
};

}  // namespace spindleweir
