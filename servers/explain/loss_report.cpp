#include "spindleweir/servers/explain/loss_report.h"

#include <algorithm>

#include "servers/explain/log_line.h"
#include "spindleweir/core/result_code.h"

namespace spindleweir {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

const char* NameOf(LossCause aCause) {
  switch (aCause) {
    case LossCause::kNone:
      return "served in time";
    case LossCause::kNoPath:
      return "no path";
    case LossCause::kNoRoom:
      return "no room";
    case LossCause::kNoLease:
      return "no lease";
    case LossCause::kNoConfiguration:
      return "no configuration";
    case LossCause::kDeadline:
      return "deadline passed";
    case LossCause::kNotAllowed:
      return "not allowed";
    case LossCause::kOtherRefusal:
      return "refused otherwise";
    case LossCause::kBrokenOff:
      return "broken off";
    case LossCause::kUpstreamFailed:
      return "upstream failed";
    case LossCause::kRouterEnded:
      return "router ended";
    case LossCause::kCallerGone:
      return "caller gone";
    case LossCause::kFirstLate:
      return "late: first event";
    case LossCause::kResumed:
      return "late: cut and resumed";
    case LossCause::kMoved:
      return "late: moved";
    case LossCause::kSlow:
      return "late: slow stage or link";
  }
  return "";
}

LossCause CauseOfRefusal(std::int64_t aCode) {
  switch (static_cast<ResultCode>(aCode)) {
    case ResultCode::kNoUpstream:
      return LossCause::kNoPath;
    case ResultCode::kUpstreamFull:
      return LossCause::kNoRoom;
    case ResultCode::kLeaseExpired:
      return LossCause::kNoLease;
    case ResultCode::kNotReady:
      return LossCause::kNoConfiguration;
    case ResultCode::kDeadlineExceeded:
      return LossCause::kDeadline;
    case ResultCode::kUnauthorized:
    case ResultCode::kNoRoute:
      return LossCause::kNotAllowed;
    default:
      return LossCause::kOtherRefusal;
  }
}

std::vector<LossCount> SortedByCount(
    const std::map<std::string, std::int64_t>& aCounts) {
  std::vector<LossCount> counts;
  for (const auto& [name, count] : aCounts) {
    counts.push_back({name, count});
  }
  std::stable_sort(counts.begin(), counts.end(),
                   [](const LossCount& aLeft, const LossCount& aRight) {
                     return aLeft.mCount > aRight.mCount;
                   });
  return counts;
}

}  // namespace

bool LossReport::AddLine(std::string_view aLine) {
  const std::optional<Json::Value> read = ReadLogLine(aLine);
  if (!read.has_value()) {
    return false;
  }
  const Json::Value& line = *read;
  const std::string event = TextField(line, "event");
  const std::string request = TextField(line, "request");
  if (event == "started") {
    mZoneOf[TextField(line, "process")] = TextField(line, "zone");
  } else if (event == "attempt_failed") {
    mOpenRequests[request].mAttemptFailed = true;
  } else if (event == "repath") {
    mOpenRequests[request].mMoved = true;
    mAvoidReasons["moved, engine " + TextField(line, "why")]++;
  } else if (event == "refused") {
    mOpenRequests[request].mCode = NumberField(line, "code");
  } else if (event == "upstream_unreachable" || event == "upstream_silent") {
    mAvoidReasons[event]++;
  } else if (event == "request") {
    CountRequest(line);
  }
  return true;
}

LossCause LossReport::CauseOf(const Json::Value& aLine,
                              const RequestState& aState) const {
  const std::string outcome = TextField(aLine, "outcome");
  if (outcome == "refused") {
    return CauseOfRefusal(aState.mCode);
  }
  if (outcome == "broken_off") {
    return LossCause::kBrokenOff;
  }
  if (outcome == "upstream_failed") {
    return LossCause::kUpstreamFailed;
  }
  if (outcome == "router_ended") {
    return LossCause::kRouterEnded;
  }
  if (outcome == "caller_gone") {
    return LossCause::kCallerGone;
  }
  if (NumberField(aLine, "first_ms") > mLimits.mFirstEventMs) {
    return LossCause::kFirstLate;
  }
  if (NumberField(aLine, "longest_pause_ms") <= mLimits.mPauseMs) {
    return LossCause::kNone;
  }
  if (aState.mAttemptFailed) {
    return LossCause::kResumed;
  }
  return aState.mMoved ? LossCause::kMoved : LossCause::kSlow;
}

void LossReport::CountRequest(const Json::Value& aLine) {
  const std::string request = TextField(aLine, "request");
  const std::string cause = NameOf(CauseOf(aLine, mOpenRequests[request]));
  mOpenRequests.erase(request);
  mRequests++;
  mCauses[cause]++;
  if (cause == NameOf(LossCause::kNone)) {
    return;
  }
  mZones[mZoneOf[TextField(aLine, "process")] + " " + cause]++;
  mRoutes[TextField(aLine, "route") + " " + cause]++;
  mTimes[NumberField(aLine, "wall_ms") / kMillisPerSecond][cause]++;
}

LossSummary LossReport::Summary() const {
  LossSummary summary;
  summary.mRequests = mRequests;
  summary.mCauses = SortedByCount(mCauses);
  summary.mZones = SortedByCount(mZones);
  summary.mRoutes = SortedByCount(mRoutes);
  summary.mAvoidReasons = SortedByCount(mAvoidReasons);
  const std::int64_t first = mTimes.empty() ? 0 : mTimes.begin()->first;
  for (const auto& [second, causes] : mTimes) {
    for (const auto& [cause, count] : causes) {
      summary.mTimes.push_back(
          {"+" + std::to_string(second - first) + " s " + cause, count});
    }
  }
  return summary;
}

}  // namespace spindleweir
