#include "spindleweir/servers/explain/request_report.h"

#include <algorithm>
#include <set>

#include "servers/explain/log_line.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/result_code.h"

namespace spindleweir {

namespace {

/// Upstream events from this long before the request on are part of its report.
constexpr std::int64_t kContextWindowMs = 5000;
/// A longest pause above this counts as late.
constexpr std::int64_t kLatePauseMs = 200;
/// A first event later than this counts as late.
constexpr std::int64_t kLateFirstEventMs = 500;

/// Formats a line: time since aFrom, process, event and the other fields.
std::string FormatLine(const Json::Value& aLine, std::int64_t aFrom) {
  std::string text =
      "+" + std::to_string(NumberField(aLine, "wall_ms") - aFrom) + " ms " +
      TextField(aLine, "process") + " " + TextField(aLine, "event");
  for (const std::string& name : aLine.getMemberNames()) {
    const bool isShown = name == "event" || name == "process" ||
                         name == "wall_ms" || name == "level" ||
                         name == "request";
    if (!isShown) {
      text += " " + name + "=" + DumpJson(aLine[name]);
    }
  }
  return text;
}

/// Number, name and meaning of the result code of a line.
std::string DescribeCode(const Json::Value& aLine) {
  const auto code = static_cast<ResultCode>(NumberField(aLine, "code"));
  const ResultCodeInfo& info = InfoOf(code);
  return std::to_string(static_cast<int>(info.mCode)) + " " +
         std::string(info.mName) + ": " + std::string(info.mMeaning);
}

std::string DescribeRefusal(const Json::Value& aRefused) {
  std::string cause = "refused: " + DescribeCode(aRefused);
  if (NumberField(aRefused, "code") ==
      static_cast<int>(ResultCode::kLeaseExpired)) {
    cause += " Control had not confirmed version " +
             std::to_string(NumberField(aRefused, "version")) + " for " +
             std::to_string(NumberField(aRefused, "lease_age_ms")) + " ms.";
  }
  return cause;
}

std::string DescribeFailedAttempt(const Json::Value& aFailed) {
  std::string cause =
      "attempt at " + TextField(aFailed, "instance") + " failed after " +
      std::to_string(NumberField(aFailed, "took_ms")) + " ms, " +
      std::to_string(NumberField(aFailed, "silent_ms")) +
      " ms after its last byte: " + DescribeCode(aFailed);
  const std::string culprit = TextField(aFailed, "culprit");
  return culprit.empty() ? cause : cause + " It named " + culprit + ".";
}

}  // namespace

bool ReportBuilder::AddLine(std::string_view aLine) {
  std::optional<Json::Value> line = ReadLogLine(aLine);
  if (!line.has_value()) {
    return false;
  }
  mLines.push_back(std::move(*line));
  return true;
}

RequestReport ReportBuilder::Build(const std::string& aRequest) const {
  RequestReport report{.mRequest = aRequest};
  std::vector<const Json::Value*> requestLines;
  std::set<std::string> instances;
  std::string process;
  for (const Json::Value& line : mLines) {
    if (TextField(line, "request") == aRequest) {
      requestLines.push_back(&line);
      process = TextField(line, "process");
      instances.insert(TextField(line, "instance"));
      instances.insert(TextField(line, "first"));
    }
  }
  if (requestLines.empty()) {
    report.mCause = "no line names this request";
    return report;
  }
  report.mFound = true;
  const auto wall = [](const Json::Value* aLine) {
    return NumberField(*aLine, "wall_ms");
  };
  std::stable_sort(
      requestLines.begin(), requestLines.end(),
      [&wall](const Json::Value* aLeft, const Json::Value* aRight) {
        return wall(aLeft) < wall(aRight);
      });
  const std::int64_t from = wall(requestLines.front()) -
                            NumberField(*requestLines.front(), "took_ms");
  const std::int64_t to = wall(requestLines.back());
  std::vector<const Json::Value*> selected;
  const Json::Value* configuration = nullptr;
  for (const Json::Value& line : mLines) {
    const std::string event = TextField(line, "event");
    const bool isSameProcess = TextField(line, "process") == process;
    if (isSameProcess && event == "configuration_in_force" &&
        wall(&line) <= to) {
      configuration = &line;
    }
    const bool isUpstreamEvent =
        event == "upstream_changed" || event == "upstream_unreachable";
    if (isSameProcess && isUpstreamEvent &&
        wall(&line) >= from - kContextWindowMs && wall(&line) <= to &&
        instances.contains(TextField(line, "instance"))) {
      selected.push_back(&line);
    }
  }
  if (configuration != nullptr) {
    selected.push_back(configuration);
  }
  selected.insert(selected.end(), requestLines.begin(), requestLines.end());
  std::stable_sort(
      selected.begin(), selected.end(),
      [&wall](const Json::Value* aLeft, const Json::Value* aRight) {
        return wall(aLeft) < wall(aRight);
      });
  const Json::Value* refused = nullptr;
  const Json::Value* failed = nullptr;
  const Json::Value* moved = nullptr;
  const Json::Value* end = nullptr;
  for (const Json::Value* line : selected) {
    report.mLines.push_back(FormatLine(*line, from));
    const std::string event = TextField(*line, "event");
    refused = event == "refused" ? line : refused;
    failed = event == "attempt_failed" ? line : failed;
    moved = event == "repath" ? line : moved;
    end = event == "request" ? line : end;
  }
  const std::string outcome = end == nullptr ? "" : TextField(*end, "outcome");
  if (refused != nullptr) {
    report.mCause = DescribeRefusal(*refused);
    if (failed != nullptr) {
      report.mCause += " Before that: " + DescribeFailedAttempt(*failed);
    }
    return report;
  }
  if (outcome == "broken_off" && failed != nullptr) {
    report.mCause = "broken off after " +
                    std::to_string(NumberField(*end, "events")) +
                    " events, since no other attempt could resume it: " +
                    DescribeFailedAttempt(*failed);
    const std::string lacked = TextField(*end, "lacked");
    report.mCause += lacked.empty() ? "" : " It lacked " + lacked + ".";
    return report;
  }
  const bool late =
      end != nullptr && (NumberField(*end, "longest_pause_ms") > kLatePauseMs ||
                         NumberField(*end, "first_ms") > kLateFirstEventMs);
  if (outcome == "served" && late) {
    report.mCause =
        "served late: first event after " +
        std::to_string(NumberField(*end, "first_ms")) + " ms, longest pause " +
        std::to_string(NumberField(*end, "longest_pause_ms")) + " ms";
    if (failed != nullptr) {
      report.mCause += "; " + DescribeFailedAttempt(*failed);
    } else if (moved != nullptr) {
      report.mCause += "; it was moved to other engines since one was " +
                       TextField(*moved, "why");
    }
    return report;
  }
  if (outcome == "upstream_failed") {
    report.mCause = "the upstream " + TextField(*end, "instance") +
                    " ran it and answered " +
                    std::to_string(NumberField(*end, "status"));
    return report;
  }
  report.mCause =
      outcome.empty() ? "the logs contain no end of this request" : outcome;
  return report;
}

}  // namespace spindleweir
