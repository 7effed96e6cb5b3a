/// Puts the log lines of all processes about one request into one story, with
/// what its router believed at that moment, and names the cause where the
/// lines prove it.
#pragma once

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// What became of a request.
struct RequestReport {
  std::string mRequest;
  std::vector<std::string> mLines;  ///< In order, readable.
  std::string mCause;               ///< One sentence.
  bool mFound = false;              ///< A line names the request.
};

/// Collects lines and tells stories.
class ReportBuilder {
 public:
  /// Takes a line of a log; what stands before its JSON is passed over.
  /// Returns whether it is one.
  bool AddLine(std::string_view aLine);
  RequestReport Build(const std::string& aRequest) const;
  std::size_t Size() const { return mLines.size(); }

 private:
  std::vector<Json::Value> mLines;
};

}  // namespace spindleweir
