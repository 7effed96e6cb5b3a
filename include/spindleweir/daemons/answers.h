/// JSON and error answers that all HTTP interfaces of the product share.
#pragma once

#include <json/value.h>

#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// An error as callers see it: code, name, message, and whether the request
/// ran.
struct ErrorAnswer {
  ResultCode mCode = ResultCode::kInternal;
  std::string mMessage;    ///< Empty: the meaning of mCode is sent.
  std::string mRequest;    ///< Id of the request; empty: not known yet.
  Millis mRetryAfter = 0;  ///< 0: no Retry-After header.
};

/// Builds {"error": {...}}, the body of an answer or of a stream's event.
Json::Value ErrorBody(const ErrorAnswer& aError);

/// Throws kMethodNotAllowed if the request has another method.
void RequireMethod(const HttpExchange& aExchange, const char* aMethod);

/// Sends a JSON answer.
void ReplyJson(HttpExchange& aExchange, int aStatus, const Json::Value& aBody);

/// Sends an error with the HTTP status of its code and, if set, Retry-After,
/// rounded up to whole seconds.
void ReplyError(HttpExchange& aExchange, const ErrorAnswer& aError);

}  // namespace spindleweir
