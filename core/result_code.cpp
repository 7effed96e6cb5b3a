#include "spindleweir/core/result_code.h"

#include <array>

namespace spindleweir {

namespace {

using enum ResultCode;

constexpr std::array kTable = {
    ResultCodeInfo{kOk, "Ok", 200, Ran::kYes, "The request was done."},
    ResultCodeInfo{kMalformedJson, "MalformedJson", 400, Ran::kNo,
                   "The body is not valid JSON."},
    ResultCodeInfo{kBadField, "BadField", 400, Ran::kNo,
                   "A field is missing, unknown, of the wrong type or out of "
                   "range."},
    ResultCodeInfo{kMethodNotAllowed, "MethodNotAllowed", 405, Ran::kNo,
                   "The path does not take this method."},
    ResultCodeInfo{kNotFound, "NotFound", 404, Ran::kNo,
                   "No such path or route."},
    ResultCodeInfo{kBodyTooLarge, "BodyTooLarge", 413, Ran::kNo,
                   "The body is larger than this program takes."},
    ResultCodeInfo{kUnknownModel, "UnknownModel", 404, Ran::kNo,
                   "The accepted configuration has no such model."},
    ResultCodeInfo{kUnauthorized, "Unauthorized", 401, Ran::kNo,
                   "The bearer key is missing or unknown."},
    ResultCodeInfo{kForbidden, "Forbidden", 403, Ran::kNo,
                   "The workspace may not use this model or service."},
    ResultCodeInfo{kKeyReused, "KeyReused", 422, Ran::kNo,
                   "The idempotency key was used with another body."},
    ResultCodeInfo{kBadHeader, "BadHeader", 400, Ran::kNo,
                   "A request header has a value that cannot be used."},
    ResultCodeInfo{kMalformedHttp, "MalformedHttp", 400, Ran::kNo,
                   "The bytes are not one plain HTTP request."},
    ResultCodeInfo{kHeadTooLarge, "HeadTooLarge", 431, Ran::kNo,
                   "The head of the request is larger than allowed."},
    ResultCodeInfo{kReadTimeout, "ReadTimeout", 408, Ran::kNo,
                   "The request did not arrive in time."},
    ResultCodeInfo{kNoRoute, "NoRoute", 404, Ran::kNo,
                   "No route has this host and path."},
    ResultCodeInfo{kBadConfiguration, "BadConfiguration", 400, Ran::kNo,
                   "The configuration cannot be used; nothing changed."},
    ResultCodeInfo{kBadHeartbeat, "BadHeartbeat", 400, Ran::kNo,
                   "The heartbeat cannot be read."},
    ResultCodeInfo{kUnknownService, "UnknownService", 404, Ran::kNo,
                   "The configuration in force has no such service."},
    ResultCodeInfo{kHttpVersion, "HttpVersion", 505, Ran::kNo,
                   "The request is not of HTTP/1."},
    ResultCodeInfo{kOverLimit, "OverLimit", 429, Ran::kNo,
                   "The workspace is over its limit."},
    ResultCodeInfo{kDeadlineTooShort, "DeadlineTooShort", 503, Ran::kNo,
                   "The deadline cannot be met."},
    ResultCodeInfo{kNoUpstream, "NoUpstream", 503, Ran::kNo,
                   "No upstream that the configuration allows can take it."},
    ResultCodeInfo{kNoClaimQuorum, "NoClaimQuorum", 503, Ran::kNo,
                   "No majority of the claim keepers answered."},
    ResultCodeInfo{kNotReady, "NotReady", 503, Ran::kNo,
                   "The process has no accepted configuration yet."},
    ResultCodeInfo{kQueueFull, "QueueFull", 429, Ran::kNo,
                   "The queue of this router is full."},
    ResultCodeInfo{kStopping, "Stopping", 503, Ran::kNo,
                   "The process is stopping and takes no new requests."},
    ResultCodeInfo{kLeaseExpired, "LeaseExpired", 503, Ran::kNo,
                   "The lease on the accepted configuration has run out."},
    ResultCodeInfo{kUpstreamFull, "UpstreamFull", 503, Ran::kNo,
                   "The upstreams that could take it are full."},
    ResultCodeInfo{kMemoryFull, "MemoryFull", 503, Ran::kNo,
                   "This process holds as much for others as it may."},
    ResultCodeInfo{kCrashesUpstreams, "CrashesUpstreams", 503, Ran::kNo,
                   "Upstreams crashed under this request before; it is run no "
                   "more."},
    ResultCodeInfo{kUnderSuspicion, "UnderSuspicion", 503, Ran::kNo,
                   "An upstream crashed under a part of this prompt; others "
                   "with that part are tried first."},
    ResultCodeInfo{kOutcomeUnknown, "OutcomeUnknown", 502, Ran::kUnknown,
                   "The upstream was lost after dispatch; it may have run."},
    ResultCodeInfo{kStreamBroken, "StreamBroken", 502, Ran::kUnknown,
                   "The stream broke and could not be resumed."},
    ResultCodeInfo{kInProgress, "InProgress", 409, Ran::kUnknown,
                   "The same call is still running."},
    ResultCodeInfo{kAnswerNotKept, "AnswerNotKept", 409, Ran::kYes,
                   "The call ran; its answer was too large to keep."},
    ResultCodeInfo{kDeadlineExceeded, "DeadlineExceeded", 504, Ran::kUnknown,
                   "The deadline passed after dispatch."},
    ResultCodeInfo{kUpstreamGarbled, "UpstreamGarbled", 502, Ran::kUnknown,
                   "The upstream sent bytes that are no answer."},
    ResultCodeInfo{kVersionConflict, "VersionConflict", 409, Ran::kNo,
                   "The configuration has moved on from the base version."},
    ResultCodeInfo{kPlanNotFound, "PlanNotFound", 404, Ran::kNo,
                   "No such plan."},
    ResultCodeInfo{kPlanExpired, "PlanExpired", 410, Ran::kNo,
                   "The plan was not confirmed in time."},
    ResultCodeInfo{kNotLeader, "NotLeader", 307, Ran::kNo,
                   "Another control process leads; see Location."},
    ResultCodeInfo{kNoQuorum, "NoQuorum", 503, Ran::kUnknown,
                   "No majority of control confirmed in time; resend with the "
                   "same command id."},
    ResultCodeInfo{kPlanShort, "PlanShort", 422, Ran::kNo,
                   "The plan lacks capacity or breaks a rule; it cannot be "
                   "confirmed."},
    ResultCodeInfo{kCommandReused, "CommandReused", 422, Ran::kNo,
                   "The command id was used with another body."},
    ResultCodeInfo{kStorageFailed, "StorageFailed", 503, Ran::kUnknown,
                   "The disk failed; this process promises nothing more."},
    ResultCodeInfo{kReceiptNotFound, "ReceiptNotFound", 404, Ran::kNo,
                   "No receipt of that request was found."},
    ResultCodeInfo{kUnknownVm, "UnknownVm", 404, Ran::kNo, "No such VM."},
    ResultCodeInfo{kVersionTaken, "VersionTaken", 409, Ran::kNo,
                   "Another configuration has this version."},
    ResultCodeInfo{kUnknownSetting, "UnknownSetting", 500, Ran::kNo,
                   "A flag or SPINDLEWEIR_ variable that is not known."},
    ResultCodeInfo{kBadSetting, "BadSetting", 500, Ran::kNo,
                   "A setting has a value that cannot be used."},
    ResultCodeInfo{kMissingSetting, "MissingSetting", 500, Ran::kNo,
                   "A setting that must be given is missing."},
    ResultCodeInfo{kCannotListen, "CannotListen", 500, Ran::kNo,
                   "The address cannot be listened on."},
    ResultCodeInfo{kDataCorrupt, "DataCorrupt", 500, Ran::kNo,
                   "A file in the data folder is damaged; the process does "
                   "not start."},
    ResultCodeInfo{kDataUnwritable, "DataUnwritable", 500, Ran::kNo,
                   "The data folder cannot be written."},
    ResultCodeInfo{kBadEntryVms, "BadEntryVms", 500, Ran::kNo,
                   "The list of entry VMs cannot be used."},
    ResultCodeInfo{kInternal, "Internal", 500, Ran::kUnknown,
                   "A fault in this program."},
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kTable;
}

const ResultCodeInfo& InfoOf(ResultCode aCode) {
  for (const ResultCodeInfo& info : kTable) {
    if (info.mCode == aCode) {
      return info;
    }
  }
  return kTable.back();
}

std::string_view NameOf(Ran aRan) {
  switch (aRan) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace spindleweir
