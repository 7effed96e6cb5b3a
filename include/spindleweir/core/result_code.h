/// Numbered result codes of all refusals, failures and start-up errors.
/// docs/RESULT_CODES.md lists them; a test checks that both are equal.
#pragma once

#include <span>
#include <string_view>

namespace spindleweir {

/// Whether the request of an answer was run by an upstream.
enum class Ran {
  kNo,       ///< The request did not run and will not run.
  kYes,      ///< The request ran.
  kUnknown,  ///< The request may have run.
};

/// Every numbered result.
enum class ResultCode {
  kOk = 0,
  kMalformedJson = 1001,
  kBadField = 1002,
  kMethodNotAllowed = 1003,
  kNotFound = 1004,
  kBodyTooLarge = 1005,
  kUnknownModel = 1006,
  kUnauthorized = 1007,
  kForbidden = 1008,
  kKeyReused = 1009,
  kBadHeader = 1010,
  kMalformedHttp = 1011,
  kHeadTooLarge = 1012,
  kReadTimeout = 1013,
  kNoRoute = 1014,
  kBadConfiguration = 1015,
  kBadHeartbeat = 1016,
  kUnknownService = 1017,
  kHttpVersion = 1018,
  kOverLimit = 2001,
  kDeadlineTooShort = 2002,
  kNoUpstream = 2003,
  kNoClaimQuorum = 2004,
  kNotReady = 2005,
  kQueueFull = 2006,
  kStopping = 2007,
  kLeaseExpired = 2008,
  kUpstreamFull = 2009,
  kMemoryFull = 2010,
  kCrashesUpstreams = 2011,
  kUnderSuspicion = 2012,
  kOutcomeUnknown = 3001,
  kStreamBroken = 3002,
  kInProgress = 3003,
  kAnswerNotKept = 3004,
  kDeadlineExceeded = 3005,
  kUpstreamGarbled = 3006,
  kVersionConflict = 4001,
  kPlanNotFound = 4002,
  kPlanExpired = 4003,
  kNotLeader = 4004,
  kNoQuorum = 4005,
  kPlanShort = 4006,
  kCommandReused = 4007,
  kStorageFailed = 4008,
  kReceiptNotFound = 4009,
  kUnknownVm = 4010,
  kVersionTaken = 4011,
  kUnknownSetting = 5001,
  kBadSetting = 5002,
  kMissingSetting = 5003,
  kCannotListen = 5004,
  kDataCorrupt = 5005,
  kDataUnwritable = 5006,
  kBadEntryVms = 5007,
  kInternal = 9001,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode mCode;
  std::string_view mName;     ///< The name in answers and logs.
  int mHttpStatus;            ///< The HTTP status of the answer.
  Ran mRan;                   ///< Whether the request ran.
  std::string_view mMeaning;  ///< One line for operators.
};

/// The full table, in ascending order of code.
std::span<const ResultCodeInfo> AllResultCodes();

/// The row of one code; the row of kInternal for a number outside the table.
const ResultCodeInfo& InfoOf(ResultCode aCode);

/// "no", "yes" or "unknown", as written in answers.
std::string_view NameOf(Ran aRan);

}  // namespace spindleweir
