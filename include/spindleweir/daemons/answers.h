/// Answers that all HTTP interfaces of ours give alike.
#pragma once

#include <json/value.h>

#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// An error as callers see it: number, name, message, and whether the request
/// ran.
struct ErrorAnswer {
  ResultCode mCode = ResultCode::kInternal;
  std::string mMessage;
  std::string mRequest;    ///< Empty: no request id yet.
  Millis mRetryAfter = 0;  ///< 0: none.
};

/// {"error": {...}} for an answer or an event of a stream.
Json::Value ErrorBody(const ErrorAnswer& aError);

/// Throws kMethodNotAllowed where the request has another method.
void RequireMethod(const HttpExchange& aExchange, const char* aMethod);

/// Sends a JSON answer.
void ReplyJson(HttpExchange& aExchange, int aStatus, const Json::Value& aBody);

/// Sends an error with its HTTP status and Retry-After.
void ReplyError(HttpExchange& aExchange, const ErrorAnswer& aError);

}  // namespace spindleweir
