#include "spindleweir/servers/explain/request_report.h"

#include <algorithm>
#include <set>

#include "servers/explain/log_line.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/result_code.h"

namespace spindleweir {

namespace {

/// Beliefs about upstreams are told from this long before the request.
constexpr std::int64_t kBefore = 5000;
/// A pause from which on a stream counts as late.
constexpr std::int64_t kLatePause = 200;
constexpr std::int64_t kLateFirst = 500;

std::string Readable(const Json::Value& aLine, std::int64_t aFrom) {
  std::string text = "+" + std::to_string(NumberOf(aLine, "wall_ms") - aFrom) +
                     " ms " + TextOf(aLine, "process") + " " +
                     TextOf(aLine, "event");
  for (const std::string& name : aLine.getMemberNames()) {
    const bool told = name == "event" || name == "process" ||
                      name == "wall_ms" || name == "level" || name == "request";
    if (!told) {
      text += " " + name + "=" + DumpJson(aLine[name]);
    }
  }
  return text;
}

/// The meaning of the result code of a line.
std::string MeaningOf(const Json::Value& aLine) {
  const auto code = static_cast<ResultCode>(NumberOf(aLine, "code"));
  const ResultCodeInfo& info = InfoOf(code);
  return std::to_string(static_cast<int>(info.mCode)) + " " +
         std::string(info.mName) + ": " + std::string(info.mMeaning);
}

std::string CauseOfRefusal(const Json::Value& aRefused) {
  std::string cause = "refused: " + MeaningOf(aRefused);
  if (NumberOf(aRefused, "code") ==
      static_cast<int>(ResultCode::kLeaseExpired)) {
    cause += " Control had not confirmed version " +
             std::to_string(NumberOf(aRefused, "version")) + " for " +
             std::to_string(NumberOf(aRefused, "lease_age_ms")) + " ms.";
  }
  return cause;
}

std::string CauseOfAttempt(const Json::Value& aFailed) {
  std::string cause = "attempt at " + TextOf(aFailed, "instance") +
                      " failed after " +
                      std::to_string(NumberOf(aFailed, "took_ms")) + " ms, " +
                      std::to_string(NumberOf(aFailed, "silent_ms")) +
                      " ms after its last byte: " + MeaningOf(aFailed);
  const std::string culprit = TextOf(aFailed, "culprit");
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
  RequestReport story{.mRequest = aRequest};
  std::vector<const Json::Value*> own;
  std::set<std::string> instances;
  std::string process;
  for (const Json::Value& line : mLines) {
    if (TextOf(line, "request") == aRequest) {
      own.push_back(&line);
      process = TextOf(line, "process");
      instances.insert(TextOf(line, "instance"));
      instances.insert(TextOf(line, "first"));
    }
  }
  if (own.empty()) {
    story.mCause = "no line names this request";
    return story;
  }
  story.mFound = true;
  const auto wall = [](const Json::Value* aLine) {
    return NumberOf(*aLine, "wall_ms");
  };
  std::stable_sort(
      own.begin(), own.end(),
      [&wall](const Json::Value* aLeft, const Json::Value* aRight) {
        return wall(aLeft) < wall(aRight);
      });
  const std::int64_t from =
      wall(own.front()) - NumberOf(*own.front(), "took_ms");
  const std::int64_t to = wall(own.back());
  std::vector<const Json::Value*> told;
  const Json::Value* configuration = nullptr;
  for (const Json::Value& line : mLines) {
    const std::string event = TextOf(line, "event");
    const bool here = TextOf(line, "process") == process;
    if (here && event == "configuration_in_force" && wall(&line) <= to) {
      configuration = &line;
    }
    const bool belief =
        event == "upstream_changed" || event == "upstream_unreachable";
    if (here && belief && wall(&line) >= from - kBefore && wall(&line) <= to &&
        instances.contains(TextOf(line, "instance"))) {
      told.push_back(&line);
    }
  }
  if (configuration != nullptr) {
    told.push_back(configuration);
  }
  told.insert(told.end(), own.begin(), own.end());
  std::stable_sort(
      told.begin(), told.end(),
      [&wall](const Json::Value* aLeft, const Json::Value* aRight) {
        return wall(aLeft) < wall(aRight);
      });
  const Json::Value* refused = nullptr;
  const Json::Value* failed = nullptr;
  const Json::Value* moved = nullptr;
  const Json::Value* end = nullptr;
  for (const Json::Value* line : told) {
    story.mLines.push_back(Readable(*line, from));
    const std::string event = TextOf(*line, "event");
    refused = event == "refused" ? line : refused;
    failed = event == "attempt_failed" ? line : failed;
    moved = event == "repath" ? line : moved;
    end = event == "request" ? line : end;
  }
  const std::string outcome = end == nullptr ? "" : TextOf(*end, "outcome");
  if (refused != nullptr) {
    story.mCause = CauseOfRefusal(*refused);
    if (failed != nullptr) {
      story.mCause += " Before: " + CauseOfAttempt(*failed);
    }
    return story;
  }
  if (outcome == "broken_off" && failed != nullptr) {
    story.mCause = "broken off after " +
                   std::to_string(NumberOf(*end, "events")) +
                   " events, since nothing could go on with it: " +
                   CauseOfAttempt(*failed);
    const std::string lacked = TextOf(*end, "lacked");
    story.mCause += lacked.empty() ? "" : " It lacked " + lacked + ".";
    return story;
  }
  const bool late =
      end != nullptr && (NumberOf(*end, "longest_pause_ms") > kLatePause ||
                         NumberOf(*end, "first_ms") > kLateFirst);
  if (outcome == "served" && late) {
    story.mCause = "served late: first event after " +
                   std::to_string(NumberOf(*end, "first_ms")) +
                   " ms, longest pause " +
                   std::to_string(NumberOf(*end, "longest_pause_ms")) + " ms";
    if (failed != nullptr) {
      story.mCause += "; " + CauseOfAttempt(*failed);
    } else if (moved != nullptr) {
      story.mCause += "; it was moved to other engines since one was " +
                      TextOf(*moved, "why");
    }
    return story;
  }
  if (outcome == "upstream_failed") {
    story.mCause = "the upstream " + TextOf(*end, "instance") +
                   " ran it and answered " +
                   std::to_string(NumberOf(*end, "status"));
    return story;
  }
  story.mCause = outcome.empty() ? "its end is not among the lines" : outcome;
  return story;
}

}  // namespace spindleweir
